//! Asks servers for a sign of life.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Uri;
use http_body_util::Full;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use slog::warn;

use crate::event_log::Weight;
use crate::protocol::EngineReport;
use crate::protocol::set_host;
use crate::relay::Relay;
use crate::server_loss::ServerLoss;
use crate::upstream::Upstream;
use crate::upstream::UpstreamError;
use crate::upstream::WholeAnswer;

/// How long an engine may take to answer; within a site a round trip takes
/// under a millisecond.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);
/// How long a question to an engine stands for those of other streams; they
/// hear of a lost engine, too.
pub(crate) const ASK_AGAIN: Duration = Duration::from_millis(110);
/// How long to look for an answer that is there already.
const LATE_LOOK: Duration = Duration::from_millis(20);
/// How much longer to look, for each time that this process itself was late to
/// see that an answer was due: what delays its timers delays what it reads.
const LATE_FACTOR: u32 = 2;
/// The longest look. An engine that is lost holds a stream up meanwhile.
const LONGEST_LATE_LOOK: Duration = Duration::from_millis(400);
/// How long a question may take in all, an own delay included.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// First time between probes of a server that is out; doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest time between them.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);
/// How often a plain server is asked at once after a run broke there.
const MAX_END_CHECKS: usize = 3;
/// How often servers that are out are looked through.
const ROUND: Duration = Duration::from_millis(150);

/// Whether an engine gives a sign within the bound; marks it lost if not.
pub(crate) async fn check(relay: &Relay, upstream: Upstream) -> bool {
    if relay.beliefs.health().is_unresponsive(upstream.server) {
        return false;
    }
    let request = relay.protocol.report_call().request(upstream.server.addr);
    let due = clock::now() + PROBE_TIMEOUT;
    let asked = relay.call(upstream, request, CALL_TIMEOUT);
    tokio::pin!(asked);
    let answer = tokio::select! {
        answer = &mut asked => answer,
        () = clock::sleep_until(due) => late(upstream.server.addr, asked, due).await,
    };
    match answer {
        Ok(answer) => {
            let now = clock::now();
            relay.beliefs.signs.of(upstream.server).note(now);
            let Some(report) = read_report(relay, upstream.server, &answer) else {
                return true;
            };
            relay
                .beliefs
                .signs
                .note_report(upstream.server, report.slowdown, now);
            let is_listed = is_as_listed(relay, upstream.server, &report);
            if is_listed {
                relay.beliefs.broken_runs.server_answered(upstream.server);
            }
            is_listed
        }
        Err(error) if error.is_local_refusal() => true,
        Err(error) => {
            relay.server_lost(upstream.server, &ServerLoss::from(&error));
            false
        }
    }
}

/// Asks an engine for a sign because another engine, or another instance, had
/// trouble with it.
pub(crate) fn check_soon(relay: &Arc<Relay>, server: ServerKey) {
    let view = relay.view.load();
    let Some(service) = view
        .service_of(server)
        .filter(|service| service.model.is_some())
    else {
        return;
    };
    if relay.beliefs.health().is_unresponsive(server)
        || relay.beliefs.backoff_left(server).is_some()
        || !relay
            .beliefs
            .signs
            .begin_asking(server, ASK_AGAIN, clock::now())
    {
        return;
    }
    let upstream = relay.upstream(server, service);
    let relay = relay.clone();
    tokio::spawn(async move { check(&relay, upstream).await });
}

/// Asks a server that a run broke at whether it is still there, whatever was
/// asked of it just before. One that is out is being probed.
pub(crate) async fn check_ended(relay: &Relay, server: ServerKey) {
    if relay.beliefs.health().is_unresponsive(server) {
        return;
    }
    let view = relay.view.load_full();
    let Some(service) = view.service_of(server) else {
        return;
    };
    let upstream = relay.upstream(server, service);
    if service.model.is_some() {
        check(relay, upstream).await;
    } else {
        check_plain(relay, upstream, &service.health_path).await;
    }
}

/// Asks a plain server whether it is there. It may just be busy, so that no
/// answer says nothing.
async fn check_plain(relay: &Relay, upstream: Upstream, health_path: &str) {
    let server = upstream.server;
    // The first may meet a connection that the end is yet to be heard on.
    for _ in 0..MAX_END_CHECKS {
        let Some(request) = health_request(server.addr, health_path) else {
            return;
        };
        match relay.call(upstream, request, PROBE_TIMEOUT).await {
            Ok(_) => return relay.beliefs.broken_runs.server_answered(server),
            Err(error) if error.shows_exit() => {
                return relay.server_lost(server, &ServerLoss::Refused);
            }
            // Nothing was asked, and asking again at once comes to the same.
            Err(error) if error.is_local_refusal() => return,
            Err(_) => {}
        }
    }
}

