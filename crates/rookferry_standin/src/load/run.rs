//! Runs a load plan: sends its requests when they are due, injects its faults and
//! compares each answer with the reference.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rookferry_net::HttpClient;
use rookferry_wire::CompletionRequest;
use rookferry_wire::Outcome;
use rookferry_wire::ReasonCode;
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::Uuid;

use super::CallKind;
use super::CallOutcome;
use super::Caller;
use super::LoadPlan;
use super::LoadRunReport;
use super::report::Collector;
use super::report::RequestTiming;
use super::tokenize;
use crate::layers::prompt_digest;
use crate::layers::reference_answer;

/// Maximum number of tries of a call that must run at most once.
const MAX_TRIES: u32 = 20;
/// Bounds of the pause before a retry with the same key.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Timeout of a call that injects a fault.
const FAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of the prefixes that prompts share.
const PREFIX_CHARS: usize = 40;

/// A request and its outcome, for checks against ledgers.
#[derive(Clone, Debug)]
pub struct RequestLog {
    /// Kind of request.
    pub kind: CallKind,
    /// Digest of the prompt (`prompt_digest`).
    pub prompt: u64,
    /// Outcome of the last try.
    pub outcome: CallOutcome,
    /// Whether the answer equals the reference.
    pub is_correct: bool,
    /// Request ids of the tries with the outcome "not run".
    pub not_run_ids: Vec<String>,
    /// Number of tries.
    pub tries: u32,
}

/// Result of a load run.
#[derive(Debug)]
pub struct LoadRun {
    /// Latencies, outcomes and throughput.
    pub report: LoadRunReport,
    /// The requests that were sent, in order of completion.
    pub requests: Vec<RequestLog>,
}

/// A request of the plan with the time at which it is due.
#[derive(Debug)]
struct PlannedRequest {
    due: Duration,
    account: usize,
    kind: CallKind,
    body: CompletionRequest,
    target: usize,
}

/// State shared by the request tasks.
struct Shared {
    plan: LoadPlan,
    callers: Vec<Caller>,
    start: Instant,
    collector: Mutex<Collector>,
    requests: Mutex<Vec<RequestLog>>,
}

impl LoadRun {
    /// Runs a plan until all its requests are complete.
    pub async fn run(plan: LoadPlan) -> Self {
        let client = HttpClient::new();
        let timeout = Duration::from_millis(plan.patience_ms);
        let accounts = plan.accounts.iter();
        let callers = accounts
            .map(|account| Caller::new(client.clone(), account.key.clone(), timeout))
            .collect();
        let planned = plan_requests(&plan);
        let duration = Duration::from_millis(plan.duration_ms);
        let shared = Arc::new(Shared {
            callers,
            start: Instant::now(),
            collector: Mutex::default(),
            requests: Mutex::default(),
            plan,
        });
        let faults = tokio::spawn(inject_faults(client, shared.clone()));
        send_all(&shared, planned).await;
        faults.abort();
        let collector = std::mem::take(&mut *lock(&shared.collector));
        let requests = std::mem::take(&mut *lock(&shared.requests));
        Self {
            report: collector.finish(duration),
            requests,
        }
    }
}

fn plan_requests(plan: &LoadPlan) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let duration = Duration::from_millis(plan.duration_ms);
    let times = plan.arrivals.times(&mut rng, plan.rate_per_s, duration);
    let total_share: f64 = plan.accounts.iter().map(|account| account.share).sum();
    let mut planned = Vec::with_capacity(times.len());
    for (number, due) in times.into_iter().enumerate() {
        let kind = plan.mix.kind_at(rng.random());
        let account = account_at(plan, rng.random::<f64>() * total_share);
        let length = rng.random_range(plan.prompt_tokens.0..=plan.prompt_tokens.1);
        let prefix = rng.random_range(0..plan.prefixes.max(1));
        let body = CompletionRequest {
            model: plan.model.clone(),
            prompt: prompt(plan.seed, number, prefix, length),
            max_tokens: rng.random_range(plan.answer_tokens.0..=plan.answer_tokens.1),
            stream: kind == CallKind::Streamed,
        };
        planned.push(PlannedRequest {
            due,
            account,
            kind,
            body,
            target: number % plan.targets.len(),
        });
    }
    planned
}

/// Picks an account by its share, for a random `point` below the sum of all shares.
fn account_at(plan: &LoadPlan, point: f64) -> usize {
    let mut remaining = point;
    for (index, account) in plan.accounts.iter().enumerate() {
        remaining -= account.share;
        if remaining < 0.0 {
            return index;
        }
    }
    plan.accounts.len() - 1
}

/// A unique prompt that begins with one of the shared prefixes.
fn prompt(seed: u64, number: usize, prefix: u64, length: usize) -> String {
    let shared = format!("prefix {prefix:>width$} ", width = PREFIX_CHARS - 8);
    let unique = format!("{shared}{seed}-{number} ");
    let filler = ".".repeat(length.saturating_sub(unique.len()));
    unique + &filler
}

async fn inject_faults(client: HttpClient, shared: Arc<Shared>) {
    let mut faults = shared.plan.faults.clone();
    faults.sort_by_key(|fault| fault.at_ms);
    for fault in faults {
        tokio::time::sleep_until(shared.start + Duration::from_millis(fault.at_ms)).await;
        let injected: Result<(), _> = client
            .post(fault.addr, "/admin/fault", &fault.fault, FAULT_TIMEOUT)
            .await;
        if let Err(error) = injected {
            let note = format!("failed to inject a fault: {error}");
            lock(&shared.collector).record_note(&note);
        }
    }
}

