//! HTTP server of a model engine, its batch loop and its injected faults.
//!
//! Step requests queue their steps; `run_batches` takes them by priority, waits for the
//! simulated duration and runs them. Calls under `/v1` pass the simulated link in both
//! directions, calls under `/admin` don't.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::future::ready;
use gotham::helpers::http::Body;
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::build_simple_router;
use http::Response;
use http::StatusCode;
use rookferry_core::prefix_hash;
use rookferry_net::ConnectionLimits;
use rookferry_net::ConnectionTable;
use rookferry_net::InboundRequest;
use rookferry_net::Server;
use rookferry_net::endpoint;
use rookferry_net::json_response;
use rookferry_net::text_response;
use rookferry_wire::AttemptRequest;
use rookferry_wire::CancelRequest;
use rookferry_wire::EngineId;
use rookferry_wire::EngineInfo;
use rookferry_wire::KvPages;
use rookferry_wire::LoadReport;
use rookferry_wire::Order;
use rookferry_wire::OrderRequest;
use rookferry_wire::OrderResponse;
use rookferry_wire::Refusal;
use rookferry_wire::Step;
use rookferry_wire::StepBatch;
use rookferry_wire::StepBatchResponse;
use rookferry_wire::StepResult;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::EngineConfig;
use super::Ledger;
use super::cache::PrefixCache;
use super::stage::StageState;
use crate::Fault;
use crate::FaultState;
use crate::admin::RESTART_DELAY;
use crate::admin::broken_connection;
use crate::platform::server::read_json;

/// Number of stored load reports; `report_lag_ms` can delay reports by about 3.2 s at
/// most (64 reports at intervals of 50 ms).
const MAX_REPORTS: usize = 64;
/// Interval between load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of the prefix cache.
const PREFIX_CACHE_CAPACITY: usize = 64;
/// Positions of a prompt that take no time if its prefix is cached.
const CACHED_PREFIX_POSITIONS: u32 = 32;

/// A step that waits for a batch, and the channel for its result.
struct QueuedStep {
    step: Step,
    result_sender: oneshot::Sender<StepResult>,
}

/// State of the engine process; most of it is lost in a crash.
struct Inner {
    info: EngineInfo,
    stage: StageState,
    cache: PrefixCache,
    queue: VecDeque<QueuedStep>,
    reports: VecDeque<(Instant, LoadReport)>,
    highest_fence: u64,
    /// Moving average of the step time.
    step_us: u64,
}

/// State shared by the request handlers and the batch loop.
struct App {
    config: EngineConfig,
    inner: Mutex<Inner>,
    faults: FaultState,
    /// Wakes the batch loop when a step is queued.
    arrived: Notify,
}

/// A running model engine.
#[derive(Debug)]
pub struct EngineServer {
    /// Engine name.
    pub engine: EngineId,
    /// Bound address.
    pub addr: SocketAddr,
}

impl EngineServer {
    /// Starts an engine that serves until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the listen address can't be bound.
    pub async fn start(config: EngineConfig) -> io::Result<Self> {
        let server = Server::bind(config.listen, ConnectionLimits::default()).await?;
        let addr = server.local_addr()?;
        let engine = config.engine.clone();
        let ledger = Ledger::new(engine.clone(), config.layers);
        let inner = Inner {
            info: info(&config),
            stage: StageState::new(config.layers, config.model_layers, ledger),
            cache: PrefixCache::new(
                PREFIX_CACHE_CAPACITY,
                Duration::from_millis(config.report_lag_ms),
            ),
            queue: VecDeque::new(),
            reports: VecDeque::new(),
            highest_fence: 0,
            step_us: 0,
        };
        let app = Arc::new(App {
            config,
            inner: Mutex::new(inner),
            faults: FaultState::default(),
            arrived: Notify::new(),
        });
        let router = router(&app, server.connections());
        tokio::spawn(server.serve(router, std::future::pending()));
        tokio::spawn(run_batches(app.clone()));
        tokio::spawn(record_load(app));
        Ok(Self { engine, addr })
    }
}

fn info(config: &EngineConfig) -> EngineInfo {
    EngineInfo {
        engine: config.engine.clone(),
        incarnation: 1,
        model: config.model.as_str().into(),
        model_version: "1".to_owned(),
        layers: config.layers,
        accelerator: config.accelerator.clone(),
        labels: config.labels.clone(),
        batch_slots: config.batch_slots,
        checks_fences: config.checks_fences,
        leaving: false,
    }
}

