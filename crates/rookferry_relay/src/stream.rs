//! Streams of events from pipelines that engines forward themselves.
//!
//! Whole events are passed on as they arrive. When a stream stalls, or the fleet
//! changes, its path is checked: a lost stage is replaced under the running stream,
//! which needs no new run. If the first engine is lost, or the stream breaks, another
//! run resumes after the last delivered event, if the route allows repeats.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use metrics::counter;
use metrics::histogram;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use slog::info;
use slog::warn;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::event_splitter::EventSplitter;
use crate::links::Way;
use crate::path_supervisor::PathCheck;
use crate::path_supervisor::PathSupervisor;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::request::end_to_end_headers;
use crate::request_handler::ServeOutcome;
use crate::stream_opener::StreamOpener;
use crate::stream_opener::StreamTarget;
use crate::upstream::UpstreamAnswer;

/// State of a stream over all its runs.
struct StreamState {
    target: StreamTarget,
    /// Monitors the path of the current run.
    supervisor: PathSupervisor,
    answer: Box<UpstreamAnswer>,
    splitter: EventSplitter,
    /// Servers that are excluded from the paths of further runs.
    avoided: Vec<ServerKey>,
    runs: u32,
    first_event_at: Option<Instant>,
    last_event_at: Instant,
    longest_gap: Duration,
    /// Whether the stream was delivered whole or cut.
    is_over: bool,
}

/// Opens the first run of a stream and returns its answer's head.
pub(crate) async fn serve(relay: &Arc<Relay>, request: CallerRequest) -> ServeOutcome {
    relay.count_new_request(&request.service);
    let view = relay.view.load_full();
    let Some(index) = &view.index else {
        return ServeOutcome::Withdrawn;
    };
    let service = index.service(&request.service).cloned();
    let Some(service) = service else {
        return ServeOutcome::Refused(Refusal::NoServer);
    };
    let Some(model) = service.model.clone() else {
        return ServeOutcome::Refused(Refusal::NoServer);
    };
    let target = StreamTarget {
        relay: relay.clone(),
        request: Arc::new(request),
        service,
        model,
    };
    if target.request.head.last_event.is_none() {
        let gate = &relay.admission_gate;
        gate.record_arrival(&target.service.name, target.request.arrival());
    }
    let mut opener = StreamOpener::first(&target);
    let guard = FirstRunGuard::new(&target);
    let first_run = opener.open(target.request.head.last_event).await;
    guard.end();
    let (avoided, runs) = (opener.avoided, opener.runs);
    match first_run {
        Ok((answer, supervisor)) => respond(StreamState {
            splitter: EventSplitter::resuming_after(target.request.head.last_event),
            target,
            supervisor,
            answer,
            avoided,
            runs,
            first_event_at: None,
            last_event_at: clock::now(),
            longest_gap: Duration::ZERO,
            is_over: false,
        }),
        Err(served) => served,
    }
}

/// Logs a caller that leaves before its stream has begun, when dropped unended.
struct FirstRunGuard {
    relay: Arc<Relay>,
    request: Arc<CallerRequest>,
    is_over: bool,
}

impl FirstRunGuard {
    fn new(target: &StreamTarget) -> Self {
        Self {
            relay: target.relay.clone(),
            request: target.request.clone(),
            is_over: false,
        }
    }

    /// Drops the guard without a log line.
    fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for FirstRunGuard {
    fn drop(&mut self) {
        if self.is_over || self.relay.ends_requests() {
            return;
        }
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            warn!(log, "stream: the caller left before the first event"; "event" => "caller_left",
                "request" => &self.request.attempt,
                "waited_ms" => millis(clock::since(self.request.received_at)),
                self.request.sends.last());
        }
    }
}

