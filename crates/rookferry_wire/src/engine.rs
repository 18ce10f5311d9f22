//! The engine protocol: steps of streams through layer ranges, attempts, KV
//! pages, load reports, cache events and fenced orders.
//!
//! A step names stream, attempt and position. An engine takes only the next
//! position of the newest attempt it has seen; it gives the recorded output
//! for a repeated position and refuses older attempts and gaps.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Attempt;
use crate::DomainId;
use crate::EngineId;
use crate::Incarnation;
use crate::Labels;
use crate::ModelId;
use crate::Position;
use crate::StreamId;

/// A half-open range of a model's layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer.
    pub start: u16,
    /// One past the last layer.
    pub end: u16,
}

impl LayerRange {
    /// Number of layers in the range.
    #[must_use]
    pub const fn len(self) -> u16 {
        self.end.saturating_sub(self.start)
    }

    /// Whether a layer is in the range.
    #[must_use]
    pub const fn contains(self, layer: u16) -> bool {
        self.start <= layer && layer < self.end
    }

    /// Whether all of another range is in this one.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }

    /// Whether the range holds no layer.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.end <= self.start
    }
}

/// What an engine says about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineInfo {
    /// Its name.
    pub engine: EngineId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// The model it has loaded.
    pub model: ModelId,
    /// The loaded version of the model.
    pub model_version: String,
    /// The layers it holds.
    pub layers: LayerRange,
    /// Its accelerator's kind.
    pub accelerator: String,
    /// Its labels.
    pub labels: Labels,
    /// How many streams it runs in one step.
    pub batch_slots: u32,
    /// Whether it compares fences on orders.
    pub checks_fences: bool,
    /// Whether it has said that it leaves.
    pub leaving: bool,
}

/// One step of one stream through the engine's layers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The stream.
    pub stream: StreamId,
    /// The attempt that sends it.
    pub attempt: Attempt,
    /// Position of the first input.
    pub position: Position,
    /// One activation a position; token ids before the first layer.
    pub input: Vec<u64>,
    /// Higher goes first.
    pub priority: u8,
}

/// Steps of many streams in one message.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StepBatch {
    /// The steps.
    pub steps: Vec<Step>,
}

/// Results in the order of the batch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StepBatchAnswer {
    /// One result a step.
    pub results: Vec<StepResult>,
}

/// What became of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum StepResult {
    /// It ran now or had run; here are the outputs of the positions asked for.
    Done {
        /// One activation a position; token ids after the last layer.
        output: Vec<u64>,
    },
    /// It did not run.
    Refused {
        /// Why.
        refusal: Refusal,
    },
}

/// Why an engine didn't run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Refusal {
    /// A newer attempt has been seen.
    StaleAttempt {
        /// The newest one.
        newest: Attempt,
    },
    /// Positions before this one are missing.
    Gap {
        /// The position the engine would take.
        next: Position,
    },
    /// The engine takes no new streams.
    Leaving,
    /// Its waiting room is full.
    Overloaded,
    /// The stream was cancelled.
    Cancelled,
    /// A later attempt must be opened before steps of it are sent.
    UnopenedAttempt,
}

/// Opens an attempt on a stage that may already hold the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// The stream.
    pub stream: StreamId,
    /// The new attempt.
    pub attempt: Attempt,
    /// How many positions to keep at most.
    pub keep: Position,
    /// Refuse rather than start anew if the stream isn't held.
    pub must_exist: bool,
}

/// The engine's answer to [`AttemptRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum AttemptAnswer {
    /// The attempt is open.
    Opened {
        /// Positions that the stage holds.
        kept: Position,
    },
    /// A newer attempt, or no such stream.
    Refused {
        /// The newest attempt seen, 0 if the stream isn't held.
        newest: Attempt,
    },
}

/// Ends a stream and frees its KV.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The stream.
    pub stream: StreamId,
    /// The attempt that ends it.
    pub attempt: Attempt,
}

/// KV cache of one stream on one stage, as exported.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvPages {
    /// The stream.
    pub stream: StreamId,
    /// The attempt it was exported under.
    pub attempt: Attempt,
    /// The layers.
    pub layers: LayerRange,
    /// Per position, one value a layer.
    pub positions: Vec<Vec<u64>>,
}

/// Load as the engine saw it some time ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Age of the report when it was sent.
    pub age_ms: u64,
    /// Steps waiting or running.
    pub queued_steps: u32,
    /// Streams held.
    pub streams: u32,
    /// Mean time of a step in the report's window.
    pub step_us: u64,
}

/// A change of the prefix cache; published late and with gaps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a jump tells of a gap.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Stored, or evicted.
    pub stored: bool,
}

/// Cache events since a sequence number.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events.
    pub events: Vec<CacheEvent>,
    /// Where to ask from next.
    pub next: u64,
}

/// What an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Load a model's version, or a range of its layers.
    Load {
        /// The model.
        model: ModelId,
        /// The version.
        version: String,
        /// The layers.
        layers: LayerRange,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change the engine's role.
    SetRole {
        /// The role.
        role: String,
    },
}

/// A fenced order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fence of the lease it is given under.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OrderAnswer {
    /// Accepted.
    Accepted,
    /// A higher fence has been seen.
    Fenced {
        /// The highest.
        highest: u64,
    },
}

/// An engine as an entry instance sees it, for the controller beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetEngine {
    /// What it says about itself.
    pub info: EngineInfo,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Whether it answers.
    pub is_lost: bool,
    /// Streams of all instances on it, as estimated.
    pub streams: u32,
}
