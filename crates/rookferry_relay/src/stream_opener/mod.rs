//! Opens runs of one stream: chooses a path, sends the request along it and classifies
//! the outcome, until an engine answers or no try is left.
//!
//! An engine that refused, failed or couldn't be reached is avoided by the next tries.
//! A request that may have run is sent again only if its route allows repeats, and each
//! try after one that reached an engine is taken out of the retry budget.

mod admission;
mod refusals;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use rookferry_core::BackendServer;
use rookferry_core::ModelShape;
use rookferry_core::PathFinder;
use rookferry_core::PathSearchError;
use rookferry_core::PipelineEngine;
use rookferry_core::PipelinePath;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;
use rookferry_core::ServingService;
use rookferry_net::clock;
use slog::warn;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::exchange::Purpose;
use crate::path_supervisor::PathCheck;
use crate::path_supervisor::PathSupervisor;
use crate::permits::PathPermits;
use crate::plain::MAX_PERMIT_TRIES;
use crate::plain::may_send;
use crate::plain::may_send_again;
use crate::quarantine::Reach;
use crate::quarantine::RunBreak;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::request_handler::ServeOutcome;
use crate::request_handler::record_served;
use crate::server_loss::ServerLoss;
use crate::upstream::Dial;
use crate::upstream::UpstreamAnswer;
use crate::upstream::UpstreamError;
use crate::upstream::is_signed;

/// Tries per run, including refused and unsent ones.
const MAX_TRIES: usize = 4;
/// A request with less time left is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);

/// A stream's request, with the service and the model that serve it.
#[derive(Clone)]
pub(crate) struct StreamTarget {
    pub(crate) relay: Arc<Relay>,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) service: ServingService,
    pub(crate) model: Arc<ModelShape>,
}

/// Outcome of one try to open a stream.
enum SendOutcome {
    /// The engine answered; with a success status its stream is running.
    Answer(Box<UpstreamAnswer>),
    /// An engine of the path refused, and nothing ran.
    NotRun {
        /// The refusing engine, if the answer names one.
        refused_by: Option<ServerKey>,
        /// The backoff that the engine asked for.
        backoff: Option<Duration>,
    },
    Failed(UpstreamError),
    /// The request's deadline passed.
    TimedOut,
}

/// Opens runs of one request.
pub(crate) struct StreamOpener<'a> {
    target: &'a StreamTarget,
    /// Servers that further tries exclude from their paths.
    pub(crate) avoided: Vec<ServerKey>,
    /// Runs of the request so far, including those that may have run.
    pub(crate) runs: u32,
    /// Tries that have reached an engine.
    reached: usize,
    /// Whether the next try has already been taken out of the retry budget.
    is_budgeted: bool,
    /// Whether a run broke with its connection, as other open ones may have.
    is_connection_broken: bool,
    /// Engines that the request was sent to.
    sent_to: Vec<ServerKey>,
    /// Whether the stream counts as started.
    is_started: bool,
}

impl<'a> StreamOpener<'a> {
    /// For the first run of a request.
    pub(crate) const fn first(target: &'a StreamTarget) -> Self {
        Self {
            target,
            avoided: Vec::new(),
            runs: 0,
            reached: 0,
            is_budgeted: false,
            is_connection_broken: false,
            sent_to: Vec::new(),
            is_started: false,
        }
    }

    /// For a further run, with the avoided servers and the number of runs so far.
    pub(crate) const fn again(
        target: &'a StreamTarget,
        avoided: Vec<ServerKey>,
        runs: u32,
    ) -> Self {
        Self {
            target,
            avoided,
            runs,
            reached: 1,
            is_budgeted: false,
            is_connection_broken: true,
            sent_to: Vec::new(),
            is_started: true,
        }
    }

