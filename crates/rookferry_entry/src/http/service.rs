//! Calls of plain services (`/apps/{service}/{path}`): picks a server, sends the
//! call, and passes the response on.
//!
//! A repeatable call is retried on another server when one fails. Any other call is
//! sent once: only a connection that was never established proves that the server
//! didn't receive it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use rookferry_core::BrokenRun;
use rookferry_core::Dispatched;
use rookferry_core::EngineState;
use rookferry_core::FailureOutcome;
use rookferry_core::MatchedPool;
use rookferry_core::RequestSignature;
use rookferry_core::RunCrash;
use rookferry_core::RunProgress;
use rookferry_core::ServiceConfig;
use rookferry_core::ServiceInstance;
use rookferry_core::Undispatched;
use rookferry_core::choose_service;
use rookferry_net::ClientError;
use rookferry_net::InboundRequest;
use rookferry_net::clock;
use rookferry_net::parse_retry_after;
use rookferry_wire::InstanceId;
use rookferry_wire::ReasonCode;
use rookferry_wire::RequestId;

use super::call::Call;
use super::call::CallRecord;
use super::call::log_refusal;
use super::keyed;
use super::keyed::KeyDecision;
use super::keyed::KeyedBody;
use super::refusal::Refusal;
use super::respond;
use crate::answers::StoredAnswer;
use crate::entry::EntryState;

/// Largest response body that is passed on.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Suggested retry time when no server is live: a new one appears in the list
/// after about a second.
const NO_SERVER_PAUSE: Duration = Duration::from_secs(1);
/// Most servers tried for one call.
const MAX_TRIES: usize = 3;

/// Serves `/apps/{service}/{path}`.
pub(super) async fn call(entry: Arc<EntryState>, mut inbound: InboundRequest) -> Response<Body> {
    let call = match Call::receive(&entry, &mut inbound).await {
        Ok(call) => call,
        Err(refusal) => {
            log_refusal(&entry, &refusal);
            return respond::refused(&entry, &refusal);
        }
    };
    let Some((name, path)) = call.service.clone() else {
        let refusal = call.refuse(&entry, ReasonCode::NotFound, "the path names no service");
        return respond::refused(&entry, &refusal);
    };
    let method = call.method.clone();
    serve(&entry, call, &method, &name, &path).await
}

/// Serves a call of an authenticated caller.
pub(super) async fn serve(
    entry: &Arc<EntryState>,
    mut call: Call,
    method: &str,
    name: &str,
    path: &str,
) -> Response<Body> {
    let snapshot = call.snapshot.clone();
    let config = snapshot.table.config();
    let Some(service) = config.services.get(name) else {
        let refusal = call.refuse(entry, ReasonCode::NotFound, format!("no service {name:?}"));
        return respond::refused(entry, &refusal);
    };
    call.labels.insert("service".to_owned(), name.to_owned());
    call.record.labels.clone_from(&call.labels);
    let pool = config.pools.get(&service.pool);
    call.record.pool = pool.map(|pool| MatchedPool {
        pool: service.pool.clone(),
        selector: pool.selector.text().to_owned(),
    });
    entry.retries.deposit(config.policy.retry_share);
    let Ok(method) = Method::from_bytes(method.as_bytes()) else {
        let refusal = call.refuse(entry, ReasonCode::BadRequest, "unknown method");
        return respond::refused(entry, &refusal);
    };
    let is_read = method == Method::GET || method == Method::HEAD;
    let outgoing = OutgoingCall {
        signature: call.signature(),
        request_id: call.request.request_id().clone(),
        is_repeatable: call
            .repeatable
            .unwrap_or(is_read && service.reads_repeatable)
            && call.key.is_none(),
        service: service.clone(),
        method,
        path: path.to_owned(),
        body: call.body.clone(),
    };
    if call.key.is_none() {
        let call = match call.refuse_if_quarantined(entry) {
            Ok(call) => call,
            Err(refusal) => return respond::refused(entry, &refusal),
        };
        return send_and_answer(entry, call, name, outgoing, None).await;
    }
    let (call, keyed) = match keyed::check_key(entry, call, false) {
        Ok(checked) => checked,
        Err(response) => return *response,
    };
    match keyed::resolve_key(entry, call, &keyed, None, Vec::new(), false).await {
        KeyDecision::Respond(response) => response,
        KeyDecision::Dispatch(call) => {
            send_and_answer(entry, *call, name, outgoing, Some(keyed)).await
        }
        // Not reached: claims of services have no stream, and only a stream can be
        // resumed.
        KeyDecision::Resume(call, _) => {
            let refusal = call.unknown(
                entry,
                ReasonCode::OwnerGone,
                "calls of services can't be resumed",
            );
            respond::refused(entry, &refusal)
        }
    }
}

