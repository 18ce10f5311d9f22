//! Load plan: targets, request rate and mix, client accounts and faults to inject.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Arrivals;

/// A load plan; read from JSON by `rookferry-load`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Entry instances; requests go to them round-robin, as from a load balancer.
    pub targets: Vec<SocketAddr>,
    /// Seed of all random choices.
    #[serde(default)]
    pub seed: u64,
    /// Time during which requests are sent.
    pub duration_ms: u64,
    /// Mean request rate.
    pub rate_per_s: f64,
    /// Arrival process.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Client accounts that send the requests.
    pub accounts: Vec<LoadAccount>,
    /// Shares of the kinds of requests.
    pub mix: Mix,
    /// Name of the model.
    pub model: String,
    /// Number of layers of the model, to compute the reference answer.
    pub layers: u16,
    /// Minimum and maximum length of a prompt, which is never shorter than its prefix and
    /// serial number.
    pub prompt_tokens: (usize, usize),
    /// Minimum and maximum `max_tokens`.
    pub answer_tokens: (u32, u32),
    /// Number of distinct prompt prefixes.
    #[serde(default = "default_prefixes")]
    pub prefixes: u64,
    /// Plain service that `lookup` and `submit` requests go to.
    #[serde(default)]
    pub service: String,
    /// Maximum number of concurrent requests; further ones aren't sent but counted.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: usize,
    /// Timeout of each try of a request.
    #[serde(default = "default_patience_ms")]
    pub patience_ms: u64,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// A client account that sends requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadAccount {
    /// Name in the report.
    pub name: String,
    /// Bearer key.
    pub key: String,
    /// Share of the requests, relative to the other accounts.
    pub share: f64,
}

/// Shares of the kinds of requests, relative to each other.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mix {
    /// Model calls with a single response.
    pub whole: f64,
    /// Model calls with a streamed response.
    pub streamed: f64,
    /// Model calls with an idempotency key that must run at most once.
    pub once: f64,
    /// Calls of a plain service that may be retried (`GET`).
    pub lookup: f64,
    /// Calls of a plain service that must run at most once (`POST`).
    pub submit: f64,
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Model call with a single response.
    Whole,
    /// Model call with a streamed response.
    Streamed,
    /// Model call with an idempotency key that must run at most once.
    Once,
    /// Call of a plain service that may be retried (`GET`).
    Lookup,
    /// Call of a plain service that must run at most once (`POST`).
    Submit,
}

/// A fault to inject into a stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Time from the start of the load.
    pub at_ms: u64,
    /// Address of the stand-in.
    pub addr: SocketAddr,
    /// Body of `POST /admin/fault`; see `Fault`.
    pub fault: serde_json::Value,
}

impl Mix {
    /// Picks a kind by its share, for a random `point` between 0 and 1.
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
        let mut remaining = point * total;
        for (kind, weight) in weights {
            remaining -= weight;
            if remaining < 0.0 {
                return kind;
            }
        }
        CallKind::Whole
    }
}

const fn default_prefixes() -> u64 {
    16
}

const fn default_max_in_flight() -> usize {
    4_096
}

const fn default_patience_ms() -> u64 {
    30_000
}
