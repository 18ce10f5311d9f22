//! Callers' requests: who may send them, where they go, and the answer.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use gotham::helpers::http::Body;
use http::Response;
use metrics::counter;
use metrics::histogram;
use rookferry_core::ServingAccount;
use rookferry_core::ServingIndex;
use rookferry_core::Urgency;
use rookferry_net::BodyError;
use rookferry_net::InboundRequest;
use rookferry_net::clock;
use slog::info;
use slog::warn;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::plain;
use crate::protocol::CallerHead;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::request::host_of;
use crate::stream;

/// How often a request is let in anew when what let it in changed before it
/// was sent.
const MAX_ADMISSIONS: usize = 3;
/// How long new work is taken after the word to stop; connections that are
/// kept by callers close with their next answer.
const NEW_WORK_WHILE_LEAVING: Duration = Duration::from_millis(1_500);
/// What became of a request that was let in.
pub(crate) enum Served {
    /// An answer, or the start of one.
    Answer(Response<Body>),
    /// No server's answer.
    Refused(Refusal),
    /// What let it in no longer holds, and nothing was sent.
    Withdrawn,
}

/// Answers a caller's request.
pub(crate) async fn handle(relay: Arc<Relay>, mut inbound: InboundRequest) -> Response<Body> {
    let received_at = clock::now();
    let head = relay.protocol.caller_head(&inbound.headers);
    // Callers of plain services have less time, and are told at once when to come back.
    if head.answer_tokens > 0
        && relay.is_starting()
        && let Some(longest) = relay.start_wait()
    {
        await_start(&relay, longest).await;
    }
    let body = match read_body(&relay, &mut inbound).await {
        Ok(body) => body,
        Err(refusal) => return refuse(&relay, refusal, &head, received_at),
    };
    for _ in 0..MAX_ADMISSIONS {
        let admitted = admit(&relay, &inbound, &head, body.clone(), received_at);
        let request = match admitted {
            Ok(request) => request,
            Err(refusal) => return refuse(&relay, refusal, &head, received_at),
        };
        if let Some(refusal) = relay.refusal_if_held(&request) {
            return refuse(&relay, refusal, &head, received_at);
        }
        let served = if request.route.repeatability.is_stream() {
            stream::serve(&relay, request).await
        } else {
            plain::serve(&relay, request).await
        };
        match served {
            Served::Answer(answer) => return closing_if_leaving(&relay, answer),
            Served::Refused(refusal) => return refuse(&relay, refusal, &head, received_at),
            Served::Withdrawn => {}
        }
    }
    refuse(&relay, relay.unknown_site(), &head, received_at)
}

/// Waits until an instance that has just started knows the site.
async fn await_start(relay: &Relay, longest: Duration) {
    let mut news = relay.versions.subscribe();
    let known = async { while relay.is_starting() && news.changed().await.is_ok() {} };
    // What it comes to is looked at when the request is let in.
    let _ = tokio::time::timeout(longest, known).await;
}

/// Has the caller open its next connection elsewhere once this instance stops.
fn closing_if_leaving(relay: &Relay, mut response: Response<Body>) -> Response<Body> {
    if relay.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

async fn read_body(relay: &Relay, inbound: &mut InboundRequest) -> Result<bytes::Bytes, Refusal> {
    let view = relay.view.load_full();
    let Some(index) = &view.index else {
        return Err(relay.unknown_site());
    };
    let limits = index.config().limits;
    let read = inbound.read_body(limits.max_body_bytes, limits.head_timeout);
    read.await.map_err(|error| match error {
        BodyError::TooLarge { .. } => Refusal::BodyTooLarge,
        BodyError::TooSlow { .. } => Refusal::BodyTooSlow,
        BodyError::Broken { .. } => Refusal::BadRequest("the body broke off"),
    })
}

/// Lets a request in under the configuration in force.
fn admit(
    relay: &Relay,
    inbound: &InboundRequest,
    head: &CallerHead,
    body: bytes::Bytes,
    received_at: Instant,
) -> Result<CallerRequest, Refusal> {
    if relay
        .leaving_for()
        .is_some_and(|since| since > NEW_WORK_WHILE_LEAVING)
    {
        return Err(Refusal::Leaving);
    }
    let view = relay.view.load_full();
    // What isn't known to be the newest may neither let in nor turn away.
    let known = view.index.as_ref().filter(|_| relay.knows_site());
    let index = known.ok_or_else(|| relay.unknown_site())?;
    let host = host_of(&inbound.headers).ok_or(Refusal::BadRequest("the request names no host"))?;
    let route = index
        .route(&host, inbound.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let attempt = head
        .attempt
        .clone()
        .ok_or(Refusal::BadRequest("the request has no id"))?;
    let account = account_of(index, route.is_public, head)?;
    let urgency = Urgency {
        account: account.map_or(route.priority, |account| account.priority),
        route: route.priority,
    };
    let target = route.target(rand::random()).ok_or(Refusal::NoServer)?;
    let timeout = head.time_left_ms.map_or(route.timeout, |left| {
        route.timeout.min(Duration::from_millis(left))
    });
    Ok(CallerRequest {
        attempt,
        method: inbound.method.clone(),
        uri: inbound.uri.clone(),
        headers: inbound.headers.clone(),
        body,
        head: head.clone(),
        account: account.map(|account| account.name.clone()),
        urgency,
        service: target.service.clone(),
        route: route.clone(),
        received_at,
        deadline: received_at + timeout,
        config_version: index.config().version,
        signature: OnceLock::new(),
    })
}

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

fn refuse(
    relay: &Relay,
    refusal: Refusal,
    head: &CallerHead,
    received_at: Instant,
) -> Response<Body> {
    counter!("rookferry_refused_total", "cause" => refusal.cause()).increment(1);
    let age = relay.config_age();
    if let Some(log) = relay.events.line(Weight::Notable) {
        warn!(log, "request: no server's answer"; "event" => "refused",
            "request" => head.attempt.as_deref().unwrap_or("-"),
            "cause" => refusal.cause(),
            "signature" => refusal.signature().map(|signature| signature.to_string()),
            "status" => refusal.status().as_u16(),
            "retry_after_ms" => refusal.retry_after().map(millis),
            "held_ms" => millis(clock::since(received_at)),
            "config_version" => age.version(),
            "config_age_ms" => age.age(clock::now()).map(millis));
    }
    refusal.response(relay.protocol.names(), head.attempt.as_deref())
}

/// Notes a request that was answered.
pub(crate) fn note_served(relay: &Relay, request: &CallerRequest, status: u16, server: &str) {
    let took = clock::since(request.received_at);
    let route = request.route.name.to_string();
    histogram!("rookferry_request_seconds", "route" => route.clone()).record(took.as_secs_f64());
    counter!("rookferry_served_total", "route" => route, "status" => status.to_string())
        .increment(1);
    if let Some(log) = relay.events.line(Weight::Routine) {
        info!(log, "request: answered"; "event" => "served",
            "request" => &request.attempt, "route" => &*request.route.name,
            "server" => server, "status" => status, "took_ms" => millis(took),
            "config_version" => request.config_version);
    }
}
