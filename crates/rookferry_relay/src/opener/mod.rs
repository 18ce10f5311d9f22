//! Opens runs of one stream: chooses paths, sends along them, and judges what
//! comes back until an engine answers or nothing is left to try.

mod refused;
mod room;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use rookferry_core::BackendServer;
use rookferry_core::ModelShape;
use rookferry_core::NoPath;
use rookferry_core::PathFinder;
use rookferry_core::PipelinePath;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;
use rookferry_core::ServingService;
use rookferry_net::clock;
use slog::warn;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::exchange::Purpose;
use crate::front::Served;
use crate::front::note_served;
use crate::path_keeper::PathKeeper;
use crate::path_keeper::Watched;
use crate::permits::PathPermits;
use crate::plain::MAX_PERMIT_TRIES;
use crate::plain::may_send;
use crate::plain::may_send_again;
use crate::quarantine::BrokenAt;
use crate::quarantine::Reach;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::server_loss::ServerLoss;
use crate::upstream::UpstreamAnswer;
use crate::upstream::UpstreamError;
use crate::upstream::is_signed;

/// How often one request may be turned away, or find its engine unreachable.
const MAX_UNRUN_TRIES: usize = 4;
/// The least time left in which sending makes sense.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);

/// A stream's request, and the engines that it is for.
#[derive(Clone)]
pub(crate) struct StreamTarget {
    pub(crate) relay: Arc<Relay>,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) service: ServingService,
    pub(crate) model: Arc<ModelShape>,
}

/// What one try to open a stream came to.
enum Opened {
    /// The engine answers; a success is a stream that runs.
    Answer(Box<UpstreamAnswer>),
    NotRun {
        at_fault: Option<ServerKey>,
        /// The backoff that the engine asked for.
        backoff: Option<Duration>,
    },
    Failed(UpstreamError),
    TimeOver,
}

/// Opens runs of one request.
pub(crate) struct Opener<'a> {
    target: &'a StreamTarget,
    /// Servers that no further try may begin at.
    pub(crate) avoided: Vec<ServerKey>,
    /// Runs that the request has had.
    pub(crate) runs: u32,
    /// Tries that have reached an engine.
    arrived: usize,
    /// Whether the next try is taken out of the budget already.
    is_paid: bool,
}

impl<'a> Opener<'a> {
    /// For the first run of a request.
    pub(crate) const fn first(target: &'a StreamTarget) -> Self {
        Self {
            target,
            avoided: Vec::new(),
            runs: 0,
            arrived: 0,
            is_paid: false,
        }
    }

    /// For a run after others.
    pub(crate) const fn again(
        target: &'a StreamTarget,
        avoided: Vec<ServerKey>,
        runs: u32,
    ) -> Self {
        Self {
            target,
            avoided,
            runs,
            arrived: 1,
            is_paid: false,
        }
    }

    /// Tries paths until an engine answers.
    pub(crate) async fn open(
        &mut self,
        after: Option<u64>,
    ) -> Result<(Box<UpstreamAnswer>, PathKeeper), Served> {
        let may_repeat = self.target.request.route.repeatability.may_repeat();
        for _ in 0..MAX_UNRUN_TRIES {
            if self.target.request.time_left() < MIN_TIME_LEFT {
                break;
            }
            if self.runs > 0 && !self.target.relay.may_run_again(&self.target.request).await {
                break;
            }
            let is_paid = std::mem::take(&mut self.is_paid);
            if self.arrived > 0 && !is_paid && !self.target.relay.take_retry(&self.target.request) {
                break;
            }
            let chosen = self.choose_permitted().await.map_err(Served::Refused)?;
            let Some((path, permits)) = chosen else {
                self.note_failed("", "no engines cover the layers");
                break;
            };
            let first = path.first().server;
            let mut keeper = PathKeeper::new(self.target, path);
            match self.send(&mut keeper, &permits, after).await {
                Opened::Answer(answer) => {
                    self.arrived += 1;
                    self.runs += 1;
                    if answer.status.is_success() {
                        self.target.relay.server_answered(first);
                        return Ok((answer, keeper));
                    }
                    self.note_failed(&keeper.describe(), answer.status.as_str());
                    self.target
                        .relay
                        .states
                        .health()
                        .failed(first, clock::now());
                    let is_final = !(answer.status.is_server_error() && may_repeat)
                        || self.runs >= self.target.request.route.max_servers.max(1);
                    if is_final {
                        return Err(self.pass_failure(*answer, first.addr).await);
                    }
                    self.avoided.push(first);
                }
                Opened::NotRun { at_fault, backoff } => {
                    self.arrived += 1;
                    let named =
                        at_fault.map_or_else(String::new, |server| format!(": {}", server.addr));
                    self.note_failed(&keeper.describe(), &format!("not run{named}"));
                    let refusing = at_fault.unwrap_or(first);
                    self.note_refused(first, refusing, backoff);
                    self.avoided.push(refusing);
                }
                Opened::Failed(UpstreamError::Withdrawn) => {
                    if self.arrived == 0 {
                        return Err(Served::Withdrawn);
                    }
                    break;
                }
                Opened::Failed(error) => {
                    if !self.goes_on_after(&error, &keeper) {
                        break;
                    }
                }
                Opened::TimeOver => return Err(Served::Refused(Refusal::TimeOver)),
            }
        }
        let is_time_over = self.target.request.time_left() < MIN_TIME_LEFT;
        let refusal = Refusal::after_tries(self.runs > 0, is_time_over);
        Err(Served::Refused(
            refusal.or_known(|| self.wait_for_engines()),
        ))
    }

