//! Runs a stream: carries out the actions of its [`StreamDriver`].
//!
//! The driver in the core decides what happens next; this module does the I/O. It
//! opens attempts and sends steps to engines, picks replacements for lost engines,
//! passes tokens to a [`TokenSink`], and feeds the results back as events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use rookferry_core::AbandonReason;
use rookferry_core::BrokenRun;
use rookferry_core::ChainRequest;
use rookferry_core::EngineState;
use rookferry_core::RunCrash;
use rookferry_core::RunId;
use rookferry_core::RunProgress;
use rookferry_core::Stage;
use rookferry_core::StageEvent;
use rookferry_core::StreamAction;
use rookferry_core::StreamDriver;
use rookferry_net::ClientError;
use rookferry_net::clock;
use rookferry_wire::AttemptRequest;
use rookferry_wire::AttemptResponse;
use rookferry_wire::CancelRequest;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;
use rookferry_wire::Step;
use rookferry_wire::StepBatch;
use rookferry_wire::StepResult;
use slog::debug;
use slog::info;
use tokio::sync::watch;

use crate::admission::StreamRequirements;
use crate::admission::StreamSlots;
use crate::entry::EntryState;
use crate::quarantine::ProbedServer;

/// Bounds of the pause before lost engines are tried again. It doubles each time,
/// and is reset to the minimum by the next token.
const MIN_REPLACE_PAUSE: Duration = Duration::from_millis(25);
const MAX_REPLACE_PAUSE: Duration = Duration::from_millis(800);

/// Consumer of a stream's tokens.
pub(crate) trait TokenSink: Send + Sync {
    /// Called with each token in order; `index` counts from 0.
    fn token(&mut self, index: u32, token: u64);
}

/// Why a stream didn't finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// The driver abandoned it.
    Abandoned(AbandonReason),
    /// Its deadline passed.
    Deadline,
    /// Its caller disconnected.
    CallerGone,
    /// It is quarantined, since engines crashed each time that they ran it.
    Quarantined,
}

/// One active stream.
pub(crate) struct StreamRun<'a> {
    pub(crate) entry: &'a Arc<EntryState>,
    pub(crate) driver: &'a mut StreamDriver,
    pub(crate) requirements: &'a StreamRequirements,
    pub(crate) slots: StreamSlots,
    pub(crate) sink: &'a mut dyn TokenSink,
    /// Becomes true when the caller no longer needs the stream.
    pub(crate) cancelled: watch::Receiver<bool>,
    /// Progress since its chain last changed.
    progress: RunProgress,
    /// Engines not to be chosen as the next replacement.
    lost_engines: Vec<EngineId>,
    replace_pause: Duration,
    /// Engines that may hold state of the stream, to be cancelled at its end.
    used_engines: Vec<EngineId>,
    /// Engines that have opened the stream; they are used even while they leave.
    opened_engines: Vec<EngineId>,
    run: RunId,
    /// When the stream was first sent to each engine.
    first_sent_at: BTreeMap<EngineId, Instant>,
    /// Each chain that the stream ran on, in order.
    chains: Vec<Vec<EngineId>>,
}

impl<'a> StreamRun<'a> {
    pub(crate) fn new(
        entry: &'a Arc<EntryState>,
        driver: &'a mut StreamDriver,
        requirements: &'a StreamRequirements,
        slots: StreamSlots,
        sink: &'a mut dyn TokenSink,
        cancelled: watch::Receiver<bool>,
    ) -> Self {
        let used_engines: Vec<EngineId> = driver
            .stages()
            .iter()
            .map(|stage| stage.engine.clone())
            .collect();
        Self {
            entry,
            driver,
            requirements,
            slots,
            sink,
            cancelled,
            progress: RunProgress::Begun,
            lost_engines: Vec::new(),
            replace_pause: MIN_REPLACE_PAUSE,
            chains: vec![used_engines.clone()],
            used_engines,
            opened_engines: Vec::new(),
            run: rand::random(),
            first_sent_at: BTreeMap::new(),
        }
    }

