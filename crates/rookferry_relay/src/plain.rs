//! Requests to plain services, where one server gives the whole answer.
//!
//! A request goes to the server with the lowest cost: requests in flight, distance and
//! the share of failures. A server that refuses, can't be reached or fails is avoided by
//! the next try; a request that may have run is repeated only if its route allows
//! it and the retry budget has some left.

use std::sync::Arc;
use std::time::Duration;

use rookferry_core::BackendServer;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;
use rookferry_core::ServingService;
use rookferry_net::clock;
use slog::warn;

use crate::event_log::Weight;
use crate::exchange::Purpose;
use crate::list_at_send::ListAtSend;
use crate::permits::PathPermits;
use crate::quarantine::Reach;
use crate::quarantine::RunBreak;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::request_handler::ServeOutcome;
use crate::request_handler::record_served;
use crate::server_loss::ServerLoss;
use crate::upstream::Dial;
use crate::upstream::Upstream;
use crate::upstream::UpstreamError;
use crate::upstream::WholeAnswer;
use crate::upstream::is_signed;
use crate::view::ServerTable;
use crate::view::SiteView;

/// Cost of another failure domain, in requests in flight; its round trip takes a
/// quarter of a millisecond longer.
const REMOTE_COST: f64 = 0.5;
/// Cost of a server that fails all its requests, in requests in flight.
const FAILING_COST: f64 = 30.0;
/// Tries per request, including refused and unsent ones.
const MAX_TRIES: usize = 4;
/// Servers or paths per try for which permits are requested.
pub(crate) const MAX_PERMIT_TRIES: usize = 16;
/// Time without an answer after which the own path to the server is checked, and time
/// between checks. Most plain requests are answered by then.
const STALL_CHECK_AFTER: Duration = Duration::from_millis(150);
/// A request with less time left is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Outcome of one try.
enum SendOutcome {
    Answer(WholeAnswer),
    /// The server states that it didn't run the request.
    NotRun,
    Failed(UpstreamError),
    TimedOut,
}

/// Serves a request, with up to [`MAX_TRIES`] tries on different servers.
pub(crate) async fn serve(relay: &Arc<Relay>, request: CallerRequest) -> ServeOutcome {
    relay.count_new_request(&request.service);
    let view = relay.view.load_full();
    let (Some(index), Some(table)) = (&view.index, &view.servers) else {
        return ServeOutcome::Withdrawn;
    };
    let Some(service) = index.service(&request.service) else {
        return ServeOutcome::Refused(Refusal::NoServer);
    };
    let may_repeat = request.route.repeatability.may_repeat();
    let mut avoided: Vec<ServerKey> = Vec::new();
    let mut runs = 0;
    let mut reached = 0;
    let mut last_answer = None;
    let mut is_connection_broken = false;
    for _ in 0..MAX_TRIES {
        if request.time_left() < MIN_TIME_LEFT {
            break;
        }
        if runs > 0 && !relay.may_run_again(&request).await {
            break;
        }
        if reached > 0 && !relay.take_retry(&request) {
            break;
        }
        let chosen = choose_permitted(relay, &request, table, service, &avoided).await;
        let Some((server, permits)) = chosen else {
            break;
        };
        avoided.push(server.key);
        let sent_at = clock::now();
        let mut upstream = relay.upstream(server.key, service);
        if is_connection_broken {
            upstream.dial = Dial::New;
        }
        match send(relay, &request, &upstream, server, &permits).await {
            SendOutcome::Answer(answer) => {
                runs += 1;
                reached += 1;
                let is_final = !(answer.status.is_server_error() && may_repeat);
                if is_final {
                    return pass_answer(relay, &request, server, answer);
                }
                log_failed_try(relay, &request, server, answer.status.as_str());
                relay.states.health().failed(server.key, clock::now());
                last_answer = Some((server.clone(), answer));
            }
            SendOutcome::NotRun => {
                reached += 1;
                log_failed_try(relay, &request, server, "not run");
                // A backoff alone excludes the server; it is no failure.
                if relay.states.backoff_left(server.key).is_none() {
                    relay.states.health().failed(server.key, clock::now());
                }
            }
            SendOutcome::Failed(UpstreamError::Withdrawn) => {
                if reached == 0 {
                    return ServeOutcome::Withdrawn;
                }
                break;
            }
            SendOutcome::Failed(error) if error.is_local_refusal() => {
                log_failed_try(relay, &request, server, &error.to_string());
            }
            SendOutcome::Failed(error) if error.is_unsent() => {
                log_failed_try(relay, &request, server, &error.to_string());
                relay.server_lost(server.key, &ServerLoss::from(&error));
            }
            SendOutcome::Failed(error) => {
                runs += 1;
                reached += 1;
                // Other open connections may be broken as well.
                is_connection_broken = true;
                log_failed_try(relay, &request, server, &error.to_string());
                if error.may_be_crash() {
                    let broken = RunBreak {
                        server: server.key,
                        run: rand::random(),
                        reach: Reach::Direct,
                        progress: RunProgress::Begun,
                        joined_at: sent_at,
                    };
                    relay.record_broken_run(&request, broken);
                }
                if error.is_server_failure() {
                    relay.states.health().failed(server.key, clock::now());
                }
            }
            SendOutcome::TimedOut => return ServeOutcome::Refused(Refusal::TimedOut),
        }
        let may_go_on = may_repeat || runs == 0;
        if !may_go_on || runs >= request.route.max_servers.max(1) {
            break;
        }
    }
    if let Some((server, answer)) = last_answer {
        return pass_answer(relay, &request, &server, answer);
    }
    let is_timed_out = request.time_left() < MIN_TIME_LEFT;
    let refusal = Refusal::after_failed_tries(runs > 0, is_timed_out);
    ServeOutcome::Refused(refusal.or_known_cause(|| retry_refusal(relay, &request, table, service)))
}

