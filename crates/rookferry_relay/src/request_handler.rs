//! Handles callers' HTTP requests: reads the body, admits the request under the
//! active configuration, has it served as a stream or as a single answer, and
//! turns a refusal into a problem response.
//!
//! A request whose admission is outdated before anything was sent, because the
//! configuration or the list of servers changed, is admitted again.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::Instant;

use gotham::helpers::http::Body;
use http::Response;
use metrics::counter;
use metrics::histogram;
use rookferry_core::CallerLimits;
use rookferry_core::Permission;
use rookferry_core::RequestSignature;
use rookferry_core::ServingAccount;
use rookferry_core::ServingIndex;
use rookferry_core::ServingRoute;
use rookferry_core::Urgency;
use rookferry_net::BodyError;
use rookferry_net::InboundRequest;
use rookferry_net::MemoryLease;
use rookferry_net::clock;
use rookferry_wire::ServiceId;
use slog::info;
use slog::warn;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::list_at_send::SendRecord;
use crate::plain;
use crate::protocol::CallerHead;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::request::PromptSegment;
use crate::request::host_header;
use crate::stream;
use crate::view::SiteView;

/// Maximum admissions of one request; it is admitted again if the configuration or the
/// list of servers changes before it is sent.
const MAX_ADMISSIONS: usize = 3;
/// Memory that a request takes beside its head and body: buffers of its connection, and the
/// state of its processing.
const REQUEST_BYTES: usize = 32 * 1024;
/// How long new requests are accepted after the order to stop. Callers' idle
/// keep-alive connections are closed with their next served answer.
const NEW_WORK_WHILE_LEAVING: Duration = Duration::from_millis(1_500);
/// Outcome of serving an admitted request.
pub(crate) enum ServeOutcome {
    /// A server's answer, or the head of a stream.
    Answer(Response<Body>),
    /// No server answered.
    Refused(Refusal),
    /// The admission no longer holds, and nothing was sent.
    Withdrawn,
}

/// Answers a caller's request.
pub(crate) async fn handle(relay: Arc<Relay>, inbound: InboundRequest) -> Response<Body> {
    let received_at = clock::now();
    let head = relay.protocol.caller_head(&inbound.headers);
    let sends = Arc::<SendRecord>::default();
    let answer = tokio::select! {
        answer = answer(&relay, inbound, &head, &sends, received_at) => answer,
        () = relay.requests_ended() => {
            let refusal = if sends.was_sent() { Refusal::Unknown } else { Refusal::Leaving };
            refuse(&relay, refusal, &head, received_at, &sends)
        }
    };
    close_if_leaving(&relay, answer)
}

/// A server's answer to a request, or a refusal.
async fn answer(
    relay: &Arc<Relay>,
    mut inbound: InboundRequest,
    head: &CallerHead,
    sends: &Arc<SendRecord>,
    received_at: Instant,
) -> Response<Body> {
    let refuse = |refusal| refuse(relay, refusal, head, received_at, sends);
    let mut memory = relay.request_memory.lease();
    let begin_bytes = REQUEST_BYTES + inbound.header_bytes();
    if memory.grow(begin_bytes).await.is_err() {
        return refuse(Refusal::NoMemory);
    }
    // Requests with token counts (streams) can wait for the first configuration and list
    // of servers; others have less time and are refused with a retry time.
    if head.answer_tokens > 0
        && relay.is_starting()
        && let Some(longest) = relay.start_wait()
    {
        await_start(relay, longest).await;
    }
    // A body that isn't needed isn't kept.
    if let Err(refusal) = check(relay, &relay.view.load(), &inbound, head).map(drop) {
        discard_body(relay, &mut inbound, &memory).await;
        return refuse(refusal);
    }
    let body = match read_body(relay, &mut inbound, &mut memory).await {
        Ok(body) => body,
        Err(refusal) => return refuse(refusal),
    };
    let body = ReceivedBody {
        bytes: body,
        memory: Arc::new(memory),
    };
    // Allocated apart, so that a request whose body is unfinished takes less memory.
    Box::pin(serve(relay, inbound, head, body, sends, received_at)).await
}

