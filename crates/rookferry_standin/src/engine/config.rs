//! Configuration of a model engine.

use std::net::SocketAddr;

use rookferry_wire::EngineId;
use rookferry_wire::Labels;
use rookferry_wire::LayerRange;
use serde::Deserialize;
use serde::Serialize;

/// One model engine. Its steps and link are simulated by delays.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Engine name.
    pub engine: EngineId,
    /// Listen address; any free port of the loopback interface by default.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Labels that pool selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Name of the model.
    pub model: String,
    /// Number of layers of the whole model.
    pub model_layers: u16,
    /// Layers that this engine runs.
    pub layers: LayerRange,
    /// Maximum number of streams in one batch.
    pub batch_slots: u32,
    /// Duration of a batch.
    pub step_us: u64,
    /// Additional time for each position beyond the first of each stream.
    pub position_us: u64,
    /// One-way delay of the network link.
    pub link_us: u64,
    /// Maximum number of queued steps; further ones are refused as overloaded.
    pub queue_limit: usize,
    /// Age at which load reports and cache events become visible.
    pub report_lag_ms: u64,
    /// Whether it rejects orders with a fence below the highest one seen.
    pub checks_fences: bool,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
