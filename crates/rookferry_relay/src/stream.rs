//! Streams of events from pipelines that engines forward themselves.
//!
//! Whole events are passed on as they come. While a stream stands still, or
//! the fleet changes, its path is looked at: a lost stage is replaced under
//! the running stream, which costs no new run. Where the first engine is
//! lost, or the stream breaks, another run goes on behind the last event that
//! was delivered, if the route allows it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use metrics::counter;
use metrics::histogram;
use rookferry_core::BackendServer;
use rookferry_core::ModelShape;
use rookferry_core::PathFinder;
use rookferry_core::PipelinePath;
use rookferry_core::ServingService;
use slog::info;
use slog::warn;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::events::EventSplitter;
use crate::front::Served;
use crate::front::note_served;
use crate::path_keeper::PathKeeper;
use crate::path_keeper::Watched;
use crate::plain::may_send;
use crate::plain::may_send_again;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::request::end_to_end;
use crate::upstream::UpstreamAnswer;
use crate::upstream::UpstreamError;

/// How often one request may be turned away, or find its engine unreachable.
const MAX_UNRUN_TRIES: usize = 4;
/// The least time left in which sending makes sense.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);

/// What one try to open a stream came to.
enum Opened {
    /// The engine answers; a success is a stream that runs.
    Answer(Box<UpstreamAnswer>),
    NotRun {
        at_fault: Option<SocketAddr>,
    },
    Failed(UpstreamError),
    TimeOver,
}

/// Where a stream is, over all its runs.
struct StreamRun {
    relay: Arc<Relay>,
    request: Arc<CallerRequest>,
    service: ServingService,
    model: Arc<ModelShape>,
    keeper: PathKeeper,
    answer: Box<UpstreamAnswer>,
    splitter: EventSplitter,
    avoided: Vec<SocketAddr>,
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
    let request = Arc::new(request);
    let mut opener = Opener {
        relay,
        request: &request,
        service: &service,
        model: &model,
        avoided: Vec::new(),
        runs: 0,
        arrived: 0,
        is_paid: false,
    };
    let waiting = Waiting::new(relay, &request);
    let first_run = opener.open(request.head.last_event).await;
    waiting.end();
    match first_run {
        Ok((answer, keeper)) => {
            let (avoided, runs) = (std::mem::take(&mut opener.avoided), opener.runs);
            respond(
                relay, request, service, model, keeper, answer, avoided, runs,
            )
        }
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
    fn new(relay: &Arc<Relay>, request: &Arc<CallerRequest>) -> Self {
        Self {
            relay: relay.clone(),
            request: request.clone(),
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
                "waited_ms" => millis(self.request.received_at.elapsed()));
        }
    }
}