fn router(app: &Arc<App>, connections: &ConnectionTable) -> Router {
    build_simple_router(|route| {
        route
            .get("/v1/info")
            .to_new_handler(endpoint(app, connections, with_backoff(get_info)));
        route
            .get("/v1/load")
            .to_new_handler(endpoint(app, connections, with_backoff(get_load)));
        route.get("/v1/cache-events").to_new_handler(endpoint(
            app,
            connections,
            with_backoff(cache_events),
        ));
        route
            .post("/v1/steps")
            .to_new_handler(endpoint(app, connections, with_backoff(steps)));
        route
            .post("/v1/attempts")
            .to_new_handler(endpoint(app, connections, with_backoff(open)));
        route
            .post("/v1/cancel")
            .to_new_handler(endpoint(app, connections, with_backoff(cancel)));
        route.post("/v1/kv/export").to_new_handler(endpoint(
            app,
            connections,
            with_backoff(export),
        ));
        route.post("/v1/kv/import").to_new_handler(endpoint(
            app,
            connections,
            with_backoff(import),
        ));
        route
            .post("/v1/orders")
            .to_new_handler(endpoint(app, connections, with_backoff(order)));
        route
            .get("/admin/ledger")
            .to_new_handler(endpoint(app, connections, ledger));
        route
            .get("/admin/calls-since-asked")
            .to_new_handler(endpoint(app, connections, calls_since_refusal));
        route
            .post("/admin/fault")
            .to_new_handler(endpoint(app, connections, fault));
    })
}

/// Wraps a handler so that calls are refused with `Retry-After` while that fault is set.
fn with_backoff<R>(
    handler: impl Fn(Arc<App>, InboundRequest) -> R + Copy,
) -> impl Fn(Arc<App>, InboundRequest) -> BoxFuture<'static, Response<Body>> + Copy
where
    R: Future<Output = Response<Body>> + Send + 'static,
{
    move |app, inbound| match app.faults.refusal_with_backoff() {
        Some(refusal) => ready(refusal).boxed(),
        None => handler(app, inbound).boxed(),
    }
}

async fn calls_since_refusal(app: Arc<App>, _inbound: InboundRequest) -> Response<Body> {
    json_response(StatusCode::OK, &app.faults.calls_since_refusal())
}

async fn get_info(app: Arc<App>, _inbound: InboundRequest) -> Response<Body> {
    app.respond(|inner| inner.info.clone()).await
}

/// Returns the newest load report that is at least `report_lag_ms` old.
async fn get_load(app: Arc<App>, _inbound: InboundRequest) -> Response<Body> {
    let lag = Duration::from_millis(app.config.report_lag_ms);
    app.respond(move |inner| {
        let now = Instant::now();
        let visible = inner.reports.iter().rev();
        let mut visible = visible.filter(|(at, _)| now.saturating_duration_since(*at) >= lag);
        let Some((at, report)) = visible.next() else {
            return LoadReport::default();
        };
        LoadReport {
            age_ms: u64::try_from(now.saturating_duration_since(*at).as_millis()).unwrap_or(0),
            ..report.clone()
        }
    })
    .await
}

async fn cache_events(app: Arc<App>, inbound: InboundRequest) -> Response<Body> {
    let from = inbound
        .query_param("from")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    app.respond(move |inner| inner.cache.events(Instant::now(), from))
        .await
}

async fn steps(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let batch: StepBatch = match read_json(&mut inbound).await {
        Ok(batch) => batch,
        Err(refused) => return refused,
    };
    app.delay_on_link().await;
    if app.faults.is_dead() {
        return broken_connection();
    }
    if batch.steps.iter().any(|step| app.crashes_on(step)) {
        app.crash_and_restart();
        return broken_connection();
    }
    let receivers: Vec<_> = batch
        .steps
        .into_iter()
        .map(|step| app.enqueue(step))
        .collect();
    let mut results = Vec::with_capacity(receivers.len());
    for receiver in receivers {
        // The sender is dropped only when the engine crashes or is killed.
        let Ok(result) = receiver.await else {
            return broken_connection();
        };
        results.push(result);
    }
    app.delay_on_link().await;
    if app.faults.is_dead() || app.faults.drops_response() {
        return broken_connection();
    }
    json_response(StatusCode::OK, &StepBatchResponse { results })
}