/// A server's answer to a request whose body is complete, or a refusal.
async fn serve(
    relay: &Arc<Relay>,
    inbound: InboundRequest,
    head: &CallerHead,
    body: ReceivedBody,
    sends: &Arc<SendRecord>,
    received_at: Instant,
) -> Response<Body> {
    let refuse = |refusal| refuse(relay, refusal, head, received_at, sends);
    let mut permission = Permission::Free;
    for _ in 0..MAX_ADMISSIONS {
        let admitted = admit(relay, &inbound, head, body.clone(), received_at);
        let mut request = match admitted {
            Ok(request) => request,
            Err(refusal) => return refuse(refusal),
        };
        request.sends = sends.clone();
        request.permission = permission;
        permission = match relay.begin_run(&request) {
            Ok(granted) => granted,
            Err(refusal) => return refuse(refusal),
        };
        request.permission = permission;
        let served = if request.route.repeatability.is_stream() {
            stream::serve(relay, request).await
        } else {
            plain::serve(relay, request).await
        };
        match served {
            ServeOutcome::Answer(answer) => return answer,
            ServeOutcome::Refused(refusal) => return refuse(refusal),
            ServeOutcome::Withdrawn => {}
        }
    }
    refuse(relay.unknown_site_refusal())
}

/// Waits until a newly started instance has a configuration and a list of servers.
async fn await_start(relay: &Relay, longest: Duration) {
    let mut changes = relay.urgent_changes.subscribe();
    let known = async { while relay.is_starting() && changes.changed().await.is_ok() {} };
    // Admission checks the result, also after a timeout.
    let _ = tokio::time::timeout(longest, known).await;
}

/// Adds `Connection: close` while this instance stops, so that the caller's next
/// connection goes to another instance.
fn close_if_leaving(relay: &Relay, mut response: Response<Body>) -> Response<Body> {
    if relay.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// A request's body, with the memory that the request takes.
#[derive(Clone)]
struct ReceivedBody {
    bytes: bytes::Bytes,
    memory: Arc<MemoryLease>,
}

/// Reads the body within the configured size and time limits.
async fn read_body(
    relay: &Relay,
    inbound: &mut InboundRequest,
    memory: &mut MemoryLease,
) -> Result<bytes::Bytes, Refusal> {
    let limits = caller_limits(relay).ok_or_else(|| relay.unknown_site_refusal())?;
    let read = inbound.read_body_into(memory, limits.max_body_bytes, limits.head_timeout);
    read.await.map_err(|error| match error {
        BodyError::TooLarge { .. } => Refusal::BodyTooLarge,
        BodyError::TooSlow { .. } => Refusal::BodyTooSlow,
        BodyError::NoMemory { .. } => Refusal::NoMemory,
        BodyError::Broken { .. } => Refusal::BadRequest("the connection closed within the body"),
    })
}

/// Reads the body of a request that is refused by its head. The connection would close
/// otherwise, and the caller might not get the refusal.
async fn discard_body(relay: &Relay, inbound: &mut InboundRequest, memory: &MemoryLease) {
    if let Some(limits) = caller_limits(relay) {
        let discarded = inbound.discard_body(memory, limits.max_body_bytes, limits.head_timeout);
        discarded.await;
    }
}

/// The configured limits on what callers send; none without a configuration.
fn caller_limits(relay: &Relay) -> Option<CallerLimits> {
    let view = relay.view.load();
    view.index.as_ref().map(|index| index.config().limits)
}

/// What a request's head selects of the configuration.
struct Selection<'a> {
    index: &'a ServingIndex,
    route: &'a ServingRoute,
    attempt: &'a str,
    account: Option<&'a ServingAccount>,
}

/// Checks a request's head under the active configuration.
fn check<'a>(
    relay: &Relay,
    view: &'a SiteView,
    inbound: &InboundRequest,
    head: &'a CallerHead,
) -> Result<Selection<'a>, Refusal> {
    if relay
        .leaving_for()
        .is_some_and(|since| since > NEW_WORK_WHILE_LEAVING)
    {
        return Err(Refusal::Leaving);
    }
    // A configuration that may be outdated must neither admit nor refuse by its rules.
    let known = view.index.as_deref().filter(|_| relay.knows_site());
    let index = known.ok_or_else(|| relay.unknown_site_refusal())?;
    let host = host_header(&inbound.headers)
        .ok_or(Refusal::BadRequest("the Host header is missing or invalid"))?;
    let route = index
        .route(&host, inbound.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let attempt = head
        .attempt
        .as_deref()
        .ok_or(Refusal::BadRequest("the attempt id is missing or invalid"))?;
    let account = account_of(index, route.is_public, head)?;
    Ok(Selection {
        index,
        route,
        attempt,
        account,
    })
}

