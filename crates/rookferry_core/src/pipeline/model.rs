//! Published performance figures of a model and of the accelerators that run it.
//!
//! They are part of the serving configuration. Path search and layout planning
//! derive cache capacities and step times from them.

use serde::Deserialize;
use serde::Serialize;

/// Bytes per megabyte; memory figures are published in decimal megabytes.
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Bits per millisecond that one megabit per second carries.
const BITS_PER_MS_PER_MBPS: f64 = 1_000.0;
/// Token pairs per million; the quadratic prefill cost is published per million.
const PAIRS_PER_M: f64 = 1_000_000.0;
/// Tolerance for rounding errors in a quotient that counts layers.
const ROUNDING_TOLERANCE_LAYERS: f64 = 1e-9;

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorKind {
    /// Name, as engines report it.
    pub name: String,
    /// Memory for layers and request caches, in megabytes.
    pub memory_mb: f64,
    /// Step time relative to the model's base figure.
    pub step_factor: f64,
    /// Prefill time (reading the prompt) relative to the model's base figure.
    pub read_factor: f64,
}

/// Size and performance figures of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelShape {
    /// Number of layers.
    pub layers: u16,
    /// Memory of one layer, in megabytes.
    pub layer_mb: f64,
    /// Cache memory of one token over all layers, in bytes.
    pub cache_bytes_per_token: f64,
    /// Base time of a step through all layers, in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each decoding request adds to a step.
    pub step_ms_per_request: f64,
    /// Milliseconds that each 1,000 context tokens of a decoding request add to a step.
    pub step_ms_per_context_k: f64,
    /// Maximum number of requests that an engine runs concurrently.
    pub max_requests: f64,
    /// Steps that an engine runs in one pass; each stream gets as many tokens.
    pub steps_per_pass: f64,
    /// Prompt tokens read per millisecond, before the kind's factor.
    pub read_tokens_per_ms: f64,
    /// Milliseconds that a million pairs of a prompt token and an earlier one add
    /// to prefill.
    pub read_ms_per_m_pairs: f64,
    /// Mean prompt length, in tokens.
    pub usual_prompt_tokens: f64,
    /// Mean answer length, in tokens.
    pub usual_answer_tokens: f64,
    /// Size of one token's activations between two stages, in bytes; 0 if it
    /// isn't published.
    pub activation_bytes: f64,
    /// Capacity of the link that all failure domains share, in megabits per
    /// second; 0 if it isn't published.
    pub link_mbps: f64,
    /// The accelerator kinds that run the model.
    pub kinds: Vec<AcceleratorKind>,
}

impl ModelShape {
    /// The accelerator kind with a name; `None` if the model lists none.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Cache capacity of a kind that holds `held` layers, in tokens; 0 without layers.
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

    /// Mean tokens of a request, prompt and answer together.
    #[must_use]
    pub const fn mean_request_tokens(&self) -> f64 {
        self.usual_prompt_tokens + self.usual_answer_tokens
    }

    /// Maximum number of layers that fit on a kind beside the cache of some tokens;
    /// 0 if a figure is missing or out of range.
    #[must_use]
    pub fn max_layers_beside(&self, kind: &AcceleratorKind, tokens: f64) -> u16 {
        let cache_mb_per_layer =
            tokens * self.cache_bytes_per_token / f64::from(self.layers.max(1)) / BYTES_PER_MB;
        let mb_per_layer = self.layer_mb + cache_mb_per_layer;
        if !is_positive(mb_per_layer) || !is_positive(kind.memory_mb) {
            return 0;
        }
        floor_layers(kind.memory_mb / mb_per_layer + ROUNDING_TOLERANCE_LAYERS).min(self.layers)
    }

    /// Milliseconds of one step through one layer on a kind; those of the slowest
    /// listed kind if it is `None`.
    #[must_use]
    pub fn layer_step_ms(&self, kind: Option<&AcceleratorKind>) -> f64 {
        let slowest = || {
            let factors = self.kinds.iter().map(|kind| kind.step_factor);
            factors.fold(1.0, f64::max)
        };
        let factor = kind.map_or_else(slowest, |kind| kind.step_factor);
        self.step_ms * factor / f64::from(self.layers.max(1))
    }

    /// Milliseconds of prefill of a prompt through one layer on a kind.
    #[must_use]
    pub fn layer_read_ms(&self, kind: &AcceleratorKind, prompt_tokens: f64) -> f64 {
        let pairs_m = prompt_tokens * prompt_tokens / 2.0 / PAIRS_PER_M;
        let linear_ms = prompt_tokens / self.read_tokens_per_ms;
        let read_ms = linear_ms + pairs_m * self.read_ms_per_m_pairs;
        read_ms * kind.read_factor / f64::from(self.layers.max(1))
    }

    /// Milliseconds for which the activations of some tokens occupy the link between
    /// failure domains; 0 if its figures aren't published.
    #[must_use]
    pub fn link_transfer_ms(&self, tokens: f64) -> f64 {
        let bits_per_ms = self.link_mbps * BITS_PER_MS_PER_MBPS;
        if !is_positive(bits_per_ms) || !is_positive(self.activation_bytes) {
            return 0.0;
        }
        tokens * self.activation_bytes * 8.0 / bits_per_ms
    }

    /// Whether planning can use a kind: the figures it depends on are positive and
    /// finite, and at least one layer fits in memory.
    #[must_use]
    pub fn has_valid_figures(&self, kind: &AcceleratorKind) -> bool {
        let figures = [
            kind.memory_mb,
            kind.step_factor,
            kind.read_factor,
            self.step_ms,
            self.read_tokens_per_ms,
            self.layer_mb,
        ];
        figures.into_iter().all(is_positive) && kind.memory_mb >= self.layer_mb
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates, and layers aren't below 0"
)]
const fn floor_layers(layers: f64) -> u16 {
    layers as u16
}