/// The response with the answer's head and a body that polls the stream.
fn respond(state: StreamState) -> ServeOutcome {
    let status = state.answer.status;
    let mut headers = end_to_end_headers(&state.answer.headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let events = stream::unfold(state, |mut state| async move {
        let item = state.next().await?;
        Some((item.map(http_body::Frame::data), state))
    });
    let mut response: Response<Body> =
        Response::new(UnsyncBoxBody::new(StreamBody::new(Box::pin(events))));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    ServeOutcome::Answer(response)
}

/// What happened next on a stream.
enum Step {
    /// Whole events for the caller.
    Events(Bytes),
    /// Nothing to pass on.
    NoEvents,
    /// The answer is complete.
    Ended,
    /// The answer broke off or was invalid.
    Broken(String),
    /// Another run is worth more than a repair or than waiting for the first engine.
    NewRunPreferred,
    /// The first engine is unreachable, and no event arrives.
    FirstEngineLost,
    /// The request's deadline has passed.
    TimedOut,
}

impl StreamState {
    /// The next events for the caller; an error cuts the response short.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.is_over {
            return None;
        }
        loop {
            match self.step().await {
                Step::Events(events) => {
                    self.record_events();
                    return Some(Ok(events));
                }
                Step::NoEvents => {}
                Step::Ended => {
                    self.record_end();
                    return None;
                }
                Step::TimedOut => return Some(self.cut("the deadline passed")),
                Step::NewRunPreferred => {
                    if !self.resume("a lost stage can't be replaced soon").await {
                        self.supervisor.allow_costly_repair();
                    }
                }
                Step::FirstEngineLost => {
                    self.supervisor.record_broken_at_first();
                    // Without another run the current one stays: the engine may be
                    // shutting down and finish this stream before.
                    self.resume("the first engine is lost").await;
                }
                Step::Broken(cause) => {
                    self.answer.record_break(clock::now());
                    self.supervisor.record_broken_at_first();
                    let first = self.supervisor.path().first().server;
                    if self.answer.way == Way::Direct {
                        let mut health = self.target.relay.states.health();
                        health.failed(first, clock::now());
                    }
                    self.avoided.push(first);
                    if !self.resume(&cause).await {
                        return Some(self.cut(&cause));
                    }
                }
            }
        }
    }

    /// Waits for bytes, and monitors the path meanwhile.
    async fn step(&mut self) -> Step {
        let deadline = self.target.request.deadline;
        tokio::select! {
            frame = self.answer.body.frame() => match frame {
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        return Step::NoEvents;
                    };
                    match self.splitter.push(data) {
                        Ok(Some(events)) => Step::Events(events),
                        Ok(None) => Step::NoEvents,
                        Err(_) => Step::Broken("an event exceeds the size limit".to_owned()),
                    }
                }
                Some(Err(error)) => Step::Broken(error.to_string()),
                None if self.splitter.has_partial() => {
                    Step::Broken("the answer ended within an event".to_owned())
                }
                None => Step::Ended,
            },
            () = clock::sleep_until(deadline) => Step::TimedOut,
            watched = self.supervisor.watch() => match watched {
                PathCheck::NoAction => Step::NoEvents,
                PathCheck::FirstEngineLost => Step::FirstEngineLost,
                PathCheck::RepairTooCostly | PathCheck::Hung => Step::NewRunPreferred,
            }
        }
    }

    /// Records events that are about to be passed on.
    fn record_events(&mut self) {
        let now = clock::now();
        let stalled = self.supervisor.stalled_for(now);
        self.supervisor.record_progress(now);
        self.answer.record_activity(now);
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            self.target.relay.record_first_event(&self.target.request);
            let service = &self.target.service.name;
            let gate = &self.target.relay.admission_gate;
            gate.record_first_event(service, stalled);
            let wait = now.saturating_duration_since(self.target.request.received_at);
            let route = self.target.request.route.name.to_string();
            histogram!("rookferry_first_event_seconds", "route" => route)
                .record(wait.as_secs_f64());
        } else {
            let gap = now.saturating_duration_since(self.last_event_at);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.last_event_at = now;
    }

    /// Records the end of a stream that was delivered whole.
    fn record_end(&mut self) {
        self.is_over = true;
        self.answer.return_connection();
        self.target.relay.record_finished_run(&self.target.request);
        let request = &self.target.request;
        let route = request.route.name.to_string();
        histogram!("rookferry_event_gap_seconds", "route" => route.clone())
            .record(self.longest_gap.as_secs_f64());
        counter!("rookferry_served_total", "route" => route, "status" => "200").increment(1);
        if let Some(log) = self.target.relay.events.line(Weight::Routine) {
            let first = self.first_event_at.unwrap_or(self.last_event_at);
            info!(log, "stream: delivered"; "event" => "served",
                "request" => &request.attempt, "route" => &*request.route.name,
                "path" => self.supervisor.describe(), "status" => 200,
                "first_event_ms" => millis(first.saturating_duration_since(request.received_at)),
                "longest_gap_ms" => millis(self.longest_gap),
                "took_ms" => millis(clock::since(request.received_at)),
                "runs" => self.runs, "repairs" => self.supervisor.repairs(),
                "through" => self.answer.way.peer().map(|peer| peer.to_string()),
                "config_version" => request.config_version, request.sends.last());
        }
    }

    /// Logs the cut and returns the error that aborts the caller's response.
    fn cut(&mut self, cause: &str) -> Result<Bytes, io::Error> {
        self.is_over = true;
        counter!("rookferry_streams_cut_total").increment(1);
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: cut short"; "event" => "stream_cut",
                "request" => &self.target.request.attempt,
                "signature" => %self.target.request.signature(), "cause" => cause,
                "segments" => self.target.request.describe_segments(),
                "path" => self.supervisor.describe(), "runs" => self.runs,
                "last_event" => self.splitter.last_id(),
                "left_ms" => millis(self.target.request.time_left()),
                self.target.request.sends.last());
        }
        Err(io::Error::other("the stream was cut short"))
    }

    /// Continues with another run after the last whole event; false if there is none.
    async fn resume(&mut self, cause: &str) -> bool {
        let route = &self.target.request.route;
        let may_run = route.repeatability.may_repeat() && self.runs < route.max_servers.max(1);
        if !may_run {
            return false;
        }
        let after = self.splitter.last_id();
        let avoided = std::mem::take(&mut self.avoided);
        let mut opener = StreamOpener::again(&self.target, avoided, self.runs);
        let another = opener.open(after).await;
        self.avoided = std::mem::take(&mut opener.avoided);
        self.runs = opener.runs;
        let Ok((answer, supervisor)) = another else {
            return false;
        };
        if answer.status != StatusCode::OK {
            return false;
        }
        let paused = clock::since(self.last_event_at);
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: resumed by another run"; "event" => "stream_resumed",
                "request" => &self.target.request.attempt,
                "signature" => %self.target.request.signature(), "cause" => cause,
                "after_event" => after,
                "paused_ms" => millis(paused), "runs" => self.runs, "path" => supervisor.describe(),
                self.target.request.sends.last());
        }
        self.splitter.drop_partial();
        self.answer = answer;
        self.supervisor = supervisor;
        true
    }
}

impl Drop for StreamState {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        if let Some(log) = self.target.relay.events.line(Weight::Routine) {
            info!(log, "stream: the caller left"; "event" => "caller_left",
                "request" => &self.target.request.attempt, "last_event" => self.splitter.last_id(),
                self.target.request.sends.last());
        }
    }
}
