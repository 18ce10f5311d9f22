//! State machine that runs one stream through its stages, one step at a time.
//!
//! It takes events and returns actions, which the caller carries out. When a stage is
//! lost, the driver requests other engines for its layers, opens a new attempt on all
//! stages and continues from the positions that each still holds: a stage that holds a
//! position returns the recorded output, a new one runs the replayed prefix. Positions
//! that have run are thus not run again, and the client sees each position once.

use rookferry_wire::Attempt;
use rookferry_wire::AttemptRequest;
use rookferry_wire::EngineId;
use rookferry_wire::Position;
use rookferry_wire::Refusal;
use rookferry_wire::Step;
use rookferry_wire::StreamId;

use super::message::AbandonReason;
use super::message::Stage;
use super::message::StageEvent;
use super::message::StreamAction;
use super::message::StreamSpec;

/// Attempts after which a stream is abandoned; each lost stage costs one. The caller
/// paces the search for other engines, so that the stream's deadline is reached first.
const MAX_ATTEMPTS_PER_DRIVER: u32 = 64;
/// Number of the first attempt, which needs no opening on the engines.
const FIRST_ATTEMPT: Attempt = 1;

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// Not started.
    Ready,
    /// Waits for the engines to open the attempt; positions held, by stage.
    Opening { kept: Vec<Option<Position>> },
    /// Waits for the result of a step.
    Stepping { stage: usize },
    /// Waits for other engines for a stage's layers.
    Replacing { stage: usize },
    /// Finished or abandoned.
    Ended,
}

/// Runs one stream; takes events and returns actions.
#[derive(Clone, Debug)]
pub struct StreamDriver {
    spec: StreamSpec,
    attempt: Attempt,
    first_attempt: Attempt,
    /// Prompt and generated tokens.
    tokens: Vec<u64>,
    /// First position of the current pass, by stage.
    starts: Vec<Position>,
    phase: Phase,
    /// Whether another instance started the stream.
    is_resumed: bool,
    /// Whether the first stage is known to hold the stream.
    is_state_confirmed: bool,
    /// Steps that were sent and not refused, so that they may have run.
    unrefused_steps: u32,
}

impl StreamDriver {
    /// A driver for a stream that no engine has seen.
    #[must_use]
    pub fn new(spec: StreamSpec) -> Self {
        Self::with_attempt(spec, FIRST_ATTEMPT, false)
    }

    /// A driver for a stream that another instance started.
    ///
    /// Opens an attempt higher than `newest_attempt` and continues from the positions
    /// that the engines recorded. The first stage must hold the stream; otherwise it is
    /// abandoned with [`AbandonReason::NotHeld`], so that work isn't run a second time.
    #[must_use]
    pub fn resume(spec: StreamSpec, newest_attempt: Attempt) -> Self {
        Self::with_attempt(spec, newest_attempt + 1, true)
    }

    fn with_attempt(spec: StreamSpec, attempt: Attempt, is_resumed: bool) -> Self {
        let stages = spec.stages.len();
        Self {
            tokens: spec.prompt.clone(),
            spec,
            attempt,
            first_attempt: attempt,
            starts: vec![0; stages],
            phase: Phase::Ready,
            is_resumed,
            is_state_confirmed: !is_resumed,
            unrefused_steps: 0,
        }
    }

    /// The first actions: a step or, for a resumed stream, requests to open an attempt.
    pub fn start(&mut self) -> Vec<StreamAction> {
        if self.is_resumed {
            return self.open_all();
        }
        vec![self.send(0, self.tokens.clone())]
    }

    /// Handles an event and returns the next actions; an event of another attempt, or of
    /// an engine without a pending request, has no effect.
    pub fn on_event(&mut self, event: StageEvent) -> Vec<StreamAction> {
        match event {
            StageEvent::Opened {
                engine,
                attempt,
                kept,
            } => self.on_opened(&engine, attempt, kept),
            StageEvent::OpenRefused {
                engine,
                attempt,
                newest,
            } => self.on_open_refused(&engine, attempt, newest),
            StageEvent::Done {
                engine,
                attempt,
                output,
            } => self.on_done(&engine, attempt, &output),
            StageEvent::Refused {
                engine,
                attempt,
                refusal,
            } => self.on_refused(&engine, attempt, refusal),
            StageEvent::Lost { engine, attempt } => self.on_lost(&engine, attempt),
            StageEvent::Replaced { stages } => self.on_replaced(stages),
            StageEvent::NoReplacement => self.on_no_replacement(),
        }
    }