    /// Runs the stream to its end and cancels it on its engines; returns each
    /// chain that it ran on.
    pub(crate) async fn run(mut self) -> (Result<(), StreamError>, Vec<Vec<EngineId>>) {
        let mut cancelled = self.cancelled.clone();
        let deadline = self.requirements.deadline;
        let result = tokio::select! {
            result = self.drive() => result,
            () = clock::sleep_until(deadline) => Err(StreamError::Deadline),
            _ = cancelled.wait_for(|is_cancelled| *is_cancelled) => Err(StreamError::CallerGone),
        };
        // An instance that took the stream over still needs it on the engines.
        if result != Err(StreamError::Abandoned(AbandonReason::TakenOver)) {
            self.cancel_on_engines();
        }
        (result, self.chains)
    }

    async fn drive(&mut self) -> Result<(), StreamError> {
        let mut actions = self.driver.start();
        loop {
            let mut opens = Vec::new();
            let mut events = Vec::new();
            for action in actions {
                match action {
                    StreamAction::Open { engine, request } => opens.push((engine, request)),
                    StreamAction::Send { engine, step } => {
                        events.push(self.send(engine, step).await);
                    }
                    StreamAction::Emit { index, token } => {
                        self.replace_pause = MIN_REPLACE_PAUSE;
                        self.progress = RunProgress::Answering;
                        self.sink.token(index, token);
                    }
                    StreamAction::Replace { layers, lost } => {
                        if !self
                            .entry
                            .is_retry_allowed(self.requirements.signature)
                            .await
                        {
                            return Err(StreamError::Quarantined);
                        }
                        self.progress = RunProgress::Begun;
                        events.push(self.replace(layers, lost).await);
                    }
                    StreamAction::Finish => return Ok(()),
                    StreamAction::Abandon { reason } => return Err(StreamError::Abandoned(reason)),
                }
            }
            let now = clock::now();
            for (engine, _) in &opens {
                self.first_sent_at.entry(engine.clone()).or_insert(now);
            }
            let answers = self.open_all(opens).await;
            self.record_opened(&answers);
            events.extend(answers);
            actions = Vec::new();
            for event in events {
                actions.extend(self.driver.on_event(event));
            }
            if actions.is_empty() {
                // Each response is awaited above, so that the driver always has an
                // action until the stream ends.
                return Err(StreamError::Abandoned(AbandonReason::NotHeld));
            }
        }
    }

    async fn send(&mut self, engine: EngineId, step: Step) -> StageEvent {
        let attempt = step.attempt;
        let positions = u32::try_from(step.input.len()).unwrap_or(u32::MAX);
        let Some(addr) = self.addr(&engine) else {
            return StageEvent::Lost { engine, attempt };
        };
        let wait = self.step_timeout(&engine, positions);
        let sent_at = clock::now();
        let answer = self.entry.steps.send(addr, step, wait).await;
        let took = clock::since(sent_at);
        let stats = self.slots.stats(&engine).cloned();
        match answer {
            Ok(StepResult::Done { output }) => {
                if let Some(stats) = stats {
                    if positions > 1 {
                        stats.record_prefill(took, positions);
                    } else {
                        stats.record_step(took);
                    }
                }
                StageEvent::Done {
                    engine,
                    attempt,
                    output,
                }
            }
            Ok(StepResult::Refused { refusal }) => {
                debug!(self.entry.log, "StreamRun::send: step refused";
                    "part" => "stream", "engine" => %engine, "refusal" => ?refusal);
                StageEvent::Refused {
                    engine,
                    attempt,
                    refusal,
                }
            }
            Err(error) => {
                if let Some(stats) = stats
                    && !matches!(error, ClientError::BackedOff { .. })
                {
                    stats.record_loss();
                }
                info!(self.entry.log, "stream: no result for a step";
                    "part" => "stream", "stream" => %self.driver.stream(), "engine" => %engine, "error" => %error);
                if matches!(error, ClientError::Broken { .. }) || error.is_connection_refused() {
                    self.report_broken_run(&engine);
                }
                StageEvent::Lost { engine, attempt }
            }
        }
    }