    /// A try gave no answer; tells whether another may follow.
    fn goes_on_after(&mut self, error: &UpstreamError, keeper: &PathKeeper) -> bool {
        let relay = &self.target.relay;
        let request = &self.target.request;
        let first = keeper.path().first().server;
        self.note_failed(&keeper.describe(), &error.to_string());
        self.avoided.push(first);
        let now = clock::now();
        if error.is_own_limit() {
            relay.states.health().turned_away(first, now);
            return true;
        }
        if error.is_held_here() {
            return true;
        }
        if error.is_unsent() {
            relay.server_lost(first, &ServerLoss::from(error));
            return true;
        }
        self.arrived += 1;
        self.runs += 1;
        if error.is_break() {
            let broken = BrokenAt {
                server: first,
                run: keeper.run(),
                reach: Reach::Direct,
                progress: RunProgress::Begun,
                joined_at: keeper.joined_at(first),
            };
            relay.run_broke(request, broken);
        }
        relay.states.health().failed(first, now);
        request.route.repeatability.may_repeat() && self.runs < request.route.max_servers.max(1)
    }

    /// Whether nothing of the request has been made yet.
    fn is_fresh(&self) -> bool {
        self.runs == 0 && self.target.request.head.last_event.is_none()
    }

    /// Whether another run could begin at another engine; takes it out of the
    /// budget.
    fn can_start_elsewhere(&self, first: ServerKey) -> bool {
        let may_repeat = self.target.request.route.repeatability.may_repeat();
        let may_run = may_repeat && self.target.request.route.max_servers > 1;
        may_run
            && self.choose(&[first]).is_some()
            && self.target.relay.take_retry(&self.target.request)
    }

    /// The best path whose engines all take the request: those with a limit may have
    /// no permit for it.
    async fn choose_permitted(&self) -> Result<Option<(PipelinePath, PathPermits)>, Refusal> {
        for _ in 0..MAX_PERMIT_TRIES {
            let chosen = if self.is_fresh() {
                self.choose_with_room().await?
            } else {
                self.choose(&[])
            };
            let Some(path) = chosen else {
                return Ok(None);
            };
            let servers = path.stages().iter().map(|stage| stage.server).collect();
            let request = &self.target.request;
            if let Some(permits) = self.target.relay.permits_for(request, servers).await {
                return Ok(Some((path, permits)));
            }
        }
        Ok(None)
    }

    /// The best path over engines that may be used, without avoided ones.
    fn choose(&self, also_avoided: &[ServerKey]) -> Option<PipelinePath> {
        let home = &self.target.relay.settings.domain;
        let tokens = self.target.request.tokens();
        let found = self.with_finder(also_avoided, |finder| finder.find(home, tokens))?;
        found.inspect_err(|no_path| self.note_no_path(no_path)).ok()
    }

