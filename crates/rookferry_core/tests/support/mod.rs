//! An in-memory pipeline of fake engines, for tests of streams.
//!
//! A layer's value is a hash of its previous value, the activation, its index and the
//! position, so a skipped, repeated or swapped layer changes the output.

use std::collections::BTreeMap;

use rookferry_core::GateVerdict;
use rookferry_core::Stage;
use rookferry_core::StageEvent;
use rookferry_core::StageGate;
use rookferry_core::StreamAction;
use rookferry_core::StreamDriver;
use rookferry_core::StreamSpec;
use rookferry_wire::AttemptRequest;
use rookferry_wire::AttemptResponse;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;
use rookferry_wire::Refusal;
use rookferry_wire::Step;
use uuid::Uuid;

pub const LAYERS: u16 = 6;
pub const PROMPT: [u64; 3] = [11, 12, 13];
pub const TOKENS: u32 = 4;

/// A fault that is injected into one request to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The engine crashes before it runs the step.
    CrashBefore,
    /// The engine crashes after it ran the step; its response is lost.
    CrashAfter,
    /// The step runs and only its response is lost.
    ResponseLost,
    /// The engine is frozen and runs the step only when it wakes, at the end of the test.
    Frozen,
    /// The engine refuses the step because it is leaving.
    Leaving,
    /// The engine refuses the step because it is overloaded.
    Overloaded,
    /// The engine has dropped the stream's KV.
    Evicted,
    /// The response arrives twice.
    Duplicated,
}

fn fold(former: u64, activation: u64, layer: u16, position: u32) -> u64 {
    let mixed = former
        .wrapping_mul(31)
        .wrapping_add(activation)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.rotate_left(u32::from(layer) + 7) ^ u64::from(position)
}

/// The expected output, computed by a plain loop over all layers.
pub fn reference() -> Vec<u64> {
    let mut kv = vec![0; usize::from(LAYERS)];
    let mut answer = Vec::new();
    let mut input = PROMPT.to_vec();
    let mut position = 0;
    while answer.len() < TOKENS as usize {
        let mut token = 0;
        for activation in input {
            token = activation;
            for layer in 0..LAYERS {
                let slot = &mut kv[usize::from(layer)];
                *slot = fold(*slot, token, layer, position);
                token = *slot;
            }
            position += 1;
        }
        answer.push(token);
        input = vec![token];
    }
    answer
}

#[derive(Clone, Default)]
struct StreamState {
    gate: StageGate,
    kv: Vec<Vec<u64>>,
}

/// One engine. It restarts with no state after a crash.
#[derive(Clone)]
pub struct FakeEngine {
    layers: LayerRange,
    stream: Option<StreamState>,
    incarnation: u32,
    /// Number of runs by (incarnation, position).
    pub runs: BTreeMap<(u32, u32), u32>,
}

impl FakeEngine {
    fn new(start: u16, end: u16) -> Self {
        Self {
            layers: LayerRange { start, end },
            stream: None,
            incarnation: 0,
            runs: BTreeMap::new(),
        }
    }

    fn crash(&mut self) {
        self.stream = None;
        self.incarnation += 1;
    }

    fn step(&mut self, step: &Step) -> Result<Vec<u64>, Refusal> {
        let stream = self.stream.get_or_insert_default();
        match stream.gate.check(step) {
            GateVerdict::Refuse(refusal) => return Err(refusal),
            GateVerdict::Recorded => {}
            GateVerdict::Run { from } => {
                let skip = (from - step.position) as usize;
                for (position, input) in (from..).zip(&step.input[skip..]) {
                    let zeros = vec![0; usize::from(self.layers.len())];
                    let before = stream.kv.last().unwrap_or(&zeros).clone();
                    let mut activation = *input;
                    let mut values = Vec::new();
                    for (layer, former) in (self.layers.start..self.layers.end).zip(before) {
                        activation = fold(former, activation, layer, position);
                        values.push(activation);
                    }
                    stream.kv.push(values);
                    stream.gate.record(&[activation]);
                    *self.runs.entry((self.incarnation, position)).or_default() += 1;
                }
            }
        }
        Ok(stream
            .gate
            .outputs(step.position, step.input.len())
            .to_vec())
    }

