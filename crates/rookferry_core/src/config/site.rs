//! The types of the site's configuration.

use std::collections::BTreeMap;

use rookferry_wire::Labels;
use rookferry_wire::LayerRange;
use serde::Deserialize;
use serde::Serialize;

use crate::Selector;

/// The whole configuration of a site.
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
    /// Routes; the first whose selector matches a request is taken.
    #[serde(default)]
    pub routes: Vec<RouteConfig>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceConfig>,
    /// Which engines load what.
    #[serde(default)]
    pub placement: Vec<PlacementRule>,
    /// Engines and services that match any of these get no new work.
    #[serde(default)]
    pub leaving: Vec<Selector>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Weights of the policy.
    #[serde(default)]
    pub policy: PolicyConfig,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelConfig {
    /// How many layers it has.
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
    /// Its labels, seen by selectors as `account.{name}`.
    #[serde(default)]
    pub labels: Labels,
    /// Its share against other accounts when there isn't enough.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Its requests in flight on one instance at most.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
}

/// A set of engines or services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// Which backend servers belong to it.
    pub selector: Selector,
}

/// Where requests go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Its name, for records of decisions.
    pub name: String,
    /// Which requests take it.
    #[serde(default)]
    pub selector: Selector,
    /// The pool whose engines run them.
    pub pool: String,
    /// Higher goes first, 0 to 9.
    #[serde(default)]
    pub priority: u8,
    /// How long a request may take from its arrival.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// How long of that it may wait for its turn; all of it if absent.
    #[serde(default)]
    pub max_wait_ms: Option<u64>,
}

impl RouteConfig {
    /// How long a request may wait for its turn, in milliseconds.
    #[must_use]
    pub fn turn_ms(&self) -> u64 {
        self.max_wait_ms
            .unwrap_or(self.deadline_ms)
            .min(self.deadline_ms)
    }
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// The pool whose instances serve it.
    pub pool: String,
    /// How long a call may take.
    #[serde(default = "default_call_timeout_ms")]
    pub timeout_ms: u64,
    /// Whether its `GET` and `HEAD` calls may be repeated.
    #[serde(default = "default_true")]
    pub reads_repeatable: bool,
}

/// Which engines load a model's layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRule {
    /// Its name, for records of decisions.
    pub name: String,
    /// Which engines it covers.
    pub selector: Selector,
    /// The model to load.
    pub model: String,
    /// The model's version.
    pub version: String,
    /// The layers to hold.
    pub layers: LayerRange,
    /// The role to take, if any.
    #[serde(default)]
    pub role: Option<String>,
}

/// What an objective counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Requests answered whole, of those that callers may count on.
    Availability,
    /// First tokens within the limit.
    FirstToken,
    /// Gaps between tokens within the limit.
    BetweenTokens,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Its name.
    pub name: String,
    /// What it counts.
    pub kind: ObjectiveKind,
    /// The share that must be good, above 0 and below 1.
    pub target: f64,
    /// The limit, for the kinds that have one.
    #[serde(default)]
    pub limit_ms: u64,
    /// Only this route's requests.
    #[serde(default)]
    pub route: Option<String>,
    /// Only this account's requests.
    #[serde(default)]
    pub account: Option<String>,
}

/// How a chain of engines is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChooserKind {
    /// The chain with the lowest expected time a token.
    #[default]
    ExpectedFinish,
    /// Any chain; a baseline.
    Random,
    /// Each engine in turn; a baseline.
    RoundRobin,
    /// The engines with the fewest own streams; a baseline.
    LeastOutstanding,
}

/// Weights of the policy, the same on every instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PolicyConfig {
    /// How chains are chosen.
    pub chooser: ChooserKind,
    /// Streams an engine may hold, as a multiple of those that keep it busy.
    pub overcommit: f64,
    /// Requests that may wait on one instance.
    pub queue_limit: usize,
    /// Retries as a share of fresh requests.
    pub retry_share: f64,
    /// How long a step may take before its engine is taken for lost, as a
    /// multiple of the learned step time.
    pub step_timeout_factor: f64,
    /// The least and first value of that timeout.
    pub step_timeout_floor_ms: u64,
    /// How much longer a chain may be for the sake of a cached prefix.
    pub affinity_bound: f64,
    /// How long keys of requests that may run once are remembered.
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
