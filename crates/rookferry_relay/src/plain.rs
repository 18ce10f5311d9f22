//! Requests to plain services: one server answers each.

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
use crate::front::Served;
use crate::front::note_served;
use crate::permits::PathPermits;
use crate::quarantine::BrokenAt;
use crate::quarantine::Reach;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::server_loss::ServerLoss;
use crate::upstream::UpstreamError;
use crate::upstream::WholeAnswer;
use crate::upstream::is_signed;
use crate::view::ServerTable;
use crate::view::SiteView;

/// What a server in another failure domain counts for, in requests under way;
/// its way is a quarter of a millisecond longer.
const FAR_COST: f64 = 0.5;
/// What a server that fails all its requests counts for, in requests.
const FAILING_COST: f64 = 30.0;
/// How often a request may be turned away by servers, or find none reachable.
const MAX_UNRUN_TRIES: usize = 4;
/// Servers that are asked a permit of for one try.
pub(crate) const MAX_PERMIT_TRIES: usize = 16;
/// The least time left in which sending makes sense.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

enum Tried {
    Answer(WholeAnswer),
    /// The server says that it didn't run the request.
    NotRun,
    Failed(UpstreamError),
    TimeOver,
}

/// Serves a request.
pub(crate) async fn serve(relay: &Arc<Relay>, request: CallerRequest) -> Served {
    relay.note_fresh(&request.service);
    let view = relay.view.load_full();
    let (Some(index), Some(table)) = (&view.index, &view.servers) else {
        return Served::Withdrawn;
    };
    let Some(service) = index.service(&request.service) else {
        return Served::Refused(Refusal::NoServer);
    };
    let may_repeat = request.route.repeatability.may_repeat();
    let mut avoided: Vec<ServerKey> = Vec::new();
    let mut has_run = 0;
    let mut arrived = 0;
    let mut last_answer = None;
    for _ in 0..MAX_UNRUN_TRIES {
        if request.time_left() < MIN_TIME_LEFT {
            break;
        }
        if has_run > 0 && !relay.may_run_again(&request).await {
            break;
        }
        if arrived > 0 && !relay.take_retry(&request) {
            break;
        }
        let chosen = choose_permitted(relay, &request, table, service, &avoided).await;
        let Some((server, permits)) = chosen else {
            break;
        };
        avoided.push(server.key);
        let sent_at = clock::now();
        match send(relay, &request, service, server, &permits).await {
            Tried::Answer(answer) => {
                has_run += 1;
                arrived += 1;
                let is_final = !(answer.status.is_server_error() && may_repeat);
                if is_final {
                    return answered(relay, &request, server, answer);
                }
                note_failed(relay, &request, server, answer.status.as_str());
                relay.states.health().failed(server.key, clock::now());
                last_answer = Some((server.clone(), answer));
            }
            Tried::NotRun => {
                arrived += 1;
                note_failed(relay, &request, server, "not run");
                // One that asked for a backoff is left alone for just that.
                if relay.states.backoff_left(server.key).is_none() {
                    relay.states.health().failed(server.key, clock::now());
                }
            }
            Tried::Failed(UpstreamError::Withdrawn) => {
                if arrived == 0 {
                    return Served::Withdrawn;
                }
                break;
            }
            Tried::Failed(error) if error.is_held_here() => {
                note_failed(relay, &request, server, &error.to_string());
            }
            Tried::Failed(error) if error.is_unsent() => {
                note_failed(relay, &request, server, &error.to_string());
                relay.server_lost(server.key, &ServerLoss::from(&error));
            }
            Tried::Failed(error) => {
                has_run += 1;
                arrived += 1;
                note_failed(relay, &request, server, &error.to_string());
                if error.is_break() {
                    let broken = BrokenAt {
                        server: server.key,
                        run: rand::random(),
                        reach: Reach::Direct,
                        progress: RunProgress::Begun,
                        joined_at: sent_at,
                    };
                    relay.run_broke(&request, broken);
                }
                relay.states.health().failed(server.key, clock::now());
            }
            Tried::TimeOver => return Served::Refused(Refusal::TimeOver),
        }
        let may_go_on = may_repeat || has_run == 0;
        if !may_go_on || has_run >= request.route.max_servers.max(1) {
            break;
        }
    }
    if let Some((server, answer)) = last_answer {
        return answered(relay, &request, &server, answer);
    }
    let is_time_over = request.time_left() < MIN_TIME_LEFT;
    let refusal = Refusal::after_tries(has_run > 0, is_time_over);
    Served::Refused(refusal.or_known(|| wait_for_server(relay, &request, table, service)))
}

