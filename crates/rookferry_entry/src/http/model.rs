//! Model calls (`POST /v1/completions`): parses and routes a call, places its
//! stream on a chain of engines, runs it, and sends the answer as JSON or as
//! server-sent events.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use gotham::helpers::http::Body;
use http::Response;
use http::StatusCode;
use rookferry_core::AbandonReason;
use rookferry_core::Dispatched;
use rookferry_core::FailureOutcome;
use rookferry_core::MatchedPool;
use rookferry_core::StreamDriver;
use rookferry_core::StreamSpec;
use rookferry_core::prefix_hash;
use rookferry_net::InboundRequest;
use rookferry_net::clock;
use rookferry_net::json_response;
use rookferry_wire::CompletionRequest;
use rookferry_wire::CompletionResponse;
use rookferry_wire::ReasonCode;
use rookferry_wire::RequestId;
use rookferry_wire::StreamId;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::call::Call;
use super::call::CallRecord;
use super::call::log_refusal;
use super::keyed;
use super::refusal::Refusal;
use super::respond;
use super::sse;
use super::sse::CancelOnDrop;
use super::sse::TokenCollector;
use crate::admission::Placement;
use crate::admission::PlacementError;
use crate::admission::StreamRequirements;
use crate::answers::StoredAnswer;
use crate::entry::EntryState;
use crate::runner::StreamError;
use crate::runner::StreamRun;

/// Largest `max_tokens` that is accepted.
const MAX_TOKENS: u32 = 32_768;

/// A validated and routed model call.
pub(super) struct ModelWork {
    pub(super) request: CompletionRequest,
    pub(super) requirements: StreamRequirements,
    prompt: Vec<u64>,
    stop_token: Option<u64>,
    priority: u8,
    pub(super) route: String,
}

/// A dispatched model call.
pub(super) struct ModelRun {
    pub(super) request_id: RequestId,
    pub(super) dispatched: Dispatched,
    pub(super) driver: StreamDriver,
    pub(super) placement: Placement,
    pub(super) work: ModelWork,
    pub(super) call_record: CallRecord,
    pub(super) received_at: Instant,
    /// Digests of the key and the body, if the answer is to be stored.
    pub(super) store_as: Option<(String, String)>,
}

/// Serves `POST /v1/completions`.
pub(super) async fn complete(
    entry: Arc<EntryState>,
    mut inbound: InboundRequest,
) -> Response<Body> {
    let call = match Call::receive(&entry, &mut inbound).await {
        Ok(call) => call,
        Err(refusal) => {
            log_refusal(&entry, &refusal);
            return respond::refused(&entry, &refusal);
        }
    };
    serve(&entry, call).await
}

/// Serves a call of an authenticated caller.
pub(super) async fn serve(entry: &Arc<EntryState>, mut call: Call) -> Response<Body> {
    let work = match ModelWork::parse(entry, &mut call) {
        Ok(work) => work,
        Err((reason, detail)) => {
            let refusal = call.refuse(entry, reason, detail);
            return respond::refused(entry, &refusal);
        }
    };
    entry
        .retries
        .deposit(call.snapshot.table.config().policy.retry_share);
    if call.key.is_some() {
        return keyed::serve_model(entry, call, work).await;
    }
    let call = match call.refuse_if_quarantined(entry) {
        Ok(call) => call,
        Err(refusal) => return respond::refused(entry, &refusal),
    };
    let placement = match entry.admission.place(work.requirements.clone()).await {
        Ok(placement) => placement,
        Err(placement_error) => return refuse_unplaced(entry, call, &work, placement_error),
    };
    let spec = work.spec(call.uuid, &placement);
    let run = ModelRun::new(call, work, placement, StreamDriver::new(spec), None);
    run.respond(entry).await
}

/// Refuses a call that couldn't be placed.
pub(super) fn refuse_unplaced(
    entry: &EntryState,
    mut call: Call,
    work: &ModelWork,
    placement_error: PlacementError,
) -> Response<Body> {
    call.record.candidates = placement_error.candidates;
    let not_run = call.request.refuse(placement_error.reason);
    let refusal =
        Refusal::new(not_run, placement_error.detail).retry_after(placement_error.retry_after);
    let call_record = CallRecord {
        record: call.record,
        account: call.account,
        route: work.route.clone(),
    };
    call_record.refused(entry, &refusal);
    respond::refused(entry, &refusal)
}