async fn open(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let request: AttemptRequest = match read_json(&mut inbound).await {
        Ok(request) => request,
        Err(refused) => return refused,
    };
    app.respond(move |inner| inner.stage.open(request)).await
}

async fn cancel(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let request: CancelRequest = match read_json(&mut inbound).await {
        Ok(request) => request,
        Err(refused) => return refused,
    };
    app.respond(move |inner| inner.stage.cancel(request)).await
}

async fn export(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let request: AttemptRequest = match read_json(&mut inbound).await {
        Ok(request) => request,
        Err(refused) => return refused,
    };
    app.faults.delay_message().await;
    let pages = app.lock().stage.export(request.stream);
    match pages {
        Some(pages) if !app.faults.is_dead() => json_response(StatusCode::OK, &pages),
        Some(_) => broken_connection(),
        None => text_response(StatusCode::NOT_FOUND, "no such stream".to_owned()),
    }
}

async fn import(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let pages: KvPages = match read_json(&mut inbound).await {
        Ok(pages) => pages,
        Err(refused) => return refused,
    };
    app.respond(move |inner| inner.stage.import(pages)).await
}

async fn order(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let request: OrderRequest = match read_json(&mut inbound).await {
        Ok(request) => request,
        Err(refused) => return refused,
    };
    let model_layers = app.config.model_layers;
    app.respond(move |inner| inner.execute_order(request, model_layers))
        .await
}

async fn ledger(app: Arc<App>, _inbound: InboundRequest) -> Response<Body> {
    let ledger = app.lock().stage.ledger.clone();
    json_response(StatusCode::OK, &ledger)
}

async fn fault(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let fault: Fault = match read_json(&mut inbound).await {
        Ok(fault) => fault,
        Err(refused) => return refused,
    };
    if fault.dead == Some(true) {
        app.lock().lose_state();
    }
    app.faults.apply(&fault);
    app.lock().info.leaving = app.faults.is_leaving();
    json_response(StatusCode::OK, &())
}

impl Inner {
    /// Loses the process state, as a crash does, and starts a new incarnation.
    fn lose_state(&mut self) {
        self.stage.clear_streams();
        self.queue.clear();
        self.info.incarnation += 1;
        self.cache = PrefixCache::new(PREFIX_CACHE_CAPACITY, Duration::ZERO);
    }

    /// Carries out an order, unless its fence is outdated.
    fn execute_order(&mut self, request: OrderRequest, model_layers: u16) -> OrderResponse {
        if self.info.checks_fences && request.fence < self.highest_fence {
            return OrderResponse::Fenced {
                highest: self.highest_fence,
            };
        }
        self.highest_fence = self.highest_fence.max(request.fence);
        self.stage.ledger.fences.push(request.fence);
        match request.order {
            Order::Load {
                model,
                version,
                layers,
            } => {
                let mut ledger = self.stage.ledger.clone();
                ledger.layers = layers;
                self.stage = StageState::new(layers, model_layers, ledger);
                self.info.model = model;
                self.info.model_version = version;
                self.info.layers = layers;
            }
            Order::LoadAdapter { adapter } => {
                self.info.labels.insert("adapter".to_owned(), adapter);
            }
            Order::SetRole { role } => {
                self.info.labels.insert("role".to_owned(), role);
            }
        }
        OrderResponse::Accepted
    }

    /// Updates the moving average of the step time, for load reports.
    const fn record_step(&mut self, step_us: u64) {
        const WINDOW: u64 = 8;
        self.step_us = if self.step_us == 0 {
            step_us
        } else {
            (self.step_us * (WINDOW - 1) + step_us) / WINDOW
        };
    }

    /// Takes the next batch: highest priority first, within a priority by arrival.
    fn take_batch(&mut self, slots: u32) -> Vec<QueuedStep> {
        let mut queue: Vec<QueuedStep> = self.queue.drain(..).collect();
        queue.sort_by_key(|queued| std::cmp::Reverse(queued.step.priority));
        let rest = queue.split_off(queue.len().min(slots as usize));
        self.queue.extend(rest);
        queue
    }