/// The refusal with the time at which a server takes the request again; none if one
/// takes it now, or no backoff or refused permit is the cause.
fn retry_refusal(
    relay: &Relay,
    request: &CallerRequest,
    table: &ServerTable,
    service: &ServingService,
) -> Option<Refusal> {
    let now = clock::now();
    let wait = relay.retry_times(table, service, request.urgency, now);
    let filter = relay.server_filter(request.urgency);
    let has_server_at = |at| {
        let mut servers = table.of(&service.name);
        servers.any(|server| filter.accepts(server, at))
    };
    if has_server_at(now) {
        return None;
    }
    let first = wait.times.iter().find(|end| has_server_at(**end))?;
    Some(wait.refusal(*first, now))
}

/// The server with the lowest cost for which the permits are granted.
async fn choose_permitted<'a>(
    relay: &Relay,
    request: &CallerRequest,
    table: &'a ServerTable,
    service: &ServingService,
    avoided: &[ServerKey],
) -> Option<(&'a BackendServer, PathPermits)> {
    for _ in 0..MAX_PERMIT_TRIES {
        let server = choose(relay, request, table, service, avoided)?;
        if let Some(permits) = relay.permits_for(request, vec![server.key]).await {
            return Some((server, permits));
        }
    }
    None
}

/// The usable server with the lowest cost, without the avoided ones.
fn choose<'a>(
    relay: &Relay,
    request: &CallerRequest,
    table: &'a ServerTable,
    service: &ServingService,
    avoided: &[ServerKey],
) -> Option<&'a BackendServer> {
    let now = clock::now();
    let filter = relay.server_filter(request.urgency);
    let usable = table
        .of(&service.name)
        .filter(|server| filter.accepts(server, now) && !avoided.contains(&server.key));
    let cost = |server: &BackendServer| {
        let is_remote = server.domain != relay.settings.domain;
        f64::from(relay.load_of(server.key).requests)
            + if is_remote { REMOTE_COST } else { 0.0 }
            + filter.health.failing_share(server.key, now) * FAILING_COST
    };
    usable.min_by(|left, right| cost(left).total_cmp(&cost(right)))
}

