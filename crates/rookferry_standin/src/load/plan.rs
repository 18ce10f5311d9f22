//! What to send, from whom, and which faults to order meanwhile.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Arrivals;

/// A load, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Entry instances, taken in turn as a balancer would.
    pub targets: Vec<SocketAddr>,
    /// Seed of all that is drawn.
    #[serde(default)]
    pub seed: u64,
    /// How long requests are sent.
    pub duration_ms: u64,
    /// Mean rate.
    pub rate_per_s: f64,
    /// Shape of the rate.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Client accounts.
    pub accounts: Vec<LoadAccount>,
    /// Kinds of requests.
    pub mix: Mix,
    /// The model.
    pub model: String,
    /// Its layers, for the reference.
    pub layers: u16,
    /// Least and most tokens of a prompt.
    pub prompt_tokens: (usize, usize),
    /// Least and most tokens of an answer.
    pub answer_tokens: (u32, u32),
    /// How many prefixes prompts share.
    #[serde(default = "default_prefixes")]
    pub prefixes: u64,
    /// The plain service that lookups go to.
    #[serde(default)]
    pub service: String,
    /// Requests under way at most; further ones count as not sent.
    #[serde(default = "default_in_flight")]
    pub max_in_flight: usize,
    /// How long a caller waits for an answer.
    #[serde(default = "default_patience_ms")]
    pub patience_ms: u64,
    /// Faults to order.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// A client account of the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadAccount {
    /// Its name, for the report.
    pub name: String,
    /// Its bearer key.
    pub key: String,
    /// Its share of the requests, relative to the others'.
    pub share: f64,
}

/// Kinds of requests, relative to each other.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mix {
    /// Model calls answered whole.
    pub whole: f64,
    /// Model calls answered token by token.
    pub streamed: f64,
    /// Model calls that may run once.
    pub once: f64,
    /// Calls of a plain service that may be repeated.
    pub lookup: f64,
    /// Calls of a plain service that may not.
    pub submit: f64,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Model call answered whole.
    Whole,
    /// Model call answered token by token.
    Streamed,
    /// Model call that may run once.
    Once,
    /// Call of a plain service that may be repeated.
    Lookup,
    /// Call of a plain service that may not.
    Submit,
}

/// A fault to order from a stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// When, from the start.
    pub at_ms: u64,
    /// The stand-in.
    pub addr: SocketAddr,
    /// The fault, see `Fault`.
    pub fault: serde_json::Value,
}

impl Mix {
    /// The kind at a point between 0 and 1.
    #[must_use]
    pub fn kind_at(&self, point: f64) -> CallKind {
        let weights = [
            (CallKind::Whole, self.whole),
            (CallKind::Streamed, self.streamed),
            (CallKind::Once, self.once),
            (CallKind::Lookup, self.lookup),
            (CallKind::Submit, self.submit),
        ];
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut left = point * total;
        for (kind, weight) in weights {
            left -= weight;
            if left < 0.0 {
                return kind;
            }
        }
        CallKind::Whole
    }
}

const fn default_prefixes() -> u64 {
    16
}

const fn default_in_flight() -> usize {
    4_096
}

const fn default_patience_ms() -> u64 {
    30_000
}
