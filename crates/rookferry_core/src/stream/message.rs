//! Input events and output actions of a stream's driver.

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
    /// Engine that runs the stage.
    pub engine: EngineId,
    /// Layers of the stage.
    pub layers: LayerRange,
}

/// Input of a stream.
#[derive(Clone, Debug)]
pub struct StreamSpec {
    /// Id of the stream.
    pub stream: StreamId,
    /// Stages in order of layers, without gap or overlap.
    pub stages: Vec<Stage>,
    /// The prompt's tokens, at least one.
    pub prompt: Vec<u64>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The token that ends the answer early.
    pub stop_token: Option<u64>,
    /// Priority of its steps on the engines; higher runs first.
    pub priority: u8,
}

/// An action that the caller of the driver must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamAction {
    /// Open an attempt on an engine.
    Open {
        /// Receiver of the request.
        engine: EngineId,
        /// The request.
        request: AttemptRequest,
    },
    /// Send a step to an engine.
    Send {
        /// Receiver of the step.
        engine: EngineId,
        /// The step.
        step: Step,
    },
    /// Send a generated token to the client.
    Emit {
        /// Index of the token in the answer, from 0.
        index: u32,
        /// The token.
        token: u64,
    },
    /// Find other engines for a stage's layers.
    Replace {
        /// Layers to cover.
        layers: LayerRange,
        /// The engine that no longer serves them.
        lost: EngineId,
    },
    /// The answer is complete.
    Finish,
    /// The stream can't continue.
    Abandon {
        /// Reason of the failure.
        reason: AbandonReason,
    },
}

/// Why a stream can't continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// Another driver has opened a newer attempt.
    TakenOver,
    /// No other engines are available for a stage's layers.
    NoReplacement,
    /// The first stage of a resumed stream doesn't hold it, or can't be reached.
    NotHeld,
    /// The stream was cancelled on an engine.
    Cancelled,
    /// The limit of attempts was reached; each lost stage costs one.
    TooManyAttempts,
}

/// An event that the caller of the driver reports.
#[derive(Clone, Debug)]
pub enum StageEvent {
    /// An engine opened an attempt.
    Opened {
        /// Engine that answered.
        engine: EngineId,
        /// The opened attempt.
        attempt: Attempt,
        /// Number of positions that it holds.
        kept: Position,
    },
    /// An engine refused to open an attempt.
    OpenRefused {
        /// Engine that answered.
        engine: EngineId,
        /// The refused attempt.
        attempt: Attempt,
        /// Newest attempt on the engine; 0 if it doesn't hold the stream.
        newest: Attempt,
    },
    /// An engine returned the output of a step.
    Done {
        /// Engine that answered.
        engine: EngineId,
        /// Attempt of the step.
        attempt: Attempt,
        /// One output per position.
        output: Vec<u64>,
    },
    /// An engine refused a step and did not run it.
    Refused {
        /// Engine that answered.
        engine: EngineId,
        /// Attempt of the step.
        attempt: Attempt,
        /// Reason of the refusal.
        refusal: Refusal,
    },
    /// An engine doesn't answer.
    Lost {
        /// The lost engine.
        engine: EngineId,
        /// Attempt of the request that got no answer.
        attempt: Attempt,
    },
    /// Other engines were found for the layers of a [`StreamAction::Replace`].
    Replaced {
        /// Stages that cover the same layers.
        stages: Vec<Stage>,
    },
    /// No other engines were found.
    NoReplacement,
}