    /// Tries paths until an engine answers with a success, or fails for good.
    ///
    /// `after` is the id of the last delivered event, which the run resumes after.
    pub(crate) async fn open(
        &mut self,
        after: Option<u64>,
    ) -> Result<(Box<UpstreamAnswer>, PathSupervisor), ServeOutcome> {
        let may_repeat = self.target.request.route.repeatability.may_repeat();
        for _ in 0..MAX_TRIES {
            self.target.request.sends.begin_try();
            if self.target.request.time_left() < MIN_TIME_LEFT {
                break;
            }
            if self.runs > 0 && !self.target.relay.may_run_again(&self.target.request).await {
                break;
            }
            let is_budgeted = std::mem::take(&mut self.is_budgeted);
            if self.reached > 0
                && !is_budgeted
                && !self.target.relay.take_retry(&self.target.request)
            {
                break;
            }
            let chosen = self
                .choose_permitted()
                .await
                .map_err(ServeOutcome::Refused)?;
            let Some((path, permits)) = chosen else {
                self.log_failed_try("", "no engines cover the layers");
                break;
            };
            let first = path.first().server;
            let mut supervisor = PathSupervisor::new(self.target, path);
            if !std::mem::replace(&mut self.is_started, true) {
                supervisor.record_stream_start();
            }
            match self.send(&mut supervisor, &permits, after).await {
                SendOutcome::Answer(answer) => {
                    self.reached += 1;
                    self.runs += 1;
                    if answer.status.is_success() {
                        self.target.relay.server_answered(first);
                        return Ok((answer, supervisor));
                    }
                    self.log_failed_try(&supervisor.describe(), answer.status.as_str());
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
                SendOutcome::NotRun {
                    refused_by,
                    backoff,
                } => {
                    self.reached += 1;
                    let named =
                        refused_by.map_or_else(String::new, |server| format!(": {}", server.addr));
                    self.log_failed_try(&supervisor.describe(), &format!("not run{named}"));
                    let refusing = refused_by.unwrap_or(first);
                    self.record_engine_refusal(first, refusing, backoff);
                    self.avoided.push(refusing);
                }
                SendOutcome::Failed(UpstreamError::Withdrawn) => {
                    if self.reached == 0 {
                        return Err(ServeOutcome::Withdrawn);
                    }
                    break;
                }
                SendOutcome::Failed(error) => {
                    if !self.may_continue_after(&error, &supervisor) {
                        break;
                    }
                }
                SendOutcome::TimedOut => return Err(ServeOutcome::Refused(Refusal::TimedOut)),
            }
        }
        let is_timed_out = self.target.request.time_left() < MIN_TIME_LEFT;
        let refusal = Refusal::after_failed_tries(self.runs > 0, is_timed_out);
        Err(ServeOutcome::Refused(
            refusal.or_known_cause(|| self.retry_refusal()),
        ))
    }

    /// Records a try without an answer; returns whether another may follow.
    fn may_continue_after(&mut self, error: &UpstreamError, supervisor: &PathSupervisor) -> bool {
        let relay = &self.target.relay;
        let request = &self.target.request;
        let first = supervisor.path().first().server;
        self.log_failed_try(&supervisor.describe(), &error.to_string());
        self.avoided.push(first);
        let now = clock::now();
        if error.is_connection_limit() {
            relay.states.health().refused(first, now);
            return true;
        }
        if error.is_local_refusal() {
            return true;
        }
        if error.is_unsent() {
            relay.server_lost(first, &ServerLoss::from(error));
            return true;
        }
        self.reached += 1;
        self.runs += 1;
        self.is_connection_broken = true;
        if error.may_be_crash() {
            let broken = RunBreak {
                server: first,
                run: supervisor.run(),
                reach: Reach::Direct,
                progress: RunProgress::Begun,
                joined_at: supervisor.joined_at(first),
            };
            relay.record_broken_run(request, broken);
        }
        if error.is_server_failure() {
            relay.states.health().failed(first, now);
        }
        request.route.repeatability.may_repeat() && self.runs < request.route.max_servers.max(1)
    }

    /// Whether no part of the answer has been produced yet. Only such requests queue
    /// for free cache.
    fn is_unstarted(&self) -> bool {
        self.runs == 0 && self.target.request.head.last_event.is_none()
    }

    /// Whether another run could begin at another engine; takes that run out of the
    /// retry budget.
    fn can_start_elsewhere(&self, first: ServerKey) -> bool {
        let may_repeat = self.target.request.route.repeatability.may_repeat();
        let may_run = may_repeat && self.target.request.route.max_servers > 1;
        may_run
            && self.choose(&[first]).is_some()
            && self.target.relay.take_retry(&self.target.request)
    }

    /// The best path for which the permits of all engines with a limit are granted.
    async fn choose_permitted(&self) -> Result<Option<(PipelinePath, PathPermits)>, Refusal> {
        for _ in 0..MAX_PERMIT_TRIES {
            let chosen = if self.is_unstarted() {
                self.choose_with_free_cache().await?
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

    /// The best path over usable engines, without the avoided ones.
    fn choose(&self, also_avoided: &[ServerKey]) -> Option<PipelinePath> {
        let home = &self.target.relay.settings.domain;
        let tokens = self.target.request.tokens();
        let found = self.with_finder(also_avoided, |_| {}, |finder| finder.find(home, tokens))?;
        found
            .inspect_err(|no_path| self.log_invalid_path(no_path))
            .ok()
    }

    /// Logs a search result that is no valid path, which is a fault of the search.
    fn log_invalid_path(&self, no_path: &PathSearchError) {
        let PathSearchError::Unusable { error } = no_path else {
            return;
        };
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: the path search returned an invalid path"; "event" => "path_unusable",
                "request" => &self.target.request.attempt, "cause" => %error);
        }
    }

    /// Runs a search over the usable engines, without the avoided ones, each changed by
    /// `adjust`; none while there is no list of servers.
    fn with_finder<T>(
        &self,
        also_avoided: &[ServerKey],
        adjust: impl FnMut(&mut PipelineEngine),
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
        let mut engines = relay.pipeline_engines(table, service, model, request.urgency);
        engines.iter_mut().for_each(adjust);
        let usable = engines
            .iter()
            .filter(|engine| !self.avoided.contains(&engine.server))
            .filter(|engine| !also_avoided.contains(&engine.server));
        Some(run(&PathFinder::new(self.target.model.layers, usable)))
    }

    /// Sends the request along a path and waits for the answer's head, monitoring the
    /// path meanwhile.
    async fn send(
        &mut self,
        supervisor: &mut PathSupervisor,
        permits: &PathPermits,
        after: Option<u64>,
    ) -> SendOutcome {
        let relay = &self.target.relay;
        let request = &self.target.request;
        let names = relay.protocol.names();
        let first = supervisor.path().first().clone();
        let path = (
            names.path.clone(),
            relay.protocol.path_value(supervisor.path()),
        );
        let resume = after.map(|id| (names.last_event.clone(), HeaderValue::from(id)));
        let extra = std::iter::once(path).chain(resume);
        let outbound = request.to_server(names, &first.engine, extra);
        let server = relay.view.load().server(first.server).cloned();
        let Some(server) = server else {
            return SendOutcome::Failed(UpstreamError::Withdrawn);
        };
        let mut upstream = relay.upstream(first.server, &self.target.service);
        // A late copy of an answer to this request would pass for the next one's.
        let was_sent_there = self.sent_to.contains(&first.server);
        if self.is_connection_broken || was_sent_there {
            upstream.dial = Dial::New;
        }
        self.sent_to.push(first.server);
        supervisor.set_upstream(upstream.clone());
        let stages = supervisor.path().stages().iter();
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
        let sending = relay.send(&upstream, outbound, purpose, may_send);
        tokio::pin!(sending);
        let sent = loop {
            tokio::select! {
                sent = &mut sending => break sent,
                () = clock::sleep_until(request.deadline) => return SendOutcome::TimedOut,
                watched = supervisor.watch() => {
                    let message = match watched {
                        PathCheck::NoAction => continue,
                        PathCheck::FirstEngineLost => "the first engine is lost",
                        PathCheck::Hung if self.runs > 0 || !self.can_start_elsewhere(first.server) => {
                            continue;
                        }
                        PathCheck::Hung => {
                            self.is_budgeted = true;
                            "no event arrived, and no engine is lost"
                        }
                        // A request that may run only once keeps its run.
                        PathCheck::RepairTooCostly if self.runs > 0 || !may_repeat => {
                            supervisor.allow_costly_repair();
                            continue;
                        }
                        PathCheck::RepairTooCostly => "a lost stage can't be replaced soon",
                    };
                    break Err(UpstreamError::Abandoned {
                        addr: first.addr(),
                        message: message.to_owned(),
                    });
                }
            }
        };
        match sent {
            Ok(answer) => self.classify(answer, &server, supervisor.path()).await,
            Err(error) => SendOutcome::Failed(error),
        }
    }

    /// Classifies an answer's head.
    async fn classify(
        &self,
        answer: UpstreamAnswer,
        server: &BackendServer,
        path: &PipelinePath,
    ) -> SendOutcome {
        let names = self.target.relay.protocol.names();
        if !answer.is_for(names, &self.target.request.attempt) {
            return SendOutcome::Failed(UpstreamError::WrongAttempt {
                addr: server.addr(),
            });
        }
        if answer.is_not_run(names) {
            let refused_by = faulty_server(&answer.headers, &names.faulty_server)
                .and_then(|addr| self.target.relay.engine_at(addr, path));
            let backoff = answer.backoff;
            // Reading the body to its end returns the connection to the pool.
            let whole = answer.collect_internal(server.addr());
            let _ = tokio::time::timeout(MIN_TIME_LEFT, whole).await;
            return SendOutcome::NotRun {
                refused_by,
                backoff,
            };
        }
        if !is_signed(answer.status, &answer.headers, names) {
            return SendOutcome::Failed(UpstreamError::Lost {
                addr: server.addr(),
                message: "a success without the engine's signature header".to_owned(),
            });
        }
        SendOutcome::Answer(Box::new(answer))
    }

    /// Passes an engine's error response on to the caller.
    async fn pass_failure(&self, answer: UpstreamAnswer, addr: SocketAddr) -> ServeOutcome {
        let whole =
            tokio::time::timeout(self.target.request.time_left(), answer.collect(addr)).await;
        let Ok(Ok(whole)) = whole else {
            return ServeOutcome::Refused(Refusal::Unknown);
        };
        record_served(
            &self.target.relay,
            &self.target.request,
            whole.status.as_u16(),
            "engine",
        );
        ServeOutcome::Answer(whole.into_response())
    }

    fn log_failed_try(&self, path: &str, cause: &str) {
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            let avoided: Vec<String> = self
                .avoided
                .iter()
                .map(|server| server.addr.to_string())
                .collect();
            warn!(log, "stream: a try to open a run failed"; "event" => "attempt_failed",
                "request" => &self.target.request.attempt,
                "signature" => %self.target.request.signature(),
                "segments" => self.target.request.describe_segments(),
                "path" => path, "avoided" => avoided.join(","),
                "cause" => cause, "left_ms" => millis(self.target.request.time_left()),
                self.target.request.sends.of_try());
        }
    }
}

/// The address of the refusing engine, if the answer's header names one.
fn faulty_server(headers: &HeaderMap, name: &http::HeaderName) -> Option<SocketAddr> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
