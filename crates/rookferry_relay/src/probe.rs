//! Probes servers: at once on suspicion, and periodically while they are unresponsive.
//!
//! Engines are asked for their report, plain servers (of services without a model) for
//! their health path. An engine that doesn't answer counts as unresponsive; so does a
//! plain server only if it refuses the connection. Any server is used again once a
//! periodic probe gets an answer.

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
use crate::links::Way;
use crate::protocol::EngineReport;
use crate::protocol::set_host;
use crate::relay::Relay;
use crate::server_loss::ServerLoss;
use crate::upstream::Dial;
use crate::upstream::Upstream;
use crate::upstream::UpstreamError;
use crate::upstream::WholeAnswer;

/// Time limit of an engine's answer; a round trip within a site takes under a
/// millisecond.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);
/// How long a probe of an engine serves other streams too; they are notified if it finds
/// the engine lost.
pub(crate) const PROBE_REUSE: Duration = Duration::from_millis(110);
/// Age of a probe from which the engine is asked through a peer as well.
const ASK_PEER_AFTER: Duration = Duration::from_millis(30);
/// Least time to wait for an answer that has already arrived.
const MIN_LATE_WAIT: Duration = Duration::from_millis(20);
/// Factor of the additional wait, relative to how late this process itself noticed that
/// the answer was due: what delays its timers delays its reads too.
const LATE_FACTOR: u32 = 2;
/// Longest additional wait. A lost engine stalls a stream meanwhile.
const MAX_LATE_WAIT: Duration = Duration::from_millis(400);
/// Time limit of a probe as a whole, including this process's own delay.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// First interval between probes of an unresponsive server; it doubles.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of first probes in that interval. A sound server may be silent for a second or
/// so, and is used again soon after.
const INITIAL_PROBES: u32 = 5;
/// Longest interval between such probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Most checks in a row of a plain server after a run broke there.
const MAX_EXIT_CHECKS: usize = 3;
/// How often the unresponsive servers are scanned.
const SCAN_INTERVAL: Duration = Duration::from_millis(150);

/// Probes an engine; returns whether it answers in time and matches its entry. Marks it
/// lost if not.
///
/// If its answer is late, it is also asked through a peer: if that answers, the engine is
/// alive and the own path is broken.
pub(crate) async fn check(relay: &Relay, upstream: Upstream) -> bool {
    let server = upstream.server;
    if relay.states.health().is_unresponsive(server) {
        return false;
    }
    let asked_at = clock::now();
    let due = asked_at + PROBE_TIMEOUT;
    let pending = call_for_report(relay, &upstream);
    tokio::pin!(pending);
    let answer = tokio::select! {
        // After a pause of this process both may be ready.
        biased;
        answer = &mut pending => answer,
        answer = report_through_peer(relay, &upstream) => Ok(answer),
        () = clock::sleep_until(due) => wait_late(server.addr, pending, due).await,
    };
    match answer {
        Ok(answer) => {
            let now = clock::now();
            relay.states.liveness.last_seen(server).record(now);
            let Some(report) = read_report(relay, server, &answer) else {
                return true;
            };
            relay
                .states
                .liveness
                .record_report(server, report.slowdown, now);
            let is_listed = matches_entry(relay, server, &report);
            if is_listed {
                relay.states.broken_runs.server_answered(server);
            }
            is_listed
        }
        Err(error) if error.is_local_refusal() => true,
        // The probe didn't go through a peer, and the path has broken since.
        Err(error)
            if !error.shows_exit()
                && relay.path_broke_since(&upstream, asked_at)
                && upstream
                    .sent
                    .get()
                    .is_none_or(|sent| sent.way == Way::Direct) =>
        {
            true
        }
        Err(error) => {
            relay.server_lost(server, &ServerLoss::from(&error));
            false
        }
    }
}

/// Asks an engine for its report; over a new connection if an open one breaks.
async fn call_for_report(relay: &Relay, upstream: &Upstream) -> Result<WholeAnswer, UpstreamError> {
    let request = || relay.protocol.report_call().request(upstream.server.addr);
    match relay.call(upstream, request(), CALL_TIMEOUT).await {
        Err(error) if error.may_be_crash() => {
            let upstream = upstream.clone().with_dial(Dial::New);
            relay.call(&upstream, request(), CALL_TIMEOUT).await
        }
        answer => answer,
    }
}

/// Asks an engine for its report through a peer, if its answer is late and the own path
/// isn't known to be broken. Never returns without an answer.
async fn report_through_peer(relay: &Relay, upstream: &Upstream) -> WholeAnswer {
    let asked_at = clock::now();
    tokio::time::sleep(ASK_PEER_AFTER).await;
    let upstream = upstream.clone().with_dial(Dial::ThroughPeer);
    if relay.broken_path(&upstream).is_none() {
        let request = relay.protocol.report_call().request(upstream.server.addr);
        let answer = relay.call(&upstream, request, CALL_TIMEOUT).await;
        if let Ok(answer) = answer {
            relay.answered_through_peer(&upstream, asked_at);
            return answer;
        }
    }
    std::future::pending().await
}

/// Spawns a probe of an engine that another engine or instance reported trouble with,
/// unless one is in flight.
pub(crate) fn spawn_check(relay: &Arc<Relay>, server: ServerKey) {
    let view = relay.view.load();
    let Some(service) = view
        .service_of(server)
        .filter(|service| service.model.is_some())
    else {
        return;
    };
    if relay.states.health().is_unresponsive(server)
        || relay.states.backoff_left(server).is_some()
        || !relay
            .states
            .liveness
            .begin_probe(server, PROBE_REUSE, clock::now())
    {
        return;
    }
    let upstream = relay.upstream(server, service);
    let relay = relay.clone();
    tokio::spawn(async move { check(&relay, upstream).await });
}

