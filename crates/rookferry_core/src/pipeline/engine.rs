//! An engine as path search sees it.

use std::net::SocketAddr;

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;

use crate::serving::ServerKey;

/// An engine that may be a stage.
#[derive(Clone, Debug)]
pub struct PipelineEngine {
    /// Its name.
    pub engine: EngineId,
    /// This start of it, and where it listens.
    pub server: ServerKey,
    /// Its failure domain.
    pub domain: DomainId,
    /// The layers it holds, ready to run.
    pub held: LayerRange,
    /// Expected time of one step through one layer.
    pub layer_step_ms: f64,
    /// Tokens that fit in its cache.
    pub cache_tokens: f64,
    /// Tokens of the requests under way on it, as far as known.
    pub used_tokens: f64,
    /// Whether it refused work lately though it had room.
    pub is_closed: bool,
}

impl PipelineEngine {
    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Whether it holds all of a range.
    #[must_use]
    pub const fn holds(&self, layers: LayerRange) -> bool {
        self.held.covers(layers)
    }

    /// The part of its room that another request's tokens would go beyond it;
    /// 0 or less if they fit.
    #[must_use]
    pub fn overfill(&self, tokens: f64) -> f64 {
        if self.cache_tokens <= 0.0 {
            return 1.0;
        }
        ((self.used_tokens + tokens) / self.cache_tokens - 1.0).min(1.0)
    }
}