impl ModelWork {
    /// Validates a call's body and finds its route.
    pub(super) fn parse(entry: &EntryState, call: &mut Call) -> Result<Self, (ReasonCode, String)> {
        let request: CompletionRequest = serde_json::from_slice(&call.body).map_err(|error| {
            (
                ReasonCode::BadRequest,
                format!("the body is not a valid completion request: {error}"),
            )
        })?;
        if request.prompt.is_empty() || request.max_tokens == 0 || request.max_tokens > MAX_TOKENS {
            let detail =
                format!("prompt must not be empty, and max_tokens must be 1 to {MAX_TOKENS}");
            return Err((ReasonCode::BadRequest, detail));
        }
        let config = call.snapshot.table.config();
        let Some(model) = config.models.get(&request.model) else {
            return Err((
                ReasonCode::NotFound,
                format!("no model {:?}", request.model),
            ));
        };
        call.labels
            .insert("model".to_owned(), request.model.clone());
        call.record.labels.clone_from(&call.labels);
        let choice = call.snapshot.table.route(&call.labels);
        call.record.routes = choice.evaluated;
        let Some(route) = choice.route else {
            let detail =
                "no route's selector matches the request's labels; see `rookferryctl explain`";
            return Err((ReasonCode::NoRoute, detail.to_owned()));
        };
        let pool = config.pools.get(&route.pool);
        call.record.pool = pool.map(|pool| MatchedPool {
            pool: route.pool.clone(),
            selector: pool.selector.text().to_owned(),
        });
        let prompt: Vec<u64> = request.prompt.bytes().map(u64::from).collect();
        let cached = prefix_hash(&prompt).map(|prefix| {
            let prefixes = entry
                .prefixes
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            prefixes.holders(prefix).to_vec()
        });
        let requirements = StreamRequirements {
            signature: call.signature(),
            pool: route.pool.clone(),
            model: request.model.clone(),
            account: call.account.clone(),
            weight: call.weight * f64::from(1_u32 << route.priority.min(9)),
            cost: f64::from(request.max_tokens),
            seed: call.uuid.as_u64_pair().1,
            cached: cached.unwrap_or_default(),
            queue_deadline: call.received_at + Duration::from_millis(route.max_queue_wait_ms()),
            deadline: call.received_at + Duration::from_millis(route.deadline_ms),
        };
        Ok(Self {
            requirements,
            prompt,
            stop_token: model.stop_token,
            priority: route.priority,
            route: route.name.clone(),
            request,
        })
    }

    /// The stream's specification on the chain of a placement.
    pub(super) fn spec(&self, stream: StreamId, placement: &Placement) -> StreamSpec {
        self.spec_on(stream, placement.stages.clone())
    }

    /// The stream's specification on a given chain.
    pub(super) fn spec_on(
        &self,
        stream: StreamId,
        stages: Vec<rookferry_core::Stage>,
    ) -> StreamSpec {
        StreamSpec {
            stream,
            stages,
            prompt: self.prompt.clone(),
            max_tokens: self.request.max_tokens,
            stop_token: self.stop_token,
            priority: self.priority,
        }
    }
}

impl ModelRun {
    /// Marks a call as dispatched.
    pub(super) fn new(
        mut call: Call,
        work: ModelWork,
        mut placement: Placement,
        driver: StreamDriver,
        store_as: Option<(String, String)>,
    ) -> Self {
        call.record.candidates = std::mem::take(&mut placement.candidates);
        let queued = clock::since(call.received_at);
        call.record.queued_us = u64::try_from(queued.as_micros()).unwrap_or(u64::MAX);
        placement.slots.attach_permit(call.permit);
        Self {
            request_id: call.request.request_id().clone(),
            dispatched: call.request.dispatch(),
            driver,
            placement,
            call_record: CallRecord {
                record: call.record,
                account: call.account,
                route: work.route.clone(),
            },
            work,
            received_at: call.received_at,
            store_as,
        }
    }

    /// Runs the call and responds, as events or with the whole answer.
    ///
    /// It runs in a separate task. If its answer is to be stored, it continues when
    /// its caller disconnects; any other call is cancelled then.
    pub(super) async fn respond(self, entry: &Arc<EntryState>) -> Response<Body> {
        let request_id = self.request_id.clone();
        let (cancel, cancelled) = watch::channel(false);
        let cancel = CancelOnDrop(cancel);
        let (task_guard, response_guard) = if self.store_as.is_some() {
            (Some(cancel), None)
        } else {
            (None, Some(cancel))
        };
        if self.work.request.stream {
            let (events, receiver) = mpsc::unbounded_channel();
            let entry_of_task = entry.clone();
            tokio::spawn(async move {
                let _task_guard = task_guard;
                let _ = self.run(&entry_of_task, Some(events), cancelled).await;
            });
            return respond::finished(entry, &request_id, sse::live(receiver, response_guard));
        }
        let entry_of_task = entry.clone();
        let task = tokio::spawn(async move {
            let _task_guard = task_guard;
            self.run(&entry_of_task, None, cancelled).await
        });
        let answer = task.await;
        drop(response_guard);
        match answer {
            Ok(Ok(answer)) => {
                respond::finished(entry, &request_id, json_response(StatusCode::OK, &answer))
            }
            Ok(Err(refusal)) => respond::refused(entry, &refusal),
            Err(_) => respond::finished(
                entry,
                &request_id,
                rookferry_net::text_response(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "request failed".to_owned(),
                ),
            ),
        }
    }

