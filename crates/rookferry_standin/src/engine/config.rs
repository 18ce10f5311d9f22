//! What an engine is like.

use std::net::SocketAddr;

use rookferry_wire::EngineId;
use rookferry_wire::Labels;
use rookferry_wire::LayerRange;
use serde::Deserialize;
use serde::Serialize;

/// One engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Its name.
    pub engine: EngineId,
    /// Where it listens.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its accelerator's kind.
    pub accelerator: String,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
    /// The model.
    pub model: String,
    /// The model's number of layers.
    pub model_layers: u16,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// Streams in one step.
    pub batch_slots: u32,
    /// Time of a step.
    pub step_us: u64,
    /// Further time for each position beyond one a stream.
    pub position_us: u64,
    /// Delay of its link, one way.
    pub link_us: u64,
    /// Steps that may wait.
    pub queue_limit: usize,
    /// How late its load reports and cache events are.
    pub report_lag_ms: u64,
    /// Whether it compares fences.
    pub checks_fences: bool,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