    /// The newest attempt.
    #[must_use]
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// The current stages, replacements included.
    #[must_use]
    pub fn stages(&self) -> &[Stage] {
        &self.spec.stages
    }

    /// The stream's id.
    #[must_use]
    pub const fn stream(&self) -> StreamId {
        self.spec.stream
    }

    /// The tokens generated so far.
    #[must_use]
    pub fn generated(&self) -> &[u64] {
        &self.tokens[self.spec.prompt.len()..]
    }

    /// Whether the engines refused every step so far before it ran; never for a resumed
    /// stream.
    #[must_use]
    pub const fn nothing_ran(&self) -> bool {
        self.unrefused_steps == 0 && !self.is_resumed
    }

    /// Whether the stream has finished or been abandoned.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    fn on_opened(
        &mut self,
        engine: &EngineId,
        attempt: Attempt,
        kept: Position,
    ) -> Vec<StreamAction> {
        if attempt != self.attempt {
            return Vec::new();
        }
        let Some(stage) = self.stage_of(engine) else {
            return Vec::new();
        };
        let Phase::Opening {
            kept: kept_by_stage,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        kept_by_stage[stage] = Some(kept);
        self.is_state_confirmed |= stage == 0;
        let all: Option<Vec<Position>> = kept_by_stage.iter().copied().collect();
        let Some(all) = all else {
            return Vec::new();
        };
        self.set_starts(&all);
        let input = self.tokens[self.starts[0] as usize..].to_vec();
        vec![self.send(0, input)]
    }

    fn on_open_refused(
        &mut self,
        engine: &EngineId,
        attempt: Attempt,
        newest: Attempt,
    ) -> Vec<StreamAction> {
        if attempt != self.attempt || !self.is_opening(engine) {
            return Vec::new();
        }
        if newest == 0 {
            return self.abandon(AbandonReason::NotHeld);
        }
        if !self.is_state_confirmed && newest >= attempt {
            return self.reopen_above(newest);
        }
        self.abandon(AbandonReason::TakenOver)
    }

    fn on_done(
        &mut self,
        engine: &EngineId,
        attempt: Attempt,
        output: &[u64],
    ) -> Vec<StreamAction> {
        let Some(stage) = self.stepping_stage(engine, attempt) else {
            return Vec::new();
        };
        let expected = self.tokens.len() - self.starts[stage] as usize;
        if output.len() != expected {
            return self.replace(stage);
        }
        let next = stage + 1;
        if next < self.spec.stages.len() {
            let skip = (self.starts[next] - self.starts[stage]) as usize;
            return vec![self.send(next, output[skip..].to_vec())];
        }
        let Some(token) = output.last().copied() else {
            return self.replace(stage);
        };
        self.on_token(token)
    }

    fn on_token(&mut self, token: u64) -> Vec<StreamAction> {
        let index = self.generated().len();
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        self.tokens.push(token);
        let mut actions = vec![StreamAction::Emit { index, token }];
        let is_last = index + 1 >= self.spec.max_tokens || self.spec.stop_token == Some(token);
        if is_last {
            self.phase = Phase::Ended;
            actions.push(StreamAction::Finish);
            return actions;
        }
        let position = Position::try_from(self.tokens.len() - 1).unwrap_or(Position::MAX);
        self.starts.fill(position);
        actions.push(self.send(0, vec![token]));
        actions
    }

    fn on_refused(
        &mut self,
        engine: &EngineId,
        attempt: Attempt,
        refusal: Refusal,
    ) -> Vec<StreamAction> {
        let Some(stage) = self.stepping_stage(engine, attempt) else {
            return Vec::new();
        };
        self.unrefused_steps -= 1;
        match refusal {
            Refusal::StaleAttempt { .. } => self.abandon(AbandonReason::TakenOver),
            Refusal::Cancelled => self.abandon(AbandonReason::Cancelled),
            Refusal::Leaving | Refusal::Overloaded => self.replace(stage),
            Refusal::Gap { .. } | Refusal::UnopenedAttempt => self.reopen(),
        }
    }

    fn on_lost(&mut self, engine: &EngineId, attempt: Attempt) -> Vec<StreamAction> {
        if attempt != self.attempt {
            return Vec::new();
        }
        let is_awaited = self.stepping_stage(engine, attempt).is_some() || self.is_opening(engine);
        let Some(stage) = self.stage_of(engine).filter(|_| is_awaited) else {
            return Vec::new();
        };
        self.replace(stage)
    }

    fn on_replaced(&mut self, stages: Vec<Stage>) -> Vec<StreamAction> {
        let Phase::Replacing { stage } = self.phase else {
            return Vec::new();
        };
        self.spec.stages.splice(stage..=stage, stages);
        self.starts = vec![0; self.spec.stages.len()];
        self.reopen()
    }

    fn on_no_replacement(&mut self) -> Vec<StreamAction> {
        if !matches!(self.phase, Phase::Replacing { .. }) {
            return Vec::new();
        }
        self.abandon(AbandonReason::NoReplacement)
    }

    fn replace(&mut self, stage: usize) -> Vec<StreamAction> {
        if !self.is_state_confirmed && stage == 0 {
            return self.abandon(AbandonReason::NotHeld);
        }
        self.phase = Phase::Replacing { stage };
        let lost = &self.spec.stages[stage];
        vec![StreamAction::Replace {
            layers: lost.layers,
            lost: lost.engine.clone(),
        }]
    }

    fn reopen_above(&mut self, newest: Attempt) -> Vec<StreamAction> {
        self.attempt = newest;
        self.first_attempt = newest;
        self.reopen()
    }

    fn reopen(&mut self) -> Vec<StreamAction> {
        if self.attempt - self.first_attempt >= MAX_ATTEMPTS_PER_DRIVER {
            return self.abandon(AbandonReason::TooManyAttempts);
        }
        self.attempt += 1;
        self.open_all()
    }

    fn open_all(&mut self) -> Vec<StreamAction> {
        let keep = if self.is_resumed {
            Position::MAX
        } else {
            Position::try_from(self.tokens.len()).unwrap_or(Position::MAX)
        };
        self.phase = Phase::Opening {
            kept: vec![None; self.spec.stages.len()],
        };
        let stages = self.spec.stages.iter().enumerate();
        stages
            .map(|(index, stage)| StreamAction::Open {
                engine: stage.engine.clone(),
                request: AttemptRequest {
                    stream: self.spec.stream,
                    attempt: self.attempt,
                    keep,
                    must_exist: !self.is_state_confirmed && index == 0,
                },
            })
            .collect()
    }

    /// Starts each stage at the first position that it or a later stage lacks; the newest
    /// position always runs through all stages.
    fn set_starts(&mut self, kept: &[Position]) {
        let newest = self.tokens.len() - 1;
        let mut start = Position::try_from(newest).unwrap_or(Position::MAX);
        for (stage, stage_kept) in kept.iter().enumerate().rev() {
            start = start.min(*stage_kept);
            self.starts[stage] = start;
        }
    }

    fn send(&mut self, stage: usize, input: Vec<u64>) -> StreamAction {
        self.phase = Phase::Stepping { stage };
        self.unrefused_steps += 1;
        StreamAction::Send {
            engine: self.spec.stages[stage].engine.clone(),
            step: Step {
                stream: self.spec.stream,
                attempt: self.attempt,
                position: self.starts[stage],
                input,
                priority: self.spec.priority,
            },
        }
    }

    fn abandon(&mut self, reason: AbandonReason) -> Vec<StreamAction> {
        self.phase = Phase::Ended;
        vec![StreamAction::Abandon { reason }]
    }

    fn stage_of(&self, engine: &EngineId) -> Option<usize> {
        self.spec
            .stages
            .iter()
            .position(|stage| stage.engine == *engine)
    }

    fn stepping_stage(&self, engine: &EngineId, attempt: Attempt) -> Option<usize> {
        let Phase::Stepping { stage } = self.phase else {
            return None;
        };
        let is_awaited = attempt == self.attempt && self.spec.stages[stage].engine == *engine;
        is_awaited.then_some(stage)
    }

    fn is_opening(&self, engine: &EngineId) -> bool {
        let Phase::Opening { kept } = &self.phase else {
            return false;
        };
        self.stage_of(engine)
            .is_some_and(|stage| kept[stage].is_none())
    }
}