/// Whether an engine is the start that its entry tells of, with its layers; it
/// is out if not. One that crashed and came back at its address has none, and
/// its old entry stays for a while.
fn is_as_listed(relay: &Relay, server: ServerKey, report: &EngineReport) -> bool {
    let view = relay.view.load();
    let Some(entry) = view.server(server) else {
        return true;
    };
    if !report.is_from(entry) {
        relay.other_start_answered(server, report);
        return false;
    }
    let is_held = |listed| report.held.is_some_and(|held| held.covers(listed));
    if !entry.held.is_none_or(is_held) {
        relay.server_lost(server, &ServerLoss::LayersGone);
        return false;
    }
    true
}

/// A last look for an answer that was due, but has arrived while this process
/// stood still itself: after a pause its timers are seen before what came in
/// meanwhile.
async fn late(
    addr: SocketAddr,
    asked: impl Future<Output = Result<WholeAnswer, UpstreamError>>,
    due: Instant,
) -> Result<WholeAnswer, UpstreamError> {
    let look = LATE_LOOK + clock::since(due).saturating_mul(LATE_FACTOR);
    let answer = tokio::time::timeout(look.min(LONGEST_LATE_LOOK), asked).await;
    answer.unwrap_or_else(|_| {
        let message = format!("nothing within {} ms", PROBE_TIMEOUT.as_millis());
        Err(UpstreamError::Lost { addr, message })
    })
}

/// Probes servers that are out until they answer again.
pub(crate) async fn watch_lost(relay: Arc<Relay>) {
    let mut due: HashMap<ServerKey, (Instant, Duration)> = HashMap::new();
    loop {
        tokio::time::sleep(ROUND).await;
        let out = relay.beliefs.health().unresponsive();
        due.retain(|server, _| out.contains(server));
        let now = clock::now();
        for server in out {
            let (at, pause) = due
                .entry(server)
                .or_insert((now + FIRST_PAUSE, FIRST_PAUSE));
            if *at > now {
                continue;
            }
            *pause = (*pause * 2).min(LONGEST_PAUSE);
            *at = now + *pause;
            tokio::spawn(probe_lost(relay.clone(), server));
        }
    }
}

async fn probe_lost(relay: Arc<Relay>, server: ServerKey) {
    let view = relay.view.load_full();
    let Some(service) = view.service_of(server) else {
        return;
    };
    let is_engine = service.model.is_some();
    let request = if is_engine {
        relay.protocol.report_call().request(server.addr)
    } else {
        let Some(request) = health_request(server.addr, &service.health_path) else {
            return;
        };
        request
    };
    let upstream = relay.upstream(server, service);
    // Any answer shows that it is there; one that is full answers too.
    match relay.call(upstream, request, PROBE_TIMEOUT * 3).await {
        Ok(answer) if is_engine && is_other(&relay, server, &answer) => {}
        Ok(_) | Err(UpstreamError::WrongAttempt { .. }) => relay.server_answered(server),
        Err(error) if error.shows_exit() => relay.record_server_exit(server),
        // It stays out, and is probed again.
        Err(_) => {}
    }
}

/// Whether an engine's answer says that it isn't as it is listed.
fn is_other(relay: &Relay, server: ServerKey, answer: &WholeAnswer) -> bool {
    let report = read_report(relay, server, answer);
    report.is_some_and(|report| !is_as_listed(relay, server, &report))
}

/// An engine's report; one that doesn't read still shows that it is there.
fn read_report(relay: &Relay, server: ServerKey, answer: &WholeAnswer) -> Option<EngineReport> {
    match relay.protocol.read_report(&answer.body) {
        Ok(report) => Some(report),
        Err(error) => {
            if let Some(log) = relay.events.line(Weight::Notable) {
                warn!(log, "probe: a report doesn't read"; "event" => "report_unreadable",
                    "server" => %server.addr, "status" => answer.status.as_u16(), "cause" => %error);
            }
            None
        }
    }
}

fn health_request(addr: SocketAddr, path: &str) -> Option<Request<Full<bytes::Bytes>>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    set_host(&mut request, addr);
    Some(request)
}
