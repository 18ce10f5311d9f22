//! Routes, services and client accounts of a site, and their look-ups for a request.
//!
//! [`ServingConfig`] is the form that is stored and passed between instances;
//! [`ServingIndex`] adds the tables that an instance uses for each request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rookferry_wire::AccountId;
use rookferry_wire::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::ModelShape;

/// How often a request of a route may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// The answer is an event stream. If `resumable`, another run may continue it where
    /// one broke off; otherwise the request runs at most once.
    Stream {
        /// Whether another run may continue the stream.
        resumable: bool,
    },
}

impl Repeatability {
    /// Whether a request that may have been executed can be sent again.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the route's other targets.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingRoute {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that it matches, in lower case.
    pub host: String,
    /// Prefix of the paths that it matches; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may be executed.
    pub repeatability: Repeatability,
    /// Longest time until a request has to be answered.
    pub timeout: Duration,
    /// Objective for the time to the answer.
    pub latency_objective: Duration,
    /// Objective for the longest gap between two events of a stream, if there is one.
    pub gap_objective: Option<Duration>,
    /// Most servers that one request is sent to.
    pub max_servers: u32,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether it accepts requests without a key.
    pub is_public: bool,
    /// The services that its requests go to; not empty.
    pub targets: Vec<RouteTarget>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingService {
    /// The service's name.
    pub name: ServiceId,
    /// Path of the health check on its servers.
    pub health_path: String,
    /// Most connections to each of its servers, over all callers.
    pub max_connections: u32,
    /// The model, if its servers are engines that run one model together.
    pub model: Option<Arc<ModelShape>>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingAccount {
    /// The account's name.
    pub name: AccountId,
    /// The account's API keys.
    pub keys: Vec<String>,
    /// Priority of its requests; 0 is the most urgent. Precedes the route's priority.
    pub priority: u8,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Longest time in which a head or a body has to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// The serving configuration of a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingConfig {
    /// The version; increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<ServingRoute>,
    /// The services.
    pub services: Vec<ServingService>,
    /// The client accounts; if there are none, no key is required.
    pub accounts: Vec<ServingAccount>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
}

impl ServingConfig {
    /// The strictest gap objective of the routes to a service; `None` if none of them has
    /// one.
    #[must_use]
    pub fn strictest_gap_objective(&self, service: &ServiceId) -> Option<Duration> {
        let routes = self.routes_to(service);
        routes.filter_map(|route| route.gap_objective).min()
    }

    /// The strictest latency objective of the streams of a service; `None` if it has no
    /// streams.
    #[must_use]
    pub fn strictest_stream_objective(&self, service: &ServiceId) -> Option<Duration> {
        let routes = self.routes_to(service);
        let streams = routes.filter(|route| route.repeatability.is_stream());
        streams.map(|route| route.latency_objective).min()
    }

    fn routes_to(&self, service: &ServiceId) -> impl Iterator<Item = &ServingRoute> {
        self.routes.iter().filter(move |route| {
            let mut targets = route.targets.iter();
            targets.any(|target| target.service == *service)
        })
    }
}

/// A configuration with look-up tables.
#[derive(Debug)]
pub struct ServingIndex {
    config: ServingConfig,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<ServiceId, usize>,
    /// The strictest latency objective of the streams of each service.
    stream_objectives: HashMap<ServiceId, Duration>,
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
        let names = config.services.iter().map(|service| &service.name);
        let stream_objectives = names
            .filter_map(|name| Some((name.clone(), config.strictest_stream_objective(name)?)))
            .collect();
        Self {
            config,
            by_host,
            by_key,
            by_service,
            stream_objectives,
        }
    }

    /// The configuration.
    #[must_use]
    pub const fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// The route for a host and a path: the longest matching prefix. A port in `host` is
    /// ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&ServingRoute> {
        let name = host.split(':').next().unwrap_or(host);
        let candidates = self.by_host.get(&name.to_ascii_lowercase())?;
        candidates
            .iter()
            .map(|index| &self.config.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The strictest latency objective of the streams of a service.
    #[must_use]
    pub fn stream_objective(&self, service: &ServiceId) -> Option<Duration> {
        self.stream_objectives.get(service).copied()
    }

    /// Whether requests need a key.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        !self.config.accounts.is_empty()
    }

    /// The account that owns a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&ServingAccount> {
        let index = self.by_key.get(key)?;
        Some(&self.config.accounts[*index])
    }

    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&ServingService> {
        let index = self.by_service.get(name)?;
        Some(&self.config.services[*index])
    }
}

impl ServingRoute {
    /// The target of a request, by weight; `draw` must be uniform over all `u32` values.
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
