//! Routes, services and client accounts, and the look-ups of a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rookferry_wire::AccountId;
use rookferry_wire::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::ModelShape;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// As often as needed.
    Idempotent,
    /// Once at most.
    AtMostOnce,
    /// A stream of events; another run may go on where one broke off if
    /// `resumable`, else it runs once at most.
    Stream {
        /// Whether another run may go on.
        resumable: bool,
    },
}

impl Repeatability {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its part of the requests, against the other targets' weights.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingRoute {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it answers to, in lower case.
    pub host: String,
    /// What the path starts with; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// The time within which an answer is wanted.
    pub latency_objective: Duration,
    /// The longest pause between events that is wanted.
    pub gap_objective: Option<Duration>,
    /// The most servers that a request is sent to.
    pub max_servers: u32,
    /// How urgent its requests are, 0 first.
    pub priority: u8,
    /// Whether it takes requests without a key.
    pub is_public: bool,
    /// Where its requests go; not empty.
    pub targets: Vec<RouteTarget>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingService {
    /// Its name.
    pub name: ServiceId,
    /// Path at which its servers tell their health.
    pub health_path: String,
    /// Connections that each of its servers takes from all callers.
    pub max_connections: u32,
    /// The model, if its servers run one over several engines.
    pub model: Option<Arc<ModelShape>>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingAccount {
    /// Its name.
    pub name: AccountId,
    /// Its keys.
    pub keys: Vec<String>,
    /// How urgent its requests are, 0 first; goes before a route's.
    pub priority: u8,
}

/// What callers are held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest body.
    pub max_body_bytes: usize,
    /// Longest head.
    pub max_head_bytes: usize,
    /// How long a head or a body may take.
    pub head_timeout: Duration,
    /// How long a connection may rest.
    pub idle_timeout: Duration,
}

/// A configuration of a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingConfig {
    /// Its version; rises with each change.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<ServingRoute>,
    /// Its services.
    pub services: Vec<ServingService>,
    /// Its client accounts; if there are none, no key is asked for.
    pub accounts: Vec<ServingAccount>,
    /// What callers are held to.
    pub limits: CallerLimits,
}

impl ServingConfig {
    /// The longest pause between two events that is in time on every route to
    /// a service; none if no route has an objective.
    #[must_use]
    pub fn longest_pause(&self, service: &ServiceId) -> Option<Duration> {
        let routes = self.routes.iter();
        let leading = routes.filter(|route| {
            let mut targets = route.targets.iter();
            targets.any(|target| target.service == *service)
        });
        leading.filter_map(|route| route.gap_objective).min()
    }
}

/// A configuration with the tables for look-ups.
#[derive(Debug)]
pub struct ServingIndex {
    config: ServingConfig,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<ServiceId, usize>,
}

impl ServingIndex {
    /// Builds the tables.
    #[must_use]
    pub fn new(config: ServingConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].path_prefix.len()));
        }
        let accounts = config.accounts.iter().enumerate();
        let by_key = accounts
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        let services = config.services.iter().enumerate();
        let by_service = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            config,
            by_host,
            by_key,
            by_service,
        }
    }

    /// The configuration.
    #[must_use]
    pub const fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// The route of a host and a path: the longest prefix that fits.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&ServingRoute> {
        let name = host.split(':').next().unwrap_or(host);
        let candidates = self.by_host.get(&name.to_ascii_lowercase())?;
        candidates
            .iter()
            .map(|index| &self.config.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need a key.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        !self.config.accounts.is_empty()
    }

    /// The account of a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&ServingAccount> {
        let index = self.by_key.get(key)?;
        Some(&self.config.accounts[*index])
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&ServingService> {
        let index = self.by_service.get(name)?;
        Some(&self.config.services[*index])
    }
}

impl ServingRoute {
    /// The target of a request, by a draw that is uniform over all values.
    #[must_use]
    pub fn target(&self, draw: u32) -> Option<&RouteTarget> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first();
        }
        let mut point = u64::from(draw) % total;
        self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let is_hit = point < weight;
            point = point.saturating_sub(weight);
            is_hit
        })
    }
}