    /// Reports that the run's connection to an engine broke, so that the engine is
    /// probed for a crash.
    fn report_broken_run(&self, engine: &EngineId) {
        let snapshot = self.entry.snapshot.load();
        let Some(known) = snapshot.fleet.engine(engine) else {
            return;
        };
        let server = ProbedServer::Engine {
            engine: engine.clone(),
            incarnation: known.info.incarnation,
            addr: known.addr,
        };
        let joined_at = self.first_sent_at.get(engine).copied();
        let joined_at = joined_at.unwrap_or_else(clock::now);
        let run = BrokenRun {
            signature: self.requirements.signature,
            segments: Vec::new(),
            is_forwarded: false,
            request: self.driver.stream().to_string(),
            crash: RunCrash {
                server: server.key(),
                run: self.run,
                progress: self.progress,
                joined_at,
                // It was alive then: it accepted the stream.
                alive_at: joined_at,
                at: clock::now(),
            },
        };
        self.entry.record_broken_run(run, server);
    }

    async fn open_all(&self, opens: Vec<(EngineId, AttemptRequest)>) -> Vec<StageEvent> {
        let opens = opens
            .into_iter()
            .map(|(engine, request)| self.open(engine, request));
        join_all(opens).await
    }

    async fn open(&self, engine: EngineId, request: AttemptRequest) -> StageEvent {
        let attempt = request.attempt;
        let Some(addr) = self.addr(&engine) else {
            return StageEvent::Lost { engine, attempt };
        };
        // The engine may have started leaving after it was chosen.
        if !self.opened_engines.contains(&engine) && self.is_leaving(&engine) {
            info!(self.entry.log, "stream: engine is leaving; attempt not opened";
                "part" => "stream", "engine" => %engine);
            return StageEvent::Lost { engine, attempt };
        }
        let wait = self.step_timeout(&engine, 1);
        match self.entry.engines.open(addr, request, wait).await {
            Ok(AttemptResponse::Opened { kept }) => StageEvent::Opened {
                engine,
                attempt,
                kept,
            },
            Ok(AttemptResponse::Refused { newest }) => StageEvent::OpenRefused {
                engine,
                attempt,
                newest,
            },
            Err(error) => {
                info!(self.entry.log, "stream: attempt not opened";
                    "part" => "stream", "engine" => %engine, "error" => %error);
                StageEvent::Lost { engine, attempt }
            }
        }
    }

    fn record_opened(&mut self, answers: &[StageEvent]) {
        for answer in answers {
            if let StageEvent::Opened { engine, .. } = answer {
                self.opened_engines.push(engine.clone());
            }
        }
    }

    fn is_leaving(&self, engine: &str) -> bool {
        let snapshot = self.entry.snapshot.load();
        let known = snapshot.fleet.engine(engine);
        known.is_some_and(|engine| engine.state == EngineState::Leaving)
    }

    /// Searches for engines that can take over the layers of a lost one, until some
    /// are found; the caller's deadline ends the search.
    async fn replace(&mut self, layers: LayerRange, lost: EngineId) -> StageEvent {
        self.slots.remove(&lost);
        self.lost_engines.push(lost);
        loop {
            let stages = self.choose_replacements(layers);
            if !stages.is_empty() {
                let snapshot = self.entry.snapshot.load_full();
                self.slots.add(&snapshot.fleet, &stages);
                self.used_engines
                    .extend(stages.iter().map(|stage| stage.engine.clone()));
                self.record_chain(layers, &stages);
                return StageEvent::Replaced { stages };
            }
            // A lost engine may have restarted, with an empty cache.
            self.lost_engines.clear();
            tokio::time::sleep(self.replace_pause).await;
            self.replace_pause = (self.replace_pause * 2).min(MAX_REPLACE_PAUSE);
        }
    }