/// Sends a call in a separate task, so that one whose answer is to be stored
/// continues when its caller disconnects.
async fn send_and_answer(
    entry: &Arc<EntryState>,
    call: Call,
    name: &str,
    outgoing: OutgoingCall,
    store_as: Option<KeyedBody>,
) -> Response<Body> {
    let entry_of_task = entry.clone();
    let route = format!("service {name}");
    let task = tokio::spawn(async move {
        let entry = entry_of_task;
        let mut call_record = CallRecord {
            record: call.record,
            account: call.account,
            route,
        };
        let result = outgoing.send(&entry, call.request, &mut call_record).await;
        drop(call.permit);
        match result {
            Ok(mut answer) => {
                if let Some(keyed) = store_as {
                    answer.body_digest = keyed.body_digest;
                    entry.answers.finish(&keyed.key.digest, answer.clone());
                }
                call_record.answered(&entry, answer.body.len() as u64, None, Vec::new());
                respond::stored(&entry, &answer)
            }
            Err(refusal) => {
                if let Some(keyed) = store_as {
                    super::model::store_refusal(
                        &entry,
                        &keyed.key.digest,
                        &keyed.body_digest,
                        &refusal,
                    );
                }
                call_record.refused(&entry, &refusal);
                respond::refused(&entry, &refusal)
            }
        }
    });
    let failed = || {
        rookferry_net::text_response(
            http::StatusCode::INTERNAL_SERVER_ERROR,
            "call failed".to_owned(),
        )
    };
    task.await.unwrap_or_else(|_| failed())
}

/// A call to be sent to a service.
struct OutgoingCall {
    signature: RequestSignature,
    request_id: RequestId,
    is_repeatable: bool,
    service: ServiceConfig,
    method: Method,
    path: String,
    body: Bytes,
}

/// Whether any try may have reached a server. Once dispatched, a call stays
/// dispatched.
enum DispatchState {
    Undispatched(Undispatched),
    Dispatched(Dispatched),
}

impl DispatchState {
    /// Returns whether an earlier try may have been received, and the proof of
    /// dispatch.
    fn dispatch(self) -> (bool, Dispatched) {
        match self {
            Self::Undispatched(request) => (false, request.dispatch()),
            Self::Dispatched(request) => (true, request),
        }
    }

    fn fail(self, reason: ReasonCode) -> FailureOutcome {
        match self {
            Self::Undispatched(request) => request.refuse(reason).into(),
            Self::Dispatched(request) => request.into_unknown(reason).into(),
        }
    }
}

impl OutgoingCall {
    async fn send(
        &self,
        entry: &Arc<EntryState>,
        request: Undispatched,
        call_record: &mut CallRecord,
    ) -> Result<StoredAnswer, Refusal> {
        let deadline = clock::now() + Duration::from_millis(self.service.timeout_ms);
        let mut progress = DispatchState::Undispatched(request);
        let mut tried: Vec<InstanceId> = Vec::new();
        loop {
            let snapshot = entry.snapshot.load_full();
            let instances = snapshot.services.get(&self.service.pool);
            let instances = instances.map(Vec::as_slice).unwrap_or_default();
            let live = instances
                .iter()
                .filter(|known| known.state == EngineState::Live);
            let servers = live.map(|known| (&known.instance, known.addr));
            let backing_off = entry.backoffs.backed_off(servers);
            let names = backing_off.iter().map(|(name, _)| (*name).clone());
            let excluded: Vec<InstanceId> = tried.iter().cloned().chain(names).collect();
            let (chosen, candidates) = choose_service(instances, &entry.failure_domain, &excluded);
            if tried.is_empty() {
                call_record.record.candidates = candidates;
            }
            let Some(instance) = chosen else {
                let mut untried = backing_off.iter().filter(|(name, _)| !tried.contains(name));
                return Err(self.no_server(progress, untried.next().map(|(_, left)| *left)));
            };
            tried.push(instance.instance.clone());
            call_record
                .record
                .chains
                .push(vec![instance.instance.clone()]);
            let (was_sent, dispatched) = progress.dispatch();
            let sent_at = clock::now();
            let error = match self.send_to(entry, instance, deadline).await {
                Ok(answer) => {
                    if answer.status < StatusCode::INTERNAL_SERVER_ERROR.as_u16() {
                        entry.record_finished_run(self.signature);
                    }
                    return Ok(answer);
                }
                Err(error) => error,
            };
            if matches!(error, ClientError::Broken { .. }) {
                self.report_broken_run(entry, instance, sent_at);
            }
            instance.stats.record_loss();
            progress = if error.is_unsent() && !was_sent {
                DispatchState::Undispatched(dispatched.never_connected())
            } else {
                DispatchState::Dispatched(dispatched)
            };
            let may_retry = error.is_unsent() || self.is_repeatable;
            let has_time = tried.len() < MAX_TRIES && clock::now() < deadline;
            let may_go_on = may_retry && has_time && entry.is_retry_allowed(self.signature).await;
            if !(may_go_on && entry.retries.try_withdraw()) {
                let refusal =
                    Refusal::new(progress.fail(ReasonCode::EngineLost), error.to_string());
                return Err(refusal.retry_after(Duration::from_secs(1)));
            }
        }
    }