#[expect(clippy::too_many_arguments, reason = "the parts of one new stream")]
fn respond(
    relay: &Arc<Relay>,
    request: Arc<CallerRequest>,
    service: ServingService,
    model: Arc<ModelShape>,
    keeper: PathKeeper,
    answer: Box<UpstreamAnswer>,
    avoided: Vec<SocketAddr>,
    runs: u32,
) -> Served {
    let status = answer.status;
    let mut headers = end_to_end(&answer.headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let run = StreamRun {
        relay: relay.clone(),
        splitter: EventSplitter::resuming_after(request.head.last_event),
        request,
        service,
        model,
        keeper,
        answer,
        avoided,
        runs,
        first_event_at: None,
        last_event_at: Instant::now(),
        longest_gap: Duration::ZERO,
        is_over: false,
    };
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

/// Opens runs of one request.
struct Opener<'a> {
    relay: &'a Arc<Relay>,
    request: &'a Arc<CallerRequest>,
    service: &'a ServingService,
    model: &'a Arc<ModelShape>,
    avoided: Vec<SocketAddr>,
    runs: u32,
    arrived: usize,
    /// Whether the next try is taken out of the budget already.
    is_paid: bool,
}

impl Opener<'_> {
    /// Tries paths until an engine answers.
    async fn open(
        &mut self,
        after: Option<u64>,
    ) -> Result<(Box<UpstreamAnswer>, PathKeeper), Served> {
        let may_repeat = self.request.route.repeatability.may_repeat();
        for _ in 0..MAX_UNRUN_TRIES {
            if self.request.time_left() < MIN_TIME_LEFT {
                break;
            }
            let is_paid = std::mem::take(&mut self.is_paid);
            if self.arrived > 0 && !is_paid && !self.relay.take_retry(self.request) {
                break;
            }
            let Some(path) = self.choose(&[]) else {
                self.note_failed("", "no engines cover the layers");
                break;
            };
            let first = path.first().addr;
            let mut keeper =
                PathKeeper::new(self.relay, self.request, self.service, self.model, path);
            match self.send(&mut keeper, after).await {
                Opened::Answer(answer) => {
                    self.arrived += 1;
                    self.runs += 1;
                    if answer.status.is_success() {
                        self.relay.server_answered(first);
                        return Ok((answer, keeper));
                    }
                    self.note_failed(&keeper.describe(), answer.status.as_str());
                    self.relay.health().failed(first, Instant::now());
                    let is_final = !(answer.status.is_server_error() && may_repeat)
                        || self.runs >= self.request.route.max_servers.max(1);
                    if is_final {
                        return Err(self.pass_failure(*answer, first).await);
                    }
                    self.avoided.push(first);
                }
                Opened::NotRun { at_fault } => {
                    self.arrived += 1;
                    let named = at_fault.map_or_else(String::new, |addr| format!(": {addr}"));
                    self.note_failed(&keeper.describe(), &format!("not run{named}"));
                    let refusing = at_fault.unwrap_or(first);
                    self.relay.health().turned_away(refusing, Instant::now());
                    self.avoided.push(refusing);
                }
                Opened::Failed(UpstreamError::Withdrawn) => {
                    if self.arrived == 0 {
                        return Err(Served::Withdrawn);
                    }
                    break;
                }
                Opened::Failed(error) if error.is_own_limit() => {
                    self.note_failed(&keeper.describe(), &error.to_string());
                    self.relay.health().turned_away(first, Instant::now());
                    self.avoided.push(first);
                }
                Opened::Failed(error) if error.is_unsent() => {
                    self.note_failed(&keeper.describe(), &error.to_string());
                    self.relay.server_lost(first, &error.to_string());
                    self.avoided.push(first);
                }
                Opened::Failed(error) => {
                    self.arrived += 1;
                    self.runs += 1;
                    self.note_failed(&keeper.describe(), &error.to_string());
                    self.relay.health().failed(first, Instant::now());
                    self.avoided.push(first);
                    if !may_repeat || self.runs >= self.request.route.max_servers.max(1) {
                        break;
                    }
                }
                Opened::TimeOver => return Err(Served::Refused(Refusal::TimeOver)),
            }
        }
        let refusal = match (self.runs > 0, self.request.time_left() < MIN_TIME_LEFT) {
            (true, true) => Refusal::TimeOver,
            (true, false) => Refusal::Unknown,
            (false, true) => Refusal::TimeOverNotRun,
            (false, false) => Refusal::NoServer,
        };
        Err(Served::Refused(refusal))
    }

    /// Whether another run could begin at another engine; takes it out of the
    /// budget.
    fn can_start_elsewhere(&self, first: SocketAddr) -> bool {
        let may_repeat = self.request.route.repeatability.may_repeat();
        let may_run = may_repeat && self.request.route.max_servers > 1;
        may_run && self.choose(&[first]).is_some() && self.relay.take_retry(self.request)
    }

    /// The best path over engines that may be used, without avoided ones.
    fn choose(&self, also_avoided: &[SocketAddr]) -> Option<PipelinePath> {
        let view = self.relay.view.load();
        let table = view.servers.as_ref()?;
        let engines = self.relay.pipeline_engines(table, self.service, self.model);
        let usable = engines
            .iter()
            .filter(|engine| !self.avoided.contains(&engine.addr))
            .filter(|engine| !also_avoided.contains(&engine.addr));
        let finder = PathFinder::new(self.model.layers, usable);
        finder.find(&self.relay.settings.domain, self.request.tokens())
    }

    /// Sends the request along a path and waits for the answer's head.
    async fn send(&mut self, keeper: &mut PathKeeper, after: Option<u64>) -> Opened {
        let relay = self.relay;
        let request = self.request;
        let names = relay.protocol.names();
        let first = keeper.path().first().clone();
        let path = (names.path.clone(), relay.protocol.path_value(keeper.path()));
        let resume = after.map(|id| (names.last_event.clone(), HeaderValue::from(id)));
        let extra = std::iter::once(path).chain(resume);
        let outbound = request.to_server(names, &first.engine, extra);
        let server = {
            let view = relay.view.load();
            let table = view.servers.as_ref();
            table.and_then(|table| table.at(first.addr)).cloned()
        };
        let Some(server) = server else {
            return Opened::Failed(UpstreamError::Withdrawn);
        };
        let upstream = relay.upstream(first.addr, self.service);
        let has_run = self.runs > 0;
        let may_send = || {
            if has_run {
                may_send_again(relay, &server)
            } else {
                may_send(relay, request, &server)
            }
        };
        let sending = relay.pool.send(upstream, outbound, may_send);
        tokio::pin!(sending);
        let deadline = tokio::time::Instant::from_std(request.deadline);
        let sent = loop {
            tokio::select! {
                sent = &mut sending => break sent,
                () = tokio::time::sleep_until(deadline) => return Opened::TimeOver,
                watched = keeper.watch() => {
                    let message = match watched {
                        Watched::Fine => continue,
                        Watched::FirstLost => "the first engine is lost",
                        Watched::Hung if self.runs > 0 || !self.can_start_elsewhere(first.addr) => {
                            continue;
                        }
                        Watched::Hung => {
                            self.is_paid = true;
                            "no event came, and nothing is lost"
                        }
                        Watched::Costly if self.runs > 0 => {
                            keeper.accept_crossings();
                            continue;
                        }
                        Watched::Costly => "a stage is lost that nothing near stands in for",
                    };
                    break Err(UpstreamError::Lost {
                        addr: first.addr,
                        message: message.to_owned(),
                    });
                }
            }
        };
        match sent {
            Ok(answer) => self.opened(answer, &server).await,
            Err(error) => Opened::Failed(error),
        }
    }

    async fn opened(&self, answer: UpstreamAnswer, server: &BackendServer) -> Opened {
        let names = self.relay.protocol.names();
        if !answer.is_for(names, &self.request.attempt) {
            return Opened::Failed(UpstreamError::Crossed { addr: server.addr });
        }
        if answer.is_not_run(names) {
            let at_fault = faulty_server(&answer.headers, &names.faulty_server);
            // Read to its end so that the connection can be kept.
            let _ = tokio::time::timeout(MIN_TIME_LEFT, answer.collect(server.addr)).await;
            return Opened::NotRun { at_fault };
        }
        let is_unsigned = !answer.headers.contains_key(&names.signature);
        if answer.status.is_success() && is_unsigned {
            return Opened::Failed(UpstreamError::Lost {
                addr: server.addr,
                message: "a success without the engine's signature".to_owned(),
            });
        }
        Opened::Answer(Box::new(answer))
    }

    /// Passes an engine's own failure on.
    async fn pass_failure(&self, answer: UpstreamAnswer, addr: SocketAddr) -> Served {
        let whole = tokio::time::timeout(self.request.time_left(), answer.collect(addr)).await;
        let Ok(Ok(whole)) = whole else {
            return Served::Refused(Refusal::Unknown);
        };
        note_served(self.relay, self.request, whole.status.as_u16(), "engine");
        let body = Full::new(whole.body).map_err(|never| match never {});
        let mut response: Response<Body> = Response::new(UnsyncBoxBody::new(body));
        *response.status_mut() = whole.status;
        *response.headers_mut() = end_to_end(&whole.headers);
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
        Served::Answer(response)
    }

    fn note_failed(&self, path: &str, cause: &str) {
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            let avoided: Vec<String> = self.avoided.iter().map(ToString::to_string).collect();
            warn!(log, "stream: a try failed"; "event" => "attempt_failed",
                "request" => &self.request.attempt, "path" => path, "avoided" => avoided.join(","),
                "cause" => cause, "left_ms" => millis(self.request.time_left()));
        }
    }
}