    async fn run(
        mut self,
        entry: &Arc<EntryState>,
        events: Option<mpsc::UnboundedSender<bytes::Bytes>>,
        cancelled: watch::Receiver<bool>,
    ) -> Result<CompletionResponse, Refusal> {
        let mut collector = TokenCollector::new(self.request_id.clone(), self.received_at, events);
        let run = StreamRun::new(
            entry,
            &mut self.driver,
            &self.work.requirements,
            self.placement.slots,
            &mut collector,
            cancelled,
        );
        let (result, chains) = run.run().await;
        self.call_record.record.chains = chains;
        match result {
            Ok(()) => {
                entry.record_finished_run(self.work.requirements.signature);
                let tokens = std::mem::take(&mut collector.tokens);
                let answer = completion_response(&self.request_id, &self.work, tokens);
                if let Some((digest, body_digest)) = &self.store_as {
                    entry.answers.finish(
                        digest,
                        stored_answer(&self.request_id, body_digest, &answer),
                    );
                }
                collector.done();
                let size = answer.tokens.len() as u64;
                self.call_record
                    .answered(entry, size, collector.first_token, collector.gaps);
                Ok(answer)
            }
            Err(end) => {
                let refusal = refusal_for(self.dispatched, &self.driver, end);
                if let Some((digest, body_digest)) = &self.store_as {
                    store_refusal(entry, digest, body_digest, &refusal);
                }
                collector.failed(&refusal.problem());
                if end == StreamError::CallerGone {
                    self.call_record.caller_gone(entry);
                } else {
                    self.call_record.refused(entry, &refusal);
                }
                Err(refusal)
            }
        }
    }
}

fn refusal_for(dispatched: Dispatched, driver: &StreamDriver, end: StreamError) -> Refusal {
    if end == StreamError::Abandoned(AbandonReason::TakenOver) {
        let request_id = dispatched.request_id().clone();
        return Refusal::running_as(
            request_id,
            "another instance has taken over the work; retry with the key",
        );
    }
    let (reason, detail) = match end {
        StreamError::Deadline => (ReasonCode::DeadlinePassed, "the route's deadline passed"),
        StreamError::CallerGone => (ReasonCode::EngineLost, "the caller disconnected"),
        StreamError::Abandoned(AbandonReason::NotHeld) => {
            (ReasonCode::OwnerGone, "the engines no longer hold the work")
        }
        StreamError::Quarantined => (
            ReasonCode::Quarantined,
            "engines crashed each time that they ran this call; it is quarantined",
        ),
        StreamError::Abandoned(_) => (
            ReasonCode::EngineLost,
            "engines were lost, and others could not continue the stream",
        ),
    };
    let verdict: FailureOutcome = dispatched.into_failure(driver, reason);
    Refusal::new(verdict, detail).retry_after(Duration::from_secs(1))
}

/// Stores a refusal, so that retries get the same response. A key whose work
/// didn't run may run later.
pub(super) fn store_refusal(
    entry: &EntryState,
    digest: &str,
    body_digest: &str,
    refusal: &Refusal,
) {
    if refusal.outcome() == rookferry_wire::Outcome::NotRun {
        entry.answers.not_run(digest);
        return;
    }
    let problem = refusal.problem();
    let answer = StoredAnswer {
        request_id: refusal.request_id().clone(),
        body_digest: body_digest.to_owned(),
        status: problem.status,
        content_type: respond::PROBLEM_TYPE.to_owned(),
        body: serde_json::to_vec(&problem).unwrap_or_default(),
    };
    entry.answers.finish(digest, answer);
}

fn completion_response(
    request_id: &RequestId,
    work: &ModelWork,
    tokens: Vec<u64>,
) -> CompletionResponse {
    let is_stopped = work.stop_token.is_some() && tokens.last().copied() == work.stop_token;
    CompletionResponse {
        id: request_id.clone(),
        model: work.request.model.clone(),
        text: tokens.iter().map(|token| sse::token_text(*token)).collect(),
        finish_reason: if is_stopped { "stop" } else { "length" }.to_owned(),
        tokens,
    }
}

fn stored_answer(
    request_id: &RequestId,
    body_digest: &str,
    answer: &CompletionResponse,
) -> StoredAnswer {
    StoredAnswer {
        request_id: request_id.clone(),
        body_digest: body_digest.to_owned(),
        status: StatusCode::OK.as_u16(),
        content_type: "application/json".to_owned(),
        body: serde_json::to_vec(answer).unwrap_or_default(),
    }
}
