//! What a stream's driver asks for and is told.

use rookferry_wire::Attempt;
use rookferry_wire::AttemptRequest;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;
use rookferry_wire::Position;
use rookferry_wire::Refusal;
use rookferry_wire::Step;
use rookferry_wire::StreamId;

/// One stage of a stream's pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// The engine.
    pub engine: EngineId,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// What a stream is to do.
#[derive(Clone, Debug)]
pub struct StreamSpec {
    /// Its id.
    pub stream: StreamId,
    /// Its stages in order of layers, without gap or overlap.
    pub stages: Vec<Stage>,
    /// The prompt's tokens, at least one.
    pub prompt: Vec<u64>,
    /// How many tokens to generate at most.
    pub max_tokens: u32,
    /// The token that ends the answer early.
    pub stop_token: Option<u64>,
    /// Higher goes first on the engines.
    pub priority: u8,
}

/// What the driver asks of its surroundings.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamAction {
    /// Open an attempt.
    Open {
        /// On this engine.
        engine: EngineId,
        /// The request.
        request: AttemptRequest,
    },
    /// Send a step.
    Send {
        /// To this engine.
        engine: EngineId,
        /// The step.
        step: Step,
    },
    /// Show a token to the caller.
    Emit {
        /// Its index in the answer.
        index: u32,
        /// The token.
        token: u64,
    },
    /// Find other engines for a stage's layers.
    Replace {
        /// The layers.
        layers: LayerRange,
        /// The engine that doesn't serve them any more.
        lost: EngineId,
    },
    /// The answer is whole.
    Finish,
    /// The stream can't go on.
    Abandon {
        /// Why.
        reason: AbandonReason,
    },
}

/// Why a stream can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// Another driver has opened a newer attempt.
    TakenOver,
    /// No engines are left for a stage.
    NoReplacement,
    /// A stage that had to hold the stream doesn't.
    NotHeld,
    /// It was cancelled on an engine.
    Cancelled,
    /// Too many stages were lost.
    TooManyAttempts,
}

/// What the driver is told.
#[derive(Clone, Debug)]
pub enum StageEvent {
    /// An attempt is open.
    Opened {
        /// On this engine.
        engine: EngineId,
        /// The attempt.
        attempt: Attempt,
        /// Positions held there.
        kept: Position,
    },
    /// An attempt was refused.
    OpenRefused {
        /// By this engine.
        engine: EngineId,
        /// The attempt.
        attempt: Attempt,
        /// The newest attempt there; 0 if the stream isn't held.
        newest: Attempt,
    },
    /// A step is done.
    Done {
        /// By this engine.
        engine: EngineId,
        /// For this attempt.
        attempt: Attempt,
        /// One output a position.
        output: Vec<u64>,
    },
    /// A step was refused and did not run.
    Refused {
        /// By this engine.
        engine: EngineId,
        /// For this attempt.
        attempt: Attempt,
        /// Why.
        refusal: Refusal,
    },
    /// An engine doesn't answer.
    Lost {
        /// The engine.
        engine: EngineId,
        /// The attempt in which it was asked.
        attempt: Attempt,
    },
    /// Other engines for the layers asked for.
    Replaced {
        /// They cover the same layers.
        stages: Vec<Stage>,
    },
    /// There are no other engines.
    NoReplacement,
}
