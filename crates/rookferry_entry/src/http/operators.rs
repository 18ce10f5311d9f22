//! Handlers of the operators' interface: health, metrics, status, configuration,
//! fleet, and decision records.

use std::collections::BTreeMap;
use std::sync::Arc;

use gotham::helpers::http::Body;
use http::Response;
use http::StatusCode;
use rookferry_core::EngineState;
use rookferry_core::MemberState;
use rookferry_net::InboundRequest;
use rookferry_net::clock;
use rookferry_net::json_response;
use rookferry_net::text_response;
use rookferry_wire::FleetEngine;
use rookferry_wire::PeerRequest;
use rookferry_wire::PeerResponse;
use serde::Serialize;

use crate::entry::EntryState;
use crate::peers;

/// Body of `/v1/status`.
#[derive(Serialize)]
struct Status {
    instance: String,
    failure_domain: String,
    incarnation: u64,
    config_version: u64,
    is_ready: bool,
    reason: Option<String>,
    waiting_requests: usize,
    members: Vec<MemberStatus>,
    engines: BTreeMap<String, EngineStatus>,
}

#[derive(Serialize)]
struct MemberStatus {
    instance: String,
    failure_domain: String,
    config_version: u64,
    state: &'static str,
    silent_ms: u64,
}

#[derive(Serialize)]
struct EngineStatus {
    failure_domain: String,
    model: String,
    layers: String,
    state: &'static str,
    streams: u32,
    round_trip_us: Option<u64>,
    link_us: u64,
    failures: u32,
}

pub(super) async fn healthy(_entry: Arc<EntryState>, _inbound: InboundRequest) -> Response<Body> {
    text_response(StatusCode::OK, "ok\n".to_owned())
}

pub(super) async fn ready(entry: Arc<EntryState>, _inbound: InboundRequest) -> Response<Body> {
    match entry.readiness() {
        Ok(()) => text_response(StatusCode::OK, "ready\n".to_owned()),
        Err(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

pub(super) async fn metrics(entry: Arc<EntryState>, _inbound: InboundRequest) -> Response<Body> {
    text_response(StatusCode::OK, entry.metrics.render())
}

pub(super) async fn objectives(entry: Arc<EntryState>, _inbound: InboundRequest) -> Response<Body> {
    json_response(StatusCode::OK, &entry.counters.objectives())
}

pub(super) async fn config(entry: Arc<EntryState>, _inbound: InboundRequest) -> Response<Body> {
    let (version, body) = entry.config.body();
    let value: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
    json_response(
        StatusCode::OK,
        &serde_json::json!({ "version": version, "value": value }),
    )
}

/// Serves `/v1/fleet`: the engines, for the controller.
pub(super) async fn fleet(entry: Arc<EntryState>, _inbound: InboundRequest) -> Response<Body> {
    let snapshot = entry.snapshot.load();
    let engines = snapshot.fleet.engines().iter();
    let engines: Vec<FleetEngine> = engines
        .map(|engine| FleetEngine {
            info: engine.info.clone(),
            addr: engine.addr,
            failure_domain: engine.failure_domain.clone(),
            is_lost: engine.state == EngineState::Lost,
            streams: engine.stats.streams(),
        })
        .collect();
    json_response(StatusCode::OK, &engines)
}

/// Serves `/v1/decisions/{request_id}`. Any instance can be asked: it fetches the
/// record from the instance that the id names.
pub(super) async fn decision(entry: Arc<EntryState>, inbound: InboundRequest) -> Response<Body> {
    let id = inbound
        .strip_path_prefix("/v1/decisions/")
        .unwrap_or_default()
        .to_owned();
    if let Some(record) = entry.decisions.get(&id) {
        return json_response(StatusCode::OK, &*record);
    }
    let instance = id.rsplit_once('.').map_or("", |(instance, _)| instance);
    if *instance == *entry.instance {
        return no_record(&format!(
            "{instance} has no record of {id}: it is too old, or from an earlier incarnation"
        ));
    }
    let addr = {
        let members = entry.peers.lock();
        members
            .get(instance)
            .map(|member| member.heartbeat.peer_addr)
    };
    let Some(addr) = addr else {
        return no_record(&format!(
            "{instance:?}, which handled the request, is not known here; it may have left"
        ));
    };
    let request = PeerRequest::Decision {
        request_id: id.as_str().into(),
    };
    match peers::send_request(&entry, addr, &request).await {
        Ok(PeerResponse::Decision { record }) => {
            let value: serde_json::Value = serde_json::from_str(&record).unwrap_or_default();
            json_response(StatusCode::OK, &value)
        }
        Ok(_) => no_record(&format!(
            "{instance} has no record of {id}: it is too old, or from an earlier incarnation"
        )),
        Err(error) => no_record(&format!(
            "{instance}, which handled the request, does not respond: {error}"
        )),
    }
}

pub(super) async fn status(entry: Arc<EntryState>, _inbound: InboundRequest) -> Response<Body> {
    let readiness = entry.readiness();
    let status = Status {
        instance: entry.instance.to_string(),
        failure_domain: entry.failure_domain.to_string(),
        incarnation: entry.incarnation,
        config_version: entry.config.version(),
        is_ready: readiness.is_ok(),
        reason: readiness.err(),
        waiting_requests: entry.admission.waiting(),
        members: members(&entry),
        engines: engines(&entry),
    };
    json_response(StatusCode::OK, &status)
}

fn members(entry: &EntryState) -> Vec<MemberStatus> {
    let now = clock::now();
    let members = entry.peers.lock();
    let members = members.members().map(|member| MemberStatus {
        instance: member.heartbeat.instance.to_string(),
        failure_domain: member.heartbeat.failure_domain.to_string(),
        config_version: member.heartbeat.config_version,
        state: match member.state {
            MemberState::Live => "live",
            MemberState::Leaving => "leaving",
            MemberState::Suspect => "suspect",
        },
        silent_ms: u64::try_from(
            now.saturating_duration_since(member.received_at)
                .as_millis(),
        )
        .unwrap_or(u64::MAX),
    });
    members.collect()
}

fn engines(entry: &EntryState) -> BTreeMap<String, EngineStatus> {
    let snapshot = entry.snapshot.load();
    let engines = snapshot.fleet.engines().iter().map(|engine| {
        let learned = &engine.stats;
        let status = EngineStatus {
            failure_domain: engine.failure_domain.to_string(),
            model: engine.info.model.to_string(),
            layers: format!("{}..{}", engine.info.layers.start, engine.info.layers.end),
            state: match engine.state {
                EngineState::Live => "live",
                EngineState::Leaving => "leaving",
                EngineState::Lost => "lost",
            },
            streams: learned.streams(),
            round_trip_us: learned
                .round_trip()
                .map(|time| u64::try_from(time.as_micros()).unwrap_or(u64::MAX)),
            link_us: learned.link_us(),
            failures: learned.consecutive_failures(),
        };
        (engine.info.engine.to_string(), status)
    });
    engines.collect()
}

fn no_record(reason: &str) -> Response<Body> {
    json_response(
        StatusCode::NOT_FOUND,
        &serde_json::json!({ "explanation": reason }),
    )
}