/// Sends each request when it is due, without waiting for earlier ones.
async fn send_all(shared: &Arc<Shared>, planned: Vec<PlannedRequest>) {
    let mut tasks = JoinSet::new();
    for request in planned {
        tokio::time::sleep_until(shared.start + request.due).await;
        while tasks.try_join_next().is_some() {}
        if tasks.len() >= shared.plan.max_in_flight {
            lock(&shared.collector).record_not_sent();
            continue;
        }
        tasks.spawn(send_one(shared.clone(), request));
    }
    while tasks.join_next().await.is_some() {}
}

async fn send_one(shared: Arc<Shared>, request: PlannedRequest) {
    let due_at = shared.start + request.due;
    let sent_at = Instant::now();
    let mut log = RequestLog {
        kind: request.kind,
        prompt: prompt_digest(&tokenize(&request.body.prompt)),
        outcome: CallOutcome::Cut("not sent".to_owned()),
        is_correct: false,
        not_run_ids: Vec::new(),
        tries: 0,
    };
    let (outcome, last_sent_at) = match request.kind {
        CallKind::Once => retry_until_final(&shared, &request, &mut log, sent_at).await,
        _ => (
            shared.try_once(&request, request.target, None).await,
            sent_at,
        ),
    };
    log.tries = log.tries.max(1);
    record_not_run(&outcome, &mut log);
    log.is_correct = is_correct(&shared.plan, &request, &outcome);
    let ended_at = Instant::now();
    let timing = RequestTiming {
        kind: request.kind,
        account: &shared.plan.accounts[request.account].name,
        send_delay: last_sent_at.saturating_duration_since(due_at),
        last_try_duration: ended_at.saturating_duration_since(last_sent_at),
        ended_at: ended_at.saturating_duration_since(shared.start),
        is_correct: log.is_correct,
    };
    lock(&shared.collector).record_request(&timing, &outcome);
    log.outcome = outcome;
    lock(&shared.requests).push(log);
}

/// Retries with the same key until the answer or a final outcome. A ticket replaces the
/// key. Returns the outcome and the time at which the last try was sent.
async fn retry_until_final(
    shared: &Shared,
    request: &PlannedRequest,
    log: &mut RequestLog,
    sent_at: Instant,
) -> (CallOutcome, Instant) {
    let mut key = Uuid::now_v7().to_string();
    let mut sent_at = sent_at;
    loop {
        log.tries += 1;
        let target = request.target + log.tries as usize - 1;
        let outcome = shared.try_once(request, target, Some(&key)).await;
        let pause = match &outcome {
            CallOutcome::Cut(_) => MIN_RETRY_PAUSE,
            CallOutcome::Problem(problem) if is_retryable(problem.outcome, problem.reason) => {
                Duration::from_millis(problem.retry_after_ms.unwrap_or(100))
            }
            _ => return (outcome, sent_at),
        };
        if log.tries >= MAX_TRIES {
            return (outcome, sent_at);
        }
        record_not_run(&outcome, log);
        if let CallOutcome::Problem(problem) = &outcome
            && let Some(ticket) = &problem.ticket
        {
            key.clone_from(ticket);
        }
        tokio::time::sleep(pause.clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE)).await;
        sent_at = Instant::now();
    }
}

/// Whether a retry with the same key or its ticket can still get an answer.
const fn is_retryable(outcome: Outcome, reason: ReasonCode) -> bool {
    match outcome {
        Outcome::Running => true,
        Outcome::NotRun => !matches!(reason, ReasonCode::KeyReused | ReasonCode::KeyExpired),
        Outcome::Unknown => false,
    }
}

fn record_not_run(outcome: &CallOutcome, log: &mut RequestLog) {
    if let CallOutcome::Problem(problem) = outcome
        && problem.outcome == Outcome::NotRun
    {
        log.not_run_ids.push(problem.request_id.to_string());
    }
}

fn is_correct(plan: &LoadPlan, request: &PlannedRequest, outcome: &CallOutcome) -> bool {
    let CallOutcome::Answered(answer) = outcome else {
        return false;
    };
    match request.kind {
        CallKind::Lookup | CallKind::Submit => answer.body.contains(&request.body.prompt),
        CallKind::Whole | CallKind::Streamed | CallKind::Once => {
            let prompt = tokenize(&request.body.prompt);
            answer.tokens == reference_answer(plan.layers, &prompt, request.body.max_tokens)
        }
    }
}

impl Shared {
    async fn try_once(
        &self,
        request: &PlannedRequest,
        target: usize,
        key: Option<&str>,
    ) -> CallOutcome {
        let caller = &self.callers[request.account];
        let addr: SocketAddr = self.plan.targets[target % self.plan.targets.len()];
        let path = format!("/apps/{}/{}", self.plan.service, request.target);
        match request.kind {
            CallKind::Whole | CallKind::Streamed | CallKind::Once => {
                caller.complete(addr, &request.body, key).await
            }
            CallKind::Lookup => {
                caller
                    .call(addr, Method::GET, &path, &request.body.prompt, None)
                    .await
            }
            CallKind::Submit => {
                let key = Uuid::now_v7().to_string();
                caller
                    .call(addr, Method::POST, &path, &request.body.prompt, Some(&key))
                    .await
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