/// Admits a request under the active configuration.
fn admit(
    relay: &Relay,
    inbound: &InboundRequest,
    head: &CallerHead,
    body: ReceivedBody,
    received_at: Instant,
) -> Result<CallerRequest, Refusal> {
    let view = relay.view.load_full();
    let Selection {
        index,
        route,
        attempt,
        account,
    } = check(relay, &view, inbound, head)?;
    let urgency = Urgency {
        account: account.map_or(route.priority, |account| account.priority),
        route: route.priority,
    };
    let target = route.target(rand::random()).ok_or(Refusal::NoServer)?;
    let timeout = head.time_left_ms.map_or(route.timeout, |left| {
        route.timeout.min(Duration::from_millis(left))
    });
    Ok(CallerRequest {
        attempt: attempt.to_owned(),
        method: inbound.method.clone(),
        uri: inbound.uri.clone(),
        headers: inbound.headers.clone(),
        body: body.bytes,
        head: head.clone(),
        account: account.map(|account| account.name.clone()),
        urgency,
        service: target.service.clone(),
        route: route.clone(),
        received_at,
        deadline: received_at + timeout,
        config_version: index.config().version,
        signature: OnceLock::new(),
        segments: prompt_segments(relay, inbound, &target.service),
        is_answered: AtomicBool::new(false),
        permission: Permission::Free,
        sends: Arc::default(),
        _memory: body.memory,
    })
}

/// The shared segments of a request's prompt; none if the header is invalid.
fn prompt_segments(
    relay: &Relay,
    inbound: &InboundRequest,
    service: &ServiceId,
) -> Vec<PromptSegment> {
    let segments = relay.protocol.prompt_segments(&inbound.headers);
    let segments = segments.unwrap_or_else(|error| {
        if let Some(log) = relay.events.line(Weight::Notable) {
            warn!(log, "request: a header is invalid, the prompt counts as unshared";
                "event" => "segments_unreadable", "cause" => %error);
        }
        Vec::new()
    });
    let segments = segments.into_iter().map(|id| PromptSegment {
        signature: RequestSignature::of_segment(service, &id),
        id,
    });
    segments.collect()
}

/// The account of the caller's key; none where the route or the site needs no key.
fn account_of<'a>(
    index: &'a ServingIndex,
    is_public: bool,
    head: &CallerHead,
) -> Result<Option<&'a ServingAccount>, Refusal> {
    let known = head.key.as_deref().and_then(|key| index.account(key));
    match known {
        Some(account) => Ok(Some(account)),
        None if is_public || !index.needs_keys() => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

/// Logs and counts a refusal, and builds its response.
fn refuse(
    relay: &Relay,
    refusal: Refusal,
    head: &CallerHead,
    received_at: Instant,
    sends: &SendRecord,
) -> Response<Body> {
    counter!("rookferry_refused_total", "cause" => refusal.cause()).increment(1);
    let age = relay.config_age();
    if let Some(log) = relay.events.line(Weight::Notable) {
        warn!(log, "request: refused or unanswered"; "event" => "refused",
            "request" => head.attempt.as_deref().unwrap_or("-"),
            "cause" => refusal.cause(),
            "signature" => refusal.signature().map(|signature| signature.to_string()),
            "status" => refusal.status().as_u16(),
            "retry_after_ms" => refusal.retry_after().map(millis),
            "held_ms" => millis(clock::since(received_at)),
            "config_version" => age.version(),
            "config_age_ms" => age.age(clock::now()).map(millis), sends.last());
    }
    refusal.response(relay.protocol.names(), head.attempt.as_deref())
}

/// Logs and counts an answered request.
pub(crate) fn record_served(relay: &Relay, request: &CallerRequest, status: u16, server: &str) {
    let took = clock::since(request.received_at);
    let route = request.route.name.to_string();
    histogram!("rookferry_request_seconds", "route" => route.clone()).record(took.as_secs_f64());
    counter!("rookferry_served_total", "route" => route, "status" => status.to_string())
        .increment(1);
    if let Some(log) = relay.events.line(Weight::Routine) {
        info!(log, "request: answered"; "event" => "served",
            "request" => &request.attempt, "route" => &*request.route.name,
            "server" => server, "status" => status, "took_ms" => millis(took),
            "config_version" => request.config_version, request.sends.last());
    }
}
