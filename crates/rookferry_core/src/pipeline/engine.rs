//! Path search input: what is known of one engine.

use std::net::SocketAddr;

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;

use crate::serving::ServerKey;

/// An engine that may be a stage of a path.
#[derive(Clone, Debug)]
pub struct PipelineEngine {
    /// The engine's name.
    pub engine: EngineId,
    /// The engine's process (incarnation) and its address.
    pub server: ServerKey,
    /// The engine's failure domain.
    pub domain: DomainId,
    /// The layers that are loaded and ready to run.
    pub held: LayerRange,
    /// Expected time of one step through one layer, in milliseconds.
    pub layer_step_ms: f64,
    /// Cache capacity, in tokens.
    pub cache_tokens: f64,
    /// Tokens of the requests in flight on it, as far as known.
    pub used_tokens: f64,
    /// Whether it is expected to refuse new work, as it lately did despite free cache.
    pub is_refusing: bool,
}

impl PipelineEngine {
    /// The address that the engine listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Whether it holds every layer of a range.
    #[must_use]
    pub const fn holds(&self, layers: LayerRange) -> bool {
        self.held.covers(layers)
    }

    /// Fraction of the cache capacity by which it would be exceeded with `tokens`
    /// more; 0 or less if they fit, 1 at most and for an engine without cache.
    #[must_use]
    pub fn overfill(&self, tokens: f64) -> f64 {
        if self.cache_tokens <= 0.0 {
            return 1.0;
        }
        ((self.used_tokens + tokens) / self.cache_tokens - 1.0).min(1.0)
    }
}