    fn open(&mut self, request: AttemptRequest) -> AttemptResponse {
        if request.must_exist && self.stream.is_none() {
            return AttemptResponse::Refused { newest: 0 };
        }
        let stream = self.stream.get_or_insert_default();
        let answer = stream.gate.open(request.attempt, request.keep);
        if let AttemptResponse::Opened { kept } = answer {
            stream.kv.truncate(kept as usize);
        }
        answer
    }
}

/// Outcome of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamOutcome {
    Finished,
    Abandoned(rookferry_core::AbandonReason),
}

/// Two engines for each third of the layers, and the tokens emitted to the caller.
pub struct Pipeline {
    pub engines: BTreeMap<EngineId, FakeEngine>,
    pub emitted: Vec<u64>,
    /// Steps that frozen engines run when they wake.
    deferred_steps: Vec<(EngineId, Step)>,
    /// Pending actions of a driver that was stopped.
    pending_actions: Vec<StreamAction>,
    exchanges: usize,
    /// Faults by the number of the request that they apply to, from 1.
    pub faults: BTreeMap<usize, Fault>,
}

impl Pipeline {
    pub fn new(faults: impl IntoIterator<Item = (usize, Fault)>) -> Self {
        let mut engines = BTreeMap::new();
        for (third, letter) in [(0, 'a'), (1, 'b'), (2, 'c')] {
            for copy in 1..=2 {
                let engine = FakeEngine::new(third * 2, third * 2 + 2);
                engines.insert(format!("{letter}{copy}").into(), engine);
            }
        }
        Self {
            engines,
            emitted: Vec::new(),
            deferred_steps: Vec::new(),
            pending_actions: Vec::new(),
            exchanges: 0,
            faults: faults.into_iter().collect(),
        }
    }

    pub fn spec(&self) -> StreamSpec {
        StreamSpec {
            stream: Uuid::nil(),
            stages: ["a1", "b1", "c1"]
                .into_iter()
                .map(|name| self.stage(name))
                .collect(),
            prompt: PROMPT.to_vec(),
            max_tokens: TOKENS,
            stop_token: None,
            priority: 0,
        }
    }

    fn stage(&self, name: &str) -> Stage {
        Stage {
            engine: name.into(),
            layers: self.engines[name].layers,
        }
    }

    /// Runs a driver until it finishes, or stops it after `stop_after` requests.
    pub fn run(
        &mut self,
        driver: &mut StreamDriver,
        stop_after: Option<usize>,
    ) -> Option<StreamOutcome> {
        let actions = driver.start();
        self.drive(driver, actions, stop_after)
    }

    /// Continues a driver that was stopped, with its pending actions.
    pub fn resume(&mut self, driver: &mut StreamDriver) -> Option<StreamOutcome> {
        let actions = std::mem::take(&mut self.pending_actions);
        self.drive(driver, actions, None)
    }

    fn drive(
        &mut self,
        driver: &mut StreamDriver,
        mut actions: Vec<StreamAction>,
        stop_after: Option<usize>,
    ) -> Option<StreamOutcome> {
        loop {
            let mut events = Vec::new();
            let mut due = std::mem::take(&mut actions).into_iter();
            while let Some(action) = due.next() {
                if stop_after.is_some_and(|limit| self.exchanges >= limit) {
                    self.pending_actions = std::iter::once(action).chain(due).collect();
                    return None;
                }
                match action {
                    StreamAction::Emit { index, token } => {
                        assert_eq!(
                            index as usize,
                            self.emitted.len(),
                            "each position is emitted once"
                        );
                        self.emitted.push(token);
                    }
                    StreamAction::Finish => return Some(StreamOutcome::Finished),
                    StreamAction::Abandon { reason } => {
                        return Some(StreamOutcome::Abandoned(reason));
                    }
                    other => events.extend(self.execute(other)),
                }
            }
            for event in events {
                actions.extend(driver.on_event(event));
            }
            assert!(!actions.is_empty(), "the driver made no progress");
        }
    }