    /// A way that was found and is no path tells of a fault of the search.
    fn note_no_path(&self, no_path: &NoPath) {
        let NoPath::Unusable { fault } = no_path else {
            return;
        };
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: the way found is no path"; "event" => "path_unusable",
                "request" => &self.target.request.attempt, "cause" => %fault);
        }
    }

    /// Runs a search over engines that may be used, without avoided ones.
    fn with_finder<T>(
        &self,
        also_avoided: &[ServerKey],
        run: impl FnOnce(&PathFinder<'_>) -> T,
    ) -> Option<T> {
        let view = self.target.relay.view.load();
        let table = view.servers.as_ref()?;
        let StreamTarget {
            relay,
            request,
            service,
            model,
        } = self.target;
        let engines = relay.pipeline_engines(table, service, model, request.urgency);
        let usable = engines
            .iter()
            .filter(|engine| !self.avoided.contains(&engine.server))
            .filter(|engine| !also_avoided.contains(&engine.server));
        Some(run(&PathFinder::new(self.target.model.layers, usable)))
    }

    /// Sends the request along a path and waits for the answer's head.
    async fn send(
        &mut self,
        keeper: &mut PathKeeper,
        permits: &PathPermits,
        after: Option<u64>,
    ) -> Opened {
        let relay = &self.target.relay;
        let request = &self.target.request;
        let names = relay.protocol.names();
        let first = keeper.path().first().clone();
        let path = (names.path.clone(), relay.protocol.path_value(keeper.path()));
        let resume = after.map(|id| (names.last_event.clone(), HeaderValue::from(id)));
        let extra = std::iter::once(path).chain(resume);
        let outbound = request.to_server(names, &first.engine, extra);
        let server = relay.view.load().server(first.server).cloned();
        let Some(server) = server else {
            return Opened::Failed(UpstreamError::Withdrawn);
        };
        let upstream = relay.upstream(first.server, &self.target.service);
        let stages = keeper.path().stages().iter();
        let servers: Vec<ServerKey> = stages.map(|stage| stage.server).collect();
        let has_run = self.runs > 0;
        let may_repeat = request.route.repeatability.may_repeat();
        let may_send = || {
            if has_run {
                may_send_again(relay, request, &servers)
            } else {
                may_send(relay, request, &servers)
            }
        };
        let purpose = Purpose::CallerRequest(permits);
        let sending = relay.send(upstream, outbound, purpose, may_send);
        tokio::pin!(sending);
        let sent = loop {
            tokio::select! {
                sent = &mut sending => break sent,
                () = clock::sleep_until(request.deadline) => return Opened::TimeOver,
                watched = keeper.watch() => {
                    let message = match watched {
                        Watched::Fine => continue,
                        Watched::FirstLost => "the first engine is lost",
                        Watched::Hung if self.runs > 0 || !self.can_start_elsewhere(first.server) => {
                            continue;
                        }
                        Watched::Hung => {
                            self.is_paid = true;
                            "no event came, and nothing is lost"
                        }
                        // One that may run once stays with the run it has.
                        Watched::Costly if self.runs > 0 || !may_repeat => {
                            keeper.keep_run();
                            continue;
                        }
                        Watched::Costly => "a lost stage can't be replaced soon",
                    };
                    break Err(UpstreamError::GivenUp {
                        addr: first.addr(),
                        message: message.to_owned(),
                    });
                }
            }
        };
        match sent {
            Ok(answer) => self.opened(answer, &server, keeper.path()).await,
            Err(error) => Opened::Failed(error),
        }
    }

    async fn opened(
        &self,
        answer: UpstreamAnswer,
        server: &BackendServer,
        path: &PipelinePath,
    ) -> Opened {
        let names = self.target.relay.protocol.names();
        if !answer.is_for(names, &self.target.request.attempt) {
            return Opened::Failed(UpstreamError::Crossed {
                addr: server.addr(),
            });
        }
        if answer.is_not_run(names) {
            let at_fault = faulty_server(&answer.headers, &names.faulty_server)
                .and_then(|addr| self.target.relay.engine_at(addr, path));
            let backoff = answer.backoff;
            // Read to its end so that the connection can be kept.
            let _ = tokio::time::timeout(MIN_TIME_LEFT, answer.collect(server.addr())).await;
            return Opened::NotRun { at_fault, backoff };
        }
        if !is_signed(answer.status, &answer.headers, names) {
            return Opened::Failed(UpstreamError::Lost {
                addr: server.addr(),
                message: "a success without the engine's signature".to_owned(),
            });
        }
        Opened::Answer(Box::new(answer))
    }

    /// Passes an engine's own failure on.
    async fn pass_failure(&self, answer: UpstreamAnswer, addr: SocketAddr) -> Served {
        let whole =
            tokio::time::timeout(self.target.request.time_left(), answer.collect(addr)).await;
        let Ok(Ok(whole)) = whole else {
            return Served::Refused(Refusal::Unknown);
        };
        note_served(
            &self.target.relay,
            &self.target.request,
            whole.status.as_u16(),
            "engine",
        );
        Served::Answer(whole.into_response())
    }

    fn note_failed(&self, path: &str, cause: &str) {
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            let avoided: Vec<String> = self
                .avoided
                .iter()
                .map(|server| server.addr.to_string())
                .collect();
            warn!(log, "stream: a try failed"; "event" => "attempt_failed",
                "request" => &self.target.request.attempt,
                "signature" => %self.target.request.signature(), "path" => path, "avoided" => avoided.join(","),
                "cause" => cause, "left_ms" => millis(self.target.request.time_left()));
        }
    }
}

fn faulty_server(headers: &HeaderMap, name: &http::HeaderName) -> Option<SocketAddr> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