    fn choose_replacements(&self, layers: LayerRange) -> Vec<Stage> {
        let snapshot = self.entry.snapshot.load();
        let Some(graph) = snapshot
            .fleet
            .graph(&self.requirements.pool, &self.requirements.model)
        else {
            return Vec::new();
        };
        // Once it is no longer excluded, the replaced engine itself may be chosen:
        // it may be the only one that comes back.
        let kept = self
            .stages_outside(layers)
            .map(|stage| stage.engine.clone());
        let backing_off = self.entry.admission.backed_off(&snapshot).into_iter();
        let backing_off = backing_off.map(|(engine, _)| engine);
        let lost = self.lost_engines.iter().cloned();
        let excluded: Vec<EngineId> = lost.chain(kept).chain(backing_off).collect();
        let request = ChainRequest {
            layers,
            excluded: &excluded,
            cached: &[],
            seed: self.requirements.seed,
            ignores_limit: true,
        };
        let policy = &snapshot.table.config().policy;
        let chosen = snapshot
            .chooser
            .choose(policy, graph, snapshot.fleet.engines(), &request);
        chosen.stages
    }

    fn record_chain(&mut self, layers: LayerRange, stages: &[Stage]) {
        let kept = self.stages_outside(layers);
        let mut chain: Vec<&Stage> = kept.chain(stages).collect();
        chain.sort_by_key(|stage| stage.layers);
        self.chains.push(
            chain
                .into_iter()
                .map(|stage| stage.engine.clone())
                .collect(),
        );
    }

    /// The stages of the chain outside a range of layers.
    fn stages_outside(&self, layers: LayerRange) -> impl Iterator<Item = &Stage> {
        let stages = self.driver.stages().iter();
        stages.filter(move |stage| {
            stage.layers.end <= layers.start || stage.layers.start >= layers.end
        })
    }

    fn step_timeout(&self, engine: &str, positions: u32) -> Duration {
        let snapshot = self.entry.snapshot.load();
        let policy = &snapshot.table.config().policy;
        let floor = Duration::from_millis(policy.step_timeout_floor_ms);
        let Some(stats) = self.slots.stats(engine) else {
            return floor;
        };
        stats.step_timeout(policy.step_timeout_factor, floor, positions)
    }

    fn addr(&self, engine: &str) -> Option<std::net::SocketAddr> {
        let snapshot = self.entry.snapshot.load();
        snapshot.fleet.engine(engine).map(|engine| engine.addr)
    }

    /// Cancels the stream on each engine that was ever part of its chain.
    fn cancel_on_engines(&self) {
        let request = CancelRequest {
            stream: self.driver.stream(),
            attempt: self.driver.attempt(),
        };
        for engine in &self.used_engines {
            let Some(addr) = self.addr(engine) else {
                continue;
            };
            let entry = self.entry.clone();
            tokio::spawn(async move {
                // If this is lost, engines drop streams that get no more steps.
                let _ = entry.engines.cancel(addr, request).await;
            });
        }
    }
}

/// Sends steps to engines. It is separate from [`StreamRun`] so that steps of many
/// streams can be batched into one message.
pub(crate) struct StepSender {
    engines: Arc<dyn rookferry_net::EngineTransport>,
}

impl StepSender {
    pub(crate) fn new(engines: Arc<dyn rookferry_net::EngineTransport>) -> Self {
        Self { engines }
    }

    /// Sends one step and waits for its result.
    pub(crate) async fn send(
        &self,
        addr: std::net::SocketAddr,
        step: Step,
        wait: Duration,
    ) -> Result<StepResult, rookferry_net::ClientError> {
        let batch = StepBatch { steps: vec![step] };
        let answer = self.engines.steps(addr, batch, wait).await?;
        let result = answer.results.into_iter().next();
        result.ok_or_else(|| rookferry_net::ClientError::Decode {
            addr,
            message: "the response has no result for the step".to_owned(),
        })
    }
}