    /// Positions of a batch beyond the first of each stream, without cached ones.
    fn extra_positions(&mut self, batch: &[QueuedStep]) -> u32 {
        let mut extra = 0;
        for queued in batch {
            let mut positions = self.stage.positions_to_run(&queued.step);
            let prefix = prefix_hash(&queued.step.input).filter(|_| queued.step.position == 0);
            if let Some(prefix) = prefix
                && self.cache.insert_if_absent(Instant::now(), prefix)
            {
                positions = positions.saturating_sub(CACHED_PREFIX_POSITIONS);
            }
            extra += positions.saturating_sub(1);
        }
        extra
    }
}

impl App {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the link delay, and while a fault delays or suspends messages.
    async fn delay_on_link(&self) {
        self.faults.delay_message().await;
        if self.config.link_us > 0 {
            tokio::time::sleep(Duration::from_micros(self.config.link_us)).await;
        }
    }

    /// Responds with the result of `call`, with the link delay before and after it.
    async fn respond<T: Serialize>(&self, call: impl FnOnce(&mut Inner) -> T) -> Response<Body> {
        self.delay_on_link().await;
        if self.faults.is_dead() {
            return broken_connection();
        }
        let value = call(&mut self.lock());
        self.delay_on_link().await;
        if self.faults.is_dead() {
            return broken_connection();
        }
        json_response(StatusCode::OK, &value)
    }

    /// Whether the tokens of a step contain the text that crashes the engine.
    fn crashes_on(&self, step: &Step) -> bool {
        let bytes = step.input.iter();
        let bytes: Vec<u8> = bytes
            .map(|token| u8::try_from(*token).unwrap_or(0))
            .collect();
        self.faults.crashes_on(&bytes)
    }

    /// Simulates a crash; the next incarnation serves after `RESTART_DELAY`.
    fn crash_and_restart(self: &Arc<Self>) {
        {
            let mut inner = self.lock();
            inner.stage.ledger.ends += 1;
            inner.lose_state();
        }
        let is_dead = |is_dead| Fault {
            dead: Some(is_dead),
            ..Fault::default()
        };
        self.faults.apply(&is_dead(true));
        let app = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_DELAY).await;
            app.faults.apply(&is_dead(false));
        });
    }

    /// Queues a step. Refused steps and those with recorded results respond at once.
    fn enqueue(&self, step: Step) -> oneshot::Receiver<StepResult> {
        let (result_sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        let is_new = step.position == 0 && !inner.stage.has_stream(step.stream);
        let refusal = if self.faults.is_leaving() && is_new {
            Some(Refusal::Leaving)
        } else if inner.queue.len() >= self.config.queue_limit {
            Some(Refusal::Overloaded)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            inner.stage.ledger.record_refusal(step.stream);
            let _ = result_sender.send(StepResult::Refused { refusal });
        } else if inner.stage.positions_to_run(&step) == 0 {
            let _ = result_sender.send(inner.stage.run(&step));
        } else {
            inner.queue.push_back(QueuedStep {
                step,
                result_sender,
            });
            self.arrived.notify_one();
        }
        receiver
    }
}

/// Runs one batch at a time. A batch ends its duration after the end of the previous
/// one, or after its own start if the engine was idle. Counting from the scheduled end
/// prevents late timers from slowing down a busy engine.
async fn run_batches(app: Arc<App>) {
    let mut last_end = tokio::time::Instant::now();
    loop {
        let batch = app.lock().take_batch(app.config.batch_slots);
        if batch.is_empty() {
            app.arrived.notified().await;
            last_end = last_end.max(tokio::time::Instant::now());
            continue;
        }
        let extra = app.lock().extra_positions(&batch);
        let step_us = app.config.step_us + u64::from(extra) * app.config.position_us;
        last_end += Duration::from_micros(step_us);
        tokio::time::sleep_until(last_end).await;
        app.faults.delay_message().await;
        if app.faults.is_dead() {
            continue;
        }
        let mut inner = app.lock();
        inner.record_step(step_us);
        for queued in batch {
            let result = inner.stage.run(&queued.step);
            let _ = queued.result_sender.send(result);
        }
    }
}

/// Stores a load report at each interval.
async fn record_load(app: Arc<App>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let mut inner = app.lock();
        let report = LoadReport {
            age_ms: 0,
            queued_steps: u32::try_from(inner.queue.len()).unwrap_or(u32::MAX),
            streams: u32::try_from(inner.stage.stream_count()).unwrap_or(u32::MAX),
            step_us: inner.step_us,
        };
        inner.reports.push_back((Instant::now(), report));
        if inner.reports.len() > MAX_REPORTS {
            inner.reports.pop_front();
        }
    }
}
