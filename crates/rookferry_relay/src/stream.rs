//! Streams of events from pipelines that engines forward themselves.
//!
//! Whole events are passed on as they come. While a stream stands still, or
//! the fleet changes, its path is looked at: a lost stage is replaced under
//! the running stream, which costs no new run. Where the first engine is
//! lost, or the stream breaks, another run goes on behind the last event that
//! was delivered, if the route allows it.

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
use crate::events::EventSplitter;
use crate::front::Served;
use crate::opener::Opener;
use crate::opener::StreamTarget;
use crate::path_keeper::PathKeeper;
use crate::path_keeper::Watched;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::request::end_to_end;
use crate::upstream::UpstreamAnswer;

/// Where a stream is, over all its runs.
struct StreamRun {
    target: StreamTarget,
    keeper: PathKeeper,
    answer: Box<UpstreamAnswer>,
    splitter: EventSplitter,
    avoided: Vec<ServerKey>,
    runs: u32,
    first_event_at: Option<Instant>,
    last_event_at: Instant,
    longest_gap: Duration,
    is_over: bool,
}

/// Serves a request.
pub(crate) async fn serve(relay: &Arc<Relay>, request: CallerRequest) -> Served {
    relay.note_fresh(&request.service);
    let view = relay.view.load_full();
    let Some(index) = &view.index else {
        return Served::Withdrawn;
    };
    let service = index.service(&request.service).cloned();
    let Some(service) = service else {
        return Served::Refused(Refusal::NoServer);
    };
    let Some(model) = service.model.clone() else {
        return Served::Refused(Refusal::NoServer);
    };
    let target = StreamTarget {
        relay: relay.clone(),
        request: Arc::new(request),
        service,
        model,
    };
    let mut opener = Opener::first(&target);
    let waiting = Waiting::new(&target);
    let first_run = opener.open(target.request.head.last_event).await;
    waiting.end();
    let (avoided, runs) = (opener.avoided, opener.runs);
    match first_run {
        Ok((answer, keeper)) => respond(StreamRun {
            splitter: EventSplitter::resuming_after(target.request.head.last_event),
            target,
            keeper,
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

/// Notes a caller that leaves before its stream has begun.
struct Waiting {
    relay: Arc<Relay>,
    request: Arc<CallerRequest>,
    is_over: bool,
}

impl Waiting {
    fn new(target: &StreamTarget) -> Self {
        Self {
            relay: target.relay.clone(),
            request: target.request.clone(),
            is_over: false,
        }
    }

    fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            warn!(log, "stream: the caller left before the first event"; "event" => "caller_left",
                "request" => &self.request.attempt,
                "waited_ms" => millis(clock::since(self.request.received_at)));
        }
    }
}

/// The answer's head, and its events as they come.
fn respond(run: StreamRun) -> Served {
    let status = run.answer.status;
    let mut headers = end_to_end(&run.answer.headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let events = stream::unfold(run, |mut run| async move {
        let item = run.next().await?;
        Some((item.map(http_body::Frame::data), run))
    });
    let mut response: Response<Body> =
        Response::new(UnsyncBoxBody::new(StreamBody::new(Box::pin(events))));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Served::Answer(response)
}

enum Step {
    Events(Bytes),
    Nothing,
    Ended,
    Broken(String),
    /// A repair would take longer than another run, or wait for the first engine.
    Costly,
    /// The first engine doesn't answer others, and no event comes.
    FirstLost,
    TimeOver,
}

impl StreamRun {
    /// The next events for the caller; an error cuts its answer.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.is_over {
            return None;
        }
        loop {
            match self.step().await {
                Step::Events(events) => {
                    self.note_events();
                    return Some(Ok(events));
                }
                Step::Nothing => {}
                Step::Ended => {
                    self.note_ended();
                    return None;
                }
                Step::TimeOver => return Some(self.cut("the time is over")),
                Step::Costly => {
                    if !self.resume("a lost stage can't be replaced soon").await {
                        self.keeper.keep_run();
                    }
                }
                Step::FirstLost => {
                    self.keeper.note_broken_at_first();
                    // Without another run the caller keeps what there is: the
                    // engine may be ending, and finish this stream before.
                    self.resume("the first engine is lost").await;
                }
                Step::Broken(cause) => {
                    self.keeper.note_broken_at_first();
                    let first = self.keeper.path().first().server;
                    self.target
                        .relay
                        .states
                        .health()
                        .failed(first, clock::now());
                    self.avoided.push(first);
                    if !self.resume(&cause).await {
                        return Some(self.cut(&cause));
                    }
                }
            }
        }
    }

    /// Waits for bytes, and looks after the path meanwhile.
    async fn step(&mut self) -> Step {
        let deadline = self.target.request.deadline;
        tokio::select! {
            frame = self.answer.body.frame() => match frame {
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        return Step::Nothing;
                    };
                    match self.splitter.push(data) {
                        Ok(Some(events)) => Step::Events(events),
                        Ok(None) => Step::Nothing,
                        Err(_) => Step::Broken("an event is too long".to_owned()),
                    }
                }
                Some(Err(error)) => Step::Broken(error.to_string()),
                None if self.splitter.has_partial() => {
                    Step::Broken("it ended within an event".to_owned())
                }
                None => Step::Ended,
            },
            () = clock::sleep_until(deadline) => Step::TimeOver,
            watched = self.keeper.watch() => match watched {
                Watched::Fine => Step::Nothing,
                Watched::FirstLost => Step::FirstLost,
                Watched::Costly | Watched::Hung => Step::Costly,
            }
        }
    }

    fn note_events(&mut self) {
        let now = clock::now();
        let stood = self.keeper.stands_for(now);
        self.keeper.progressed(now);
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            let service = &self.target.service.name;
            self.target
                .relay
                .admission_gate
                .note_first_event(service, stood);
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

    fn note_ended(&mut self) {
        self.is_over = true;
        self.answer.keep_connection();
        self.target.relay.run_finished(&self.target.request);
        let request = &self.target.request;
        let route = request.route.name.to_string();
        histogram!("rookferry_event_gap_seconds", "route" => route.clone())
            .record(self.longest_gap.as_secs_f64());
        counter!("rookferry_served_total", "route" => route, "status" => "200").increment(1);
        if let Some(log) = self.target.relay.events.line(Weight::Routine) {
            let first = self.first_event_at.unwrap_or(self.last_event_at);
            info!(log, "stream: delivered"; "event" => "served",
                "request" => &request.attempt, "route" => &*request.route.name,
                "path" => self.keeper.describe(), "status" => 200,
                "first_event_ms" => millis(first.saturating_duration_since(request.received_at)),
                "longest_gap_ms" => millis(self.longest_gap),
                "took_ms" => millis(clock::since(request.received_at)),
                "runs" => self.runs, "repairs" => self.keeper.repairs(),
                "config_version" => request.config_version);
        }
    }

    fn cut(&mut self, cause: &str) -> Result<Bytes, io::Error> {
        self.is_over = true;
        counter!("rookferry_streams_cut_total").increment(1);
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: cut short"; "event" => "stream_cut",
                "request" => &self.target.request.attempt,
                "signature" => %self.target.request.signature(), "cause" => cause,
                "path" => self.keeper.describe(), "runs" => self.runs,
                "last_event" => self.splitter.last_id(),
                "left_ms" => millis(self.target.request.time_left()));
        }
        Err(io::Error::other("the stream was cut short"))
    }

    /// Goes on with another run behind the last whole event.
    async fn resume(&mut self, cause: &str) -> bool {
        let route = &self.target.request.route;
        let may_run = route.repeatability.may_repeat() && self.runs < route.max_servers.max(1);
        if !may_run {
            return false;
        }
        let after = self.splitter.last_id();
        let avoided = std::mem::take(&mut self.avoided);
        let mut opener = Opener::again(&self.target, avoided, self.runs);
        let another = opener.open(after).await;
        self.avoided = std::mem::take(&mut opener.avoided);
        self.runs = opener.runs;
        let Ok((answer, keeper)) = another else {
            return false;
        };
        if answer.status != StatusCode::OK {
            return false;
        }
        let paused = clock::since(self.last_event_at);
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: another run goes on"; "event" => "stream_resumed",
                "request" => &self.target.request.attempt,
                "signature" => %self.target.request.signature(), "cause" => cause,
                "after_event" => after,
                "paused_ms" => millis(paused), "runs" => self.runs, "path" => keeper.describe());
        }
        self.splitter.drop_partial();
        self.answer = answer;
        self.keeper = keeper;
        true
    }
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        if let Some(log) = self.target.relay.events.line(Weight::Routine) {
            info!(log, "stream: the caller left"; "event" => "caller_left",
                "request" => &self.target.request.attempt, "last_event" => self.splitter.last_id());
        }
    }
}