    /// The refusal when no server is available; `left` is the time until the first
    /// backoff ends, `None` without any.
    fn no_server(&self, progress: DispatchState, left: Option<Duration>) -> Refusal {
        if let Some(left) = left {
            let detail = "the service's servers requested a backoff; retry when it ends";
            return Refusal::new(progress.fail(ReasonCode::Overloaded), detail).retry_after(left);
        }
        let detail = format!("no live instance of pool {:?}", self.service.pool);
        Refusal::new(progress.fail(ReasonCode::NoChain), detail).retry_after(NO_SERVER_PAUSE)
    }

    /// Reports that the connection to a server broke, so that the server is probed
    /// for a crash.
    fn report_broken_run(
        &self,
        entry: &Arc<EntryState>,
        instance: &ServiceInstance,
        sent_at: Instant,
    ) {
        let quarantine = &entry.quarantine;
        let server = quarantine.plain_incarnation(&instance.instance, instance.addr);
        let run = BrokenRun {
            signature: self.signature,
            segments: Vec::new(),
            is_forwarded: false,
            request: self.request_id.to_string(),
            crash: RunCrash {
                server: server.key(),
                run: rand::random(),
                progress: RunProgress::Begun,
                joined_at: sent_at,
                // It was alive then: it accepted the call.
                alive_at: sent_at,
                at: clock::now(),
            },
        };
        entry.record_broken_run(run, server);
    }

    async fn send_to(
        &self,
        entry: &EntryState,
        instance: &ServiceInstance,
        deadline: Instant,
    ) -> Result<StoredAnswer, ClientError> {
        let sent_at = clock::now();
        instance.stats.record_stream_start(sent_at);
        let wait = deadline.saturating_duration_since(sent_at);
        let exchange = self.exchange(entry, instance, wait);
        let answer = tokio::time::timeout(wait, exchange).await;
        instance.stats.record_stream_end(clock::now());
        let addr = instance.addr;
        let answer = answer.unwrap_or(Err(ClientError::TimedOut { addr, wait }));
        if answer.is_ok() {
            instance.stats.record_step(clock::since(sent_at));
        }
        answer
    }

    async fn exchange(
        &self,
        entry: &EntryState,
        instance: &ServiceInstance,
        wait: Duration,
    ) -> Result<StoredAnswer, ClientError> {
        let addr = instance.addr;
        if let Some(remaining) = entry.backoffs.remaining(addr) {
            return Err(ClientError::BackedOff { addr, remaining });
        }
        let request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{addr}{}", self.path))
            .header("content-type", "application/json")
            .header("rookferry-request-id", &*self.request_id)
            .body(Full::new(self.body.clone()));
        let request = request.map_err(|error| ClientError::NotConnected {
            addr,
            message: format!("the request could not be built: {error}"),
            is_connection_refused: false,
        })?;
        let response = entry.client.send(addr, request, wait).await?;
        let (head, body) = response.into_parts();
        let asked = parse_retry_after(&head.headers);
        entry.backoffs.record_response(addr, head.status, &asked);
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| ClientError::Broken {
            addr,
            message: error.to_string(),
        })?;
        let content_type = head.headers.get("content-type").map(HeaderValue::to_str);
        Ok(StoredAnswer {
            request_id: self.request_id.clone(),
            body_digest: String::new(),
            status: head.status.as_u16(),
            content_type: content_type
                .and_then(Result::ok)
                .unwrap_or_default()
                .to_owned(),
            body: body.to_bytes().to_vec(),
        })
    }
}