/// Checks whether a server at which a run broke has exited, even if it was probed just
/// before. An unresponsive server is already being probed.
pub(crate) async fn check_exited(relay: &Relay, server: ServerKey) {
    if relay.states.health().is_unresponsive(server) {
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

/// Checks whether a plain server has exited. It may just be busy, so a missing answer
/// proves nothing.
async fn check_plain(relay: &Relay, upstream: Upstream, health_path: &str) {
    let server = upstream.server;
    // The first call may use a connection whose close hasn't been read yet.
    let mut upstream = upstream;
    for _ in 0..MAX_EXIT_CHECKS {
        let Some(request) = health_request(server.addr, health_path) else {
            return;
        };
        match relay.call(&upstream, request, PROBE_TIMEOUT).await {
            Ok(_) => return relay.states.broken_runs.server_answered(server),
            Err(error) if error.shows_exit() => {
                return relay.server_lost(server, &ServerLoss::Refused);
            }
            // Nothing was sent, and an immediate retry would fail in the same way.
            Err(error) if error.is_local_refusal() => return,
            Err(_) => upstream.dial = Dial::New,
        }
    }
}

/// Whether an engine is the incarnation that its entry describes, with its layers; marks
/// it lost if not. An engine that crashed and came back at its address has no layers, and
/// its old entry remains for a while.
fn matches_entry(relay: &Relay, server: ServerKey, report: &EngineReport) -> bool {
    let view = relay.view.load();
    let Some(entry) = view.server(server) else {
        return true;
    };
    if !report.is_same_incarnation(entry) {
        relay.other_incarnation_answered(server, report);
        return false;
    }
    let is_held = |listed| report.held.is_some_and(|held| held.covers(listed));
    if !entry.held.is_none_or(is_held) {
        relay.server_lost(server, &ServerLoss::LayersMissing);
        return false;
    }
    true
}

/// Waits a little longer for an answer that was due, but may have arrived while this
/// process was paused: after a pause its timers fire before the received data is read.
async fn wait_late(
    addr: SocketAddr,
    pending: impl Future<Output = Result<WholeAnswer, UpstreamError>>,
    due: Instant,
) -> Result<WholeAnswer, UpstreamError> {
    let wait = MIN_LATE_WAIT + clock::since(due).saturating_mul(LATE_FACTOR);
    let answer = tokio::time::timeout(wait.min(MAX_LATE_WAIT), pending).await;
    answer.unwrap_or_else(|_| {
        let message = format!("timed out after {} ms", PROBE_TIMEOUT.as_millis());
        Err(UpstreamError::Lost { addr, message })
    })
}

/// When an unresponsive server is probed next.
#[derive(Clone, Copy, Debug)]
struct ProbeSchedule {
    at: Instant,
    interval: Duration,
    probes: u32,
}

impl ProbeSchedule {
    fn new(now: Instant) -> Self {
        Self {
            at: now + INITIAL_PROBE_INTERVAL,
            interval: INITIAL_PROBE_INTERVAL,
            probes: 0,
        }
    }

    /// Whether a probe is due; schedules the next one if so.
    fn take_due(&mut self, now: Instant) -> bool {
        if self.at > now {
            return false;
        }
        self.probes += 1;
        if self.probes >= INITIAL_PROBES {
            self.interval = (self.interval * 2).min(MAX_PROBE_INTERVAL);
        }
        self.at = now + self.interval;
        true
    }
}

/// Probes unresponsive servers until they answer again.
pub(crate) async fn probe_unresponsive(relay: Arc<Relay>) {
    let mut due: HashMap<ServerKey, ProbeSchedule> = HashMap::new();
    loop {
        tokio::time::sleep(SCAN_INTERVAL).await;
        let out = relay.states.health().unresponsive();
        due.retain(|server, _| out.contains(server));
        let now = clock::now();
        for server in out {
            let schedule = due.entry(server);
            let schedule = schedule.or_insert_with(|| ProbeSchedule::new(now));
            if schedule.take_due(now) {
                tokio::spawn(probe_server(relay.clone(), server));
            }
        }
    }
}

async fn probe_server(relay: Arc<Relay>, server: ServerKey) {
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
    // Open connections may hang where new ones work.
    let upstream = relay.upstream(server, service).with_dial(Dial::New);
    // Any answer shows that it is alive; an overloaded server answers too.
    match relay.call(&upstream, request, PROBE_TIMEOUT * 3).await {
        Ok(answer) if is_engine && contradicts_entry(&relay, server, &answer) => {}
        Ok(_) | Err(UpstreamError::WrongAttempt { .. }) => relay.server_answered(server),
        Err(error) if error.shows_exit() => relay.record_server_exit(server),
        // It stays unresponsive, and is probed again.
        Err(_) => {}
    }
}

/// Whether an engine's answer contradicts its entry.
fn contradicts_entry(relay: &Relay, server: ServerKey, answer: &WholeAnswer) -> bool {
    let report = read_report(relay, server, answer);
    report.is_some_and(|report| !matches_entry(relay, server, &report))
}

/// Parses an engine's report; an invalid one still shows that the engine is alive.
fn read_report(relay: &Relay, server: ServerKey, answer: &WholeAnswer) -> Option<EngineReport> {
    match relay.protocol.read_report(&answer.body) {
        Ok(report) => Some(report),
        Err(error) => {
            if let Some(log) = relay.events.line(Weight::Notable) {
                warn!(log, "probe: an engine's report can't be parsed"; "event" => "report_unreadable",
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