/// Sends the request to a server and reads the whole answer, until the deadline.
async fn send(
    relay: &Relay,
    request: &CallerRequest,
    upstream: &Upstream,
    server: &BackendServer,
    permits: &PathPermits,
) -> SendOutcome {
    request.sends.begin_try();
    let names = relay.protocol.names();
    let _load = relay
        .states
        .loads
        .track(vec![(server.key, request.tokens())]);
    let outbound = request.to_server(names, &server.id, None);
    let may_send = || may_send(relay, request, &[server.key]);
    let exchange = async {
        let purpose = Purpose::CallerRequest(permits);
        let answer = relay.send(upstream, outbound, purpose, may_send).await?;
        if !answer.is_for(names, &request.attempt) {
            return Err(UpstreamError::WrongAttempt {
                addr: server.addr(),
            });
        }
        if answer.is_not_run(names) {
            answer.collect_internal(server.addr()).await?;
            return Ok(None);
        }
        answer.collect(server.addr()).await.map(Some)
    };
    let answered = async {
        tokio::select! {
            answer = exchange => answer,
            cut_off = await_cut_off(relay, request, upstream) => Err(cut_off),
        }
    };
    match clock::timeout_at(request.deadline, answered).await {
        Some(Ok(Some(answer))) if is_signed(answer.status, &answer.headers, names) => {
            relay.server_answered(server.key);
            SendOutcome::Answer(answer)
        }
        Some(Ok(Some(_))) => SendOutcome::Failed(UpstreamError::Lost {
            addr: server.addr(),
            message: "a success without the server's signature header".to_owned(),
        }),
        Some(Ok(None)) => SendOutcome::NotRun,
        Some(Err(error)) => SendOutcome::Failed(error),
        None => SendOutcome::TimedOut,
    }
}

/// Waits until the own path to the server has broken under a request that may be repeated.
/// One that may run only once keeps its run, as the answer may still come.
async fn await_cut_off(
    relay: &Relay,
    request: &CallerRequest,
    upstream: &Upstream,
) -> UpstreamError {
    loop {
        tokio::time::sleep(STALL_CHECK_AFTER).await;
        let is_cut_off = relay.is_answer_cut_off(upstream).await;
        if is_cut_off && request.route.repeatability.may_repeat() {
            let addr = upstream.server.addr;
            return UpstreamError::PathLost { addr };
        }
    }
}

/// Whether a request may still be sent: the configuration in force admits it, none of
/// the servers is leaving, it isn't quarantined, and this instance runs long enough. Records the server list by which it
/// is sent.
pub(crate) fn may_send(relay: &Relay, request: &CallerRequest, servers: &[ServerKey]) -> bool {
    let confirmation = relay.servers_confirmation();
    let view = relay.view.load();
    let Some(index) = &view.index else {
        return false;
    };
    let may_send = relay.is_config_fresh()
        && (relay.may_begin_run() || request.sends.was_sent())
        && request.is_allowed_by(index)
        && none_is_leaving(relay, &view, servers)
        && !relay.is_quarantined(request);
    if may_send {
        request.sends.record(ListAtSend::new(&view, confirmation));
    }
    may_send
}

/// The same for another run of a request that has run, without the check of the
/// configuration: the bounds on revoking access count from the time the caller sent it.
pub(crate) fn may_send_again(
    relay: &Relay,
    request: &CallerRequest,
    servers: &[ServerKey],
) -> bool {
    let confirmation = relay.servers_confirmation();
    let view = relay.view.load();
    let may_send = none_is_leaving(relay, &view, servers) && !relay.is_quarantined(request);
    if may_send {
        request.sends.record(ListAtSend::new(&view, confirmation));
    }
    may_send
}

/// Whether all servers are listed and none is leaving.
fn none_is_leaving(relay: &Relay, view: &SiteView, servers: &[ServerKey]) -> bool {
    servers.iter().all(|server| {
        let known = view.server(*server);
        known.is_some_and(|known| !relay.states.is_leaving(known))
    })
}

/// Records the outcome and passes a server's answer on.
fn pass_answer(
    relay: &Relay,
    request: &CallerRequest,
    server: &BackendServer,
    answer: WholeAnswer,
) -> ServeOutcome {
    if !answer.status.is_server_error() {
        relay.record_finished_run(request);
    }
    record_served(relay, request, answer.status.as_u16(), &server.id);
    ServeOutcome::Answer(answer.into_response())
}

fn log_failed_try(relay: &Relay, request: &CallerRequest, server: &BackendServer, cause: &str) {
    if let Some(log) = relay.events.line(Weight::Notable) {
        warn!(log, "request: a try at a server failed"; "event" => "attempt_failed",
            "request" => &request.attempt, "signature" => %request.signature(),
            "server" => &*server.id, "addr" => %server.addr(),
            "cause" => cause, "left_ms" => crate::event_log::millis(request.time_left()),
            request.sends.of_try());
    }
}