/// When a server takes the request, if none may be sent it now.
fn wait_for_server(
    relay: &Relay,
    request: &CallerRequest,
    table: &ServerTable,
    service: &ServingService,
) -> Option<Refusal> {
    let now = clock::now();
    let wait = relay.retry_times(table, service, request.urgency, now);
    let filter = relay.server_filter(request.urgency);
    let is_there_at = |at| {
        let mut servers = table.of(&service.name);
        servers.any(|server| filter.accepts(server, at))
    };
    if is_there_at(now) {
        return None;
    }
    let first = wait.times.iter().find(|end| is_there_at(**end))?;
    Some(wait.refusal(*first, now))
}

/// The server with the least to do, of those that take the request: one with a
/// limit may have no permit for it.
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

/// The server with the least to do.
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
        let is_far = server.domain != relay.settings.domain;
        f64::from(relay.load_of(server.key).requests)
            + if is_far { FAR_COST } else { 0.0 }
            + filter.health.failing_share(server.key, now) * FAILING_COST
    };
    usable.min_by(|left, right| cost(left).total_cmp(&cost(right)))
}

async fn send(
    relay: &Relay,
    request: &CallerRequest,
    service: &ServingService,
    server: &BackendServer,
    permits: &PathPermits,
) -> Tried {
    let names = relay.protocol.names();
    let _load = relay
        .states
        .loads
        .enter(vec![(server.key, request.tokens())]);
    let outbound = request.to_server(names, &server.id, None);
    let upstream = relay.upstream(server.key, service);
    let may_send = || may_send(relay, request, &[server.key]);
    let exchange = async {
        let purpose = Purpose::CallerRequest(permits);
        let answer = relay.send(upstream, outbound, purpose, may_send).await?;
        if !answer.is_for(names, &request.attempt) {
            return Err(UpstreamError::Crossed {
                addr: server.addr(),
            });
        }
        if answer.is_not_run(names) {
            answer.collect(server.addr()).await?;
            return Ok(None);
        }
        answer.collect(server.addr()).await.map(Some)
    };
    match clock::timeout_at(request.deadline, exchange).await {
        Some(Ok(Some(answer))) if is_signed(answer.status, &answer.headers, names) => {
            relay.server_answered(server.key);
            Tried::Answer(answer)
        }
        Some(Ok(Some(_))) => Tried::Failed(UpstreamError::Lost {
            addr: server.addr(),
            message: "a success without the server's signature".to_owned(),
        }),
        Some(Ok(None)) => Tried::NotRun,
        Some(Err(error)) => Tried::Failed(error),
        None => Tried::TimeOver,
    }
}

/// Whether what was decided still holds, right before the first byte leaves for one of
/// the servers.
pub(crate) fn may_send(relay: &Relay, request: &CallerRequest, servers: &[ServerKey]) -> bool {
    let view = relay.view.load();
    let Some(index) = &view.index else {
        return false;
    };
    relay.is_config_fresh()
        && request.is_allowed_by(index)
        && stay(relay, &view, servers)
        && !relay.is_held(request)
}

/// The same for another run of a request that has run: its caller sent it
/// when it was allowed, which is what the bounds count from.
pub(crate) fn may_send_again(
    relay: &Relay,
    request: &CallerRequest,
    servers: &[ServerKey],
) -> bool {
    stay(relay, &relay.view.load(), servers) && !relay.is_held(request)
}

/// Whether none of the servers that a request passes leaves.
fn stay(relay: &Relay, view: &SiteView, servers: &[ServerKey]) -> bool {
    servers.iter().all(|server| {
        let known = view.server(*server);
        known.is_some_and(|known| !relay.states.is_leaving(known))
    })
}

fn answered(
    relay: &Relay,
    request: &CallerRequest,
    server: &BackendServer,
    answer: WholeAnswer,
) -> Served {
    if !answer.status.is_server_error() {
        relay.run_finished(request);
    }
    note_served(relay, request, answer.status.as_u16(), &server.id);
    Served::Answer(answer.into_response())
}

fn note_failed(relay: &Relay, request: &CallerRequest, server: &BackendServer, cause: &str) {
    if let Some(log) = relay.events.line(Weight::Notable) {
        warn!(log, "request: a try failed"; "event" => "attempt_failed",
            "request" => &request.attempt, "signature" => %request.signature(),
            "server" => &*server.id, "addr" => %server.addr(),
            "cause" => cause, "left_ms" => crate::event_log::millis(request.time_left()));
    }
}