    /// Wakes the frozen engines, which run the steps they were sent.
    pub fn wake(&mut self) {
        for (name, step) in std::mem::take(&mut self.deferred_steps) {
            if let Some(engine) = self.engines.get_mut(&name) {
                let _ = engine.step(&step);
            }
        }
    }

    fn execute(&mut self, action: StreamAction) -> Vec<StageEvent> {
        match action {
            StreamAction::Open { engine, request } => vec![self.open(engine, request)],
            StreamAction::Send { engine, step } => self.send(engine, &step),
            StreamAction::Replace { layers, lost } => {
                let other = self
                    .engines
                    .iter()
                    .find(|(name, engine)| **name != lost && engine.layers == layers);
                let stages = other.map(|(name, _)| vec![self.stage(name)]);
                vec![StageEvent::Replaced {
                    stages: stages.expect("each range has two engines"),
                }]
            }
            StreamAction::Emit { .. } | StreamAction::Finish | StreamAction::Abandon { .. } => {
                Vec::new()
            }
        }
    }

    fn open(&mut self, engine: EngineId, request: AttemptRequest) -> StageEvent {
        let attempt = request.attempt;
        self.exchanges += 1;
        let fault = self.faults.remove(&self.exchanges);
        let target = self.engines.get_mut(&engine).expect("a known engine");
        if matches!(fault, Some(Fault::CrashBefore | Fault::CrashAfter)) {
            target.crash();
            return StageEvent::Lost { engine, attempt };
        }
        let answer = target.open(request);
        if matches!(fault, Some(Fault::ResponseLost | Fault::Frozen)) {
            return StageEvent::Lost { engine, attempt };
        }
        match answer {
            AttemptResponse::Opened { kept } => StageEvent::Opened {
                engine,
                attempt,
                kept,
            },
            AttemptResponse::Refused { newest } => StageEvent::OpenRefused {
                engine,
                attempt,
                newest,
            },
        }
    }

    fn send(&mut self, engine: EngineId, step: &Step) -> Vec<StageEvent> {
        let attempt = step.attempt;
        self.exchanges += 1;
        let fault = self.faults.remove(&self.exchanges);
        let target = self.engines.get_mut(&engine).expect("a known engine");
        let lost = StageEvent::Lost {
            engine: engine.clone(),
            attempt,
        };
        let refused = |refusal| StageEvent::Refused {
            engine: engine.clone(),
            attempt,
            refusal,
        };
        match fault {
            Some(Fault::CrashBefore) => {
                target.crash();
                return vec![lost];
            }
            Some(Fault::CrashAfter) => {
                let _ = target.step(step);
                target.crash();
                return vec![lost];
            }
            Some(Fault::ResponseLost) => {
                let _ = target.step(step);
                return vec![lost];
            }
            Some(Fault::Frozen) => {
                self.deferred_steps.push((engine, step.clone()));
                return vec![lost];
            }
            Some(Fault::Leaving) => return vec![refused(Refusal::Leaving)],
            Some(Fault::Overloaded) => return vec![refused(Refusal::Overloaded)],
            Some(Fault::Evicted) => target.crash(),
            Some(Fault::Duplicated) | None => {}
        }
        let event = match target.step(step) {
            Ok(output) => StageEvent::Done {
                engine,
                attempt,
                output,
            },
            Err(refusal) => refused(refusal),
        };
        if fault == Some(Fault::Duplicated) {
            return vec![event.clone(), event];
        }
        vec![event]
    }

    /// Asserts that no engine ran a position twice within one incarnation.
    pub fn assert_no_repeats(&self) {
        for (name, engine) in &self.engines {
            for ((incarnation, position), runs) in &engine.runs {
                assert_eq!(
                    *runs, 1,
                    "{name}, incarnation {incarnation}, position {position}"
                );
            }
        }
    }

    /// Number of runs of a position on all engines of the stage that starts at a layer.
    pub fn runs_at(&self, start: u16, position: u32) -> u32 {
        let engines = self
            .engines
            .values()
            .filter(|engine| engine.layers.start == start);
        let runs = engines.flat_map(|engine| &engine.runs);
        runs.filter(|((_, at), _)| *at == position)
            .map(|(_, runs)| runs)
            .sum()
    }
}
