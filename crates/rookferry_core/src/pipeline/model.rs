//! Published figures of a model and of the accelerators that run it.

use serde::Deserialize;
use serde::Serialize;

/// Bytes in the megabyte that memory figures are published in.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorKind {
    /// Its name.
    pub name: String,
    /// Memory for layers and requests.
    pub memory_mb: f64,
    /// How many times as long as the model's base figure a step takes.
    pub step_factor: f64,
    /// The same for reading prompts.
    pub read_factor: f64,
}

/// What a model needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelShape {
    /// Number of layers.
    pub layers: u16,
    /// Memory of one layer.
    pub layer_mb: f64,
    /// Cache memory of one token over all layers, in bytes.
    pub cache_bytes_per_token: f64,
    /// Base time of a step through all layers.
    pub step_ms: f64,
    /// Prompt tokens read in a millisecond, before the kind's factor.
    pub read_tokens_per_ms: f64,
    /// Mean tokens of a request, prompt and answer.
    pub usual_tokens: f64,
    /// The kinds that run it.
    pub kinds: Vec<AcceleratorKind>,
}

impl ModelShape {
    /// The kind of a name.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Tokens that fit beside `held` layers on a kind.
    #[must_use]
    pub fn cache_tokens(&self, kind: &AcceleratorKind, held: u16) -> f64 {
        if held == 0 {
            return 0.0;
        }
        let left_mb = kind.memory_mb - f64::from(held) * self.layer_mb;
        let token_bytes =
            self.cache_bytes_per_token / f64::from(self.layers.max(1)) * f64::from(held);
        (left_mb * BYTES_PER_MB / token_bytes).max(0.0)
    }

    /// The most layers that fit on a kind beside a number of cached tokens.
    #[must_use]
    pub fn layers_beside(&self, kind: &AcceleratorKind, tokens: f64) -> u16 {
        let fits = |held: &u16| {
            f64::from(*held) * self.layer_mb <= kind.memory_mb
                && self.cache_tokens(kind, *held) >= tokens
        };
        (1..=self.layers).rev().find(fits).unwrap_or(0)
    }

    /// Time of one step through one layer on a kind; the slowest known kind
    /// stands in for one that isn't known.
    #[must_use]
    pub fn layer_step_ms(&self, kind: Option<&AcceleratorKind>) -> f64 {
        let slowest = || {
            let factors = self.kinds.iter().map(|kind| kind.step_factor);
            factors.fold(1.0, f64::max)
        };
        let factor = kind.map_or_else(slowest, |kind| kind.step_factor);
        self.step_ms * factor / f64::from(self.layers.max(1))
    }
}