fn faulty_server(headers: &HeaderMap, name: &http::HeaderName) -> Option<SocketAddr> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

enum Step {
    Events(Bytes),
    Nothing,
    Ended,
    Broken(String),
    /// A repair would take longer than another run.
    Costly,
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
                    if !self
                        .resume("a stage is lost that nothing near stands in for")
                        .await
                    {
                        self.keeper.accept_crossings();
                    }
                }
                Step::Broken(cause) => {
                    let first = self.keeper.path().first().addr;
                    self.relay.health().failed(first, Instant::now());
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
        let deadline = tokio::time::Instant::from_std(self.request.deadline);
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
            () = tokio::time::sleep_until(deadline) => Step::TimeOver,
            watched = self.keeper.watch() => match watched {
                Watched::Fine => Step::Nothing,
                Watched::FirstLost => Step::Broken("the first engine is lost".to_owned()),
                Watched::Costly | Watched::Hung => Step::Costly,
            }
        }
    }

    fn note_events(&mut self) {
        let now = Instant::now();
        self.keeper.progressed(now);
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            let wait = now.saturating_duration_since(self.request.received_at);
            let route = self.request.route.name.to_string();
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
        let request = &self.request;
        let route = request.route.name.to_string();
        histogram!("rookferry_event_gap_seconds", "route" => route.clone())
            .record(self.longest_gap.as_secs_f64());
        counter!("rookferry_served_total", "route" => route, "status" => "200").increment(1);
        if let Some(log) = self.relay.events.line(Weight::Routine) {
            let first = self.first_event_at.unwrap_or(self.last_event_at);
            info!(log, "stream: delivered"; "event" => "served",
                "request" => &request.attempt, "route" => &*request.route.name,
                "path" => self.keeper.describe(), "status" => 200,
                "first_event_ms" => millis(first.saturating_duration_since(request.received_at)),
                "longest_gap_ms" => millis(self.longest_gap),
                "took_ms" => millis(request.received_at.elapsed()),
                "runs" => self.runs, "repairs" => self.keeper.repairs(),
                "config_version" => request.config_version);
        }
    }

    fn cut(&mut self, cause: &str) -> Result<Bytes, io::Error> {
        self.is_over = true;
        counter!("rookferry_streams_cut_total").increment(1);
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            warn!(log, "stream: cut short"; "event" => "stream_cut",
                "request" => &self.request.attempt, "cause" => cause,
                "path" => self.keeper.describe(), "runs" => self.runs,
                "last_event" => self.splitter.last_id(),
                "left_ms" => millis(self.request.time_left()));
        }
        Err(io::Error::other("the stream was cut short"))
    }

    /// Goes on with another run behind the last whole event.
    async fn resume(&mut self, cause: &str) -> bool {
        let route = &self.request.route;
        let may_run = route.repeatability.may_repeat() && self.runs < route.max_servers.max(1);
        if !may_run {
            return false;
        }
        let after = self.splitter.last_id();
        let mut opener = Opener {
            relay: &self.relay,
            request: &self.request,
            service: &self.service,
            model: &self.model,
            avoided: std::mem::take(&mut self.avoided),
            runs: self.runs,
            arrived: 1,
            is_paid: false,
        };
        let another = opener.open(after).await;
        self.avoided = std::mem::take(&mut opener.avoided);
        self.runs = opener.runs;
        let Ok((answer, keeper)) = another else {
            return false;
        };
        if answer.status != StatusCode::OK {
            return false;
        }
        let paused = self.last_event_at.elapsed();
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            warn!(log, "stream: another run goes on"; "event" => "stream_resumed",
                "request" => &self.request.attempt, "cause" => cause, "after_event" => after,
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
        if let Some(log) = self.relay.events.line(Weight::Routine) {
            info!(log, "stream: the caller left"; "event" => "caller_left",
                "request" => &self.request.attempt, "last_event" => self.splitter.last_id());
        }
    }
}
