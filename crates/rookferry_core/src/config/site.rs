//! Types of the site configuration.
//!
//! Operators write them as JSON, so the names of fields and variants are the
//! configuration's keys and values. Defaults apply to keys that are left out.

use std::collections::BTreeMap;

use rookferry_wire::Labels;
use rookferry_wire::LayerRange;
use serde::Deserialize;
use serde::Serialize;

use crate::Selector;

/// The configuration of a site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<String, ModelConfig>,
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<String, AccountConfig>,
    /// Pools by name.
    #[serde(default)]
    pub pools: BTreeMap<String, PoolConfig>,
    /// Routes; the first one whose selector matches a request applies.
    #[serde(default)]
    pub routes: Vec<RouteConfig>,
    /// Plain HTTP services by name.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceConfig>,
    /// Which engines load which layers of which model.
    #[serde(default)]
    pub placement: Vec<PlacementRule>,
    /// Backend servers that match any of these selectors get no new work.
    #[serde(default)]
    pub leaving: Vec<Selector>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Parameters of routing and admission.
    #[serde(default)]
    pub policy: PolicyConfig,
}

/// A model that engines can run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelConfig {
    /// Number of layers.
    pub layers: u16,
    /// The token that ends an answer early, if any.
    #[serde(default)]
    pub stop_token: Option<u64>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountConfig {
    /// SHA-256 of its bearer key, in hex; the key itself is never stored.
    pub key_sha256: String,
    /// Its labels, available to selectors as `account.{name}`.
    #[serde(default)]
    pub labels: Labels,
    /// Its weight relative to other accounts under contention.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Most requests in flight on one instance.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
}

/// A set of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// Which backend servers belong to it.
    pub selector: Selector,
}

/// Sends the requests that match a selector to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Its name, shown in decision records.
    pub name: String,
    /// Which requests it applies to.
    #[serde(default)]
    pub selector: Selector,
    /// The pool whose engines run them.
    pub pool: String,
    /// Priority from 0 to 9; higher values are served first.
    #[serde(default)]
    pub priority: u8,
    /// Longest time from a request's arrival to its end, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Longest part of that time spent in the queue, in milliseconds; all of it if
    /// absent.
    #[serde(default)]
    pub max_wait_ms: Option<u64>,
}

impl RouteConfig {
    /// Longest time in the queue, in milliseconds: `max_wait_ms`, at most the deadline.
    #[must_use]
    pub fn max_queue_wait_ms(&self) -> u64 {
        self.max_wait_ms
            .unwrap_or(self.deadline_ms)
            .min(self.deadline_ms)
    }
}

/// A plain HTTP service, whose calls are proxied as they are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// The pool whose instances serve it.
    pub pool: String,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_call_timeout_ms")]
    pub timeout_ms: u64,
    /// Whether its `GET` and `HEAD` calls may be retried.
    #[serde(default = "default_true")]
    pub reads_repeatable: bool,
}

/// Which engines load a model's layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRule {
    /// Its name, shown in decision records.
    pub name: String,
    /// Which engines it applies to.
    pub selector: Selector,
    /// The model to load.
    pub model: String,
    /// The model's version.
    pub version: String,
    /// The layers to load.
    pub layers: LayerRange,
    /// The role to assign to the engines, if any.
    #[serde(default)]
    pub role: Option<String>,
}

/// What an objective counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Requests answered completely; failures that the caller caused don't count.
    Availability,
    /// Requests whose first token arrives within the limit.
    FirstToken,
    /// Intervals between consecutive tokens that are within the limit.
    BetweenTokens,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Its name.
    pub name: String,
    /// The events it counts.
    pub kind: ObjectiveKind,
    /// Required fraction of good events, above 0 and below 1.
    pub target: f64,
    /// Latency limit in milliseconds; unused for availability.
    #[serde(default)]
    pub limit_ms: u64,
    /// Counts only this route's requests, if set.
    #[serde(default)]
    pub route: Option<String>,
    /// Counts only this client account's requests, if set.
    #[serde(default)]
    pub account: Option<String>,
}

/// Algorithm that chooses a chain of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChooserKind {
    /// The chain with the lowest expected time per token.
    #[default]
    ExpectedFinish,
    /// A random chain; a baseline for comparisons.
    Random,
    /// Engines in rotation; a baseline for comparisons.
    RoundRobin,
    /// The engines with the fewest streams of this instance; a baseline for comparisons.
    LeastOutstanding,
}

/// Parameters of routing and admission, the same on every instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PolicyConfig {
    /// Algorithm that chooses chains.
    pub chooser: ChooserKind,
    /// Most streams on an engine, as a multiple of those that keep it fully busy.
    pub overcommit: f64,
    /// Most requests in the queue of one instance.
    pub queue_limit: usize,
    /// Most retries, as a fraction of new requests.
    pub retry_share: f64,
    /// Step timeout after which an engine counts as lost, as a multiple of its
    /// measured step time.
    pub step_timeout_factor: f64,
    /// Lower bound of that timeout, and its value before the first measurement, in
    /// milliseconds.
    pub step_timeout_floor_ms: u64,
    /// How much higher a chain's expected time may be to reuse a cached prefix, as a
    /// fraction (0.25: 25 %).
    pub affinity_bound: f64,
    /// How long idempotency keys are remembered, in milliseconds.
    pub key_window_ms: u64,
}

impl Default for PolicyConfig {
    fn default() -> Self {
        Self {
            chooser: ChooserKind::ExpectedFinish,
            overcommit: 2.5,
            queue_limit: 512,
            retry_share: 0.1,
            step_timeout_factor: 8.0,
            step_timeout_floor_ms: 200,
            affinity_bound: 0.25,
            key_window_ms: 24 * 60 * 60 * 1000,
        }
    }
}

const fn default_weight() -> f64 {
    1.0
}

const fn default_max_concurrent() -> u32 {
    256
}

const fn default_deadline_ms() -> u64 {
    30_000
}

const fn default_call_timeout_ms() -> u64 {
    2_000
}

const fn default_true() -> bool {
    true
}
