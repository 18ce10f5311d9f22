//! Forwarding of calls to the instance that owns their key, and serving calls that
//! peers forward here.

use std::net::SocketAddr;
use std::sync::Arc;

use gotham::helpers::http::Body;
use http::Response;
use http_body_util::BodyExt;
use rookferry_wire::InstanceId;
use rookferry_wire::KeyedCall;
use rookferry_wire::PeerRequest;
use rookferry_wire::PeerResponse;

use super::call::Call;
use super::call::log_refusal;
use super::keyed::replay;
use super::keyed::unknown;
use super::model;
use super::refusal::Refusal;
use super::respond;
use super::service;
use crate::answers::StoredAnswer;
use crate::entry::EntryState;
use crate::peers;

/// Serves a call that a peer forwards.
pub(crate) async fn serve_forwarded(entry: &Arc<EntryState>, keyed: KeyedCall) -> PeerResponse {
    let response = match Call::forwarded(entry, &keyed) {
        Ok(call) => match &keyed.service {
            Some((name, path)) => service::serve(entry, call, &keyed.method, name, path).await,
            None => model::serve(entry, call).await,
        },
        Err(refusal) => {
            log_refusal(entry, &refusal);
            respond::refused(entry, &refusal)
        }
    };
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return PeerResponse::Nothing;
    };
    let header = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    PeerResponse::Ran {
        status: head.status.as_u16(),
        content_type: header("content-type"),
        request_id: header("rookferry-request-id").into(),
        body: body.to_bytes().to_vec(),
    }
}

/// Forwards a call with a ticket to the instance that minted the ticket.
pub(super) async fn forward_ticket(
    entry: &Arc<EntryState>,
    call: Call,
    instance: &InstanceId,
    is_stream: bool,
) -> Response<Body> {
    let addr = {
        let members = entry.peers.lock();
        members
            .get(instance)
            .map(|member| member.heartbeat.peer_addr)
    };
    match addr {
        Some(addr) if !call.is_forwarded => match forward(entry, &call, addr, is_stream).await {
            Ok(response) => response,
            Err(OwnerGone) => unknown(
                entry,
                call,
                &format!("{instance}, which minted the ticket, is gone"),
            ),
        },
        _ => unknown(
            entry,
            call,
            &format!("{instance}, which minted the ticket, is not known here"),
        ),
    }
}

/// The owner's process is gone: nothing listens at its address.
pub(super) struct OwnerGone;

/// Forwards a call to the owner of its key; fails only if the owner is gone.
pub(super) async fn forward(
    entry: &Arc<EntryState>,
    call: &Call,
    addr: SocketAddr,
    is_stream: bool,
) -> Result<Response<Body>, OwnerGone> {
    let keyed = KeyedCall {
        key: call.key.clone().unwrap_or_default(),
        account: call.account.to_string(),
        service: call.service.clone(),
        method: call.method.clone(),
        labels: call.raw_labels.clone(),
        body: canonical_body(call),
    };
    match peers::send_request(entry, addr, &PeerRequest::Run(keyed)).await {
        Ok(PeerResponse::Ran {
            status,
            content_type,
            request_id,
            body,
        }) => {
            let answer = StoredAnswer {
                request_id,
                body_digest: String::new(),
                status,
                content_type,
                body,
            };
            Ok(replay(entry, &answer, is_stream))
        }
        Err(error) if error.is_refused() => Err(OwnerGone),
        Ok(_) | Err(_) => {
            let detail = "the key's owner did not respond; retry with the key";
            let refusal = Refusal::running(&call.request, detail);
            log_refusal(entry, &refusal);
            Ok(respond::refused(entry, &refusal))
        }
    }
}

/// A call's body in canonical form, for forwarding and digests. In model calls
/// `stream` is removed: it selects the form of the response, not the work.
pub(super) fn canonical_body(call: &Call) -> Vec<u8> {
    let body = serde_json::from_slice(&call.body);
    let (None, Ok(serde_json::Value::Object(mut body))) = (&call.service, body) else {
        return call.body.to_vec();
    };
    body.remove("stream");
    serde_json::to_vec(&body).unwrap_or_default()
}
