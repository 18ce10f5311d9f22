//! JSON messages of the engine protocol: steps of streams through layer ranges,
//! attempts, KV pages, load reports, cache events and fenced orders.
//!
//! A step names its stream, attempt and position. An engine runs a step only at the
//! next position of the newest attempt it has seen. For a repeated position it returns
//! the recorded output; older attempts and gaps in the positions are refused.

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

/// A half-open range of model layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer.
    pub start: u16,
    /// Index after the last layer.
    pub end: u16,
}

impl LayerRange {
    /// Number of layers in the range.
    #[must_use]
    pub const fn len(self) -> u16 {
        self.end.saturating_sub(self.start)
    }

    /// Whether the range contains `layer`.
    #[must_use]
    pub const fn contains(self, layer: u16) -> bool {
        self.start <= layer && layer < self.end
    }

    /// Whether the range contains all layers of `other`.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }

    /// Whether the range contains no layer.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.end <= self.start
    }
}

/// An engine's description of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineInfo {
    /// Name of the engine.
    pub engine: EngineId,
    /// Current incarnation of the engine.
    pub incarnation: Incarnation,
    /// Name of the loaded model.
    pub model: ModelId,
    /// Version of the loaded model.
    pub model_version: String,
    /// Layers that the engine serves.
    pub layers: LayerRange,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Labels of the engine.
    pub labels: Labels,
    /// Maximum number of streams in one batched step.
    pub batch_slots: u32,
    /// Whether the engine rejects orders with an outdated fence.
    pub checks_fences: bool,
    /// Whether the engine has announced that it is leaving.
    pub leaving: bool,
}

/// One step of a stream through the engine's layers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The stream.
    pub stream: StreamId,
    /// The attempt that the step belongs to.
    pub attempt: Attempt,
    /// Position of the first input.
    pub position: Position,
    /// One activation per position; token ids if the engine has the first layer.
    pub input: Vec<u64>,
    /// Scheduling priority; higher values run first.
    pub priority: u8,
}

/// Steps of many streams in one message.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StepBatch {
    /// Steps to run, of any streams.
    pub steps: Vec<Step>,
}

/// Response to a [`StepBatch`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StepBatchResponse {
    /// One result per step, in the order of the batch.
    pub results: Vec<StepResult>,
}

/// Result of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum StepResult {
    /// The step ran now or earlier; carries the outputs of the requested positions.
    Done {
        /// One activation per position; token ids if the engine has the last layer.
        output: Vec<u64>,
    },
    /// The step did not run.
    Refused {
        /// Reason for the refusal.
        refusal: Refusal,
    },
}

/// Reason why an engine refused a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Refusal {
    /// The engine has seen a newer attempt.
    StaleAttempt {
        /// The newest attempt seen.
        newest: Attempt,
    },
    /// The step is not at the next position; earlier positions are missing.
    Gap {
        /// The position that the engine expects next.
        next: Position,
    },
    /// The engine is leaving and accepts no new streams.
    Leaving,
    /// The engine's queue is full.
    Overloaded,
    /// The stream was cancelled.
    Cancelled,
    /// The step's attempt is newer than the open one and must be opened first.
    UnopenedAttempt,
}

/// Opens an attempt on a stage that may already have cached positions of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// The stream.
    pub stream: StreamId,
    /// The new attempt.
    pub attempt: Attempt,
    /// Maximum number of cached positions to keep.
    pub keep: Position,
    /// Whether to refuse, instead of starting an empty stream, if the stream is unknown.
    pub must_exist: bool,
}

/// Response to an [`AttemptRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum AttemptResponse {
    /// The attempt is open.
    Opened {
        /// Number of positions that the stage has cached.
        kept: Position,
    },
    /// A newer attempt exists, or the stream is unknown.
    Refused {
        /// The newest attempt seen; 0 if the stream is unknown.
        newest: Attempt,
    },
}

/// Cancels a stream and frees its KV cache.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The stream.
    pub stream: StreamId,
    /// The attempt that cancels it.
    pub attempt: Attempt,
}

/// Exported KV cache of one stream on one stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvPages {
    /// The stream.
    pub stream: StreamId,
    /// The attempt that the cache was exported under.
    pub attempt: Attempt,
    /// The layers that the cache covers.
    pub layers: LayerRange,
    /// For each position, one value per layer.
    pub positions: Vec<Vec<u64>>,
}

/// An engine's load at an earlier moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Number of queued and running steps.
    pub queued_steps: u32,
    /// Number of streams on the engine.
    pub streams: u32,
    /// Mean step time over the report's window, in microseconds.
    pub step_us: u64,
}

/// A change of the prefix cache; events are delayed and some may be missing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a jump shows that events are missing.
    pub seq: u64,
    /// Hash of the cached prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache events from a requested sequence number on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in the order of their sequence numbers.
    pub events: Vec<CacheEvent>,
    /// Sequence number to request next.
    pub next: u64,
}

/// An action that the controller orders an engine to take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Load layers of a model version.
    Load {
        /// Name of the model.
        model: ModelId,
        /// Version of the model.
        version: String,
        /// Layers to load.
        layers: LayerRange,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the engine's role.
    SetRole {
        /// The new role.
        role: String,
    },
}

/// An order with the fence that protects against outdated lease holders.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fence of the lease under which the order was issued.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// Response to an [`OrderRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OrderResponse {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a higher fence.
    Fenced {
        /// The highest fence seen.
        highest: u64,
    },
}

/// An entry instance's view of an engine, sent to the controller next to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetEngine {
    /// The engine's description of itself.
    pub info: EngineInfo,
    /// Address on which the engine listens.
    pub addr: SocketAddr,
    /// Failure domain of the engine.
    pub failure_domain: DomainId,
    /// Whether the engine is currently not responding.
    pub is_lost: bool,
    /// Estimated number of streams on the engine, over all instances.
    pub streams: u32,
}
