//! Whether this instance's own connections reach the servers.
//!
//! A connection that can't be opened, or hangs, says as little about the server as about
//! the link to it. What tells is that a peer reaches the server meanwhile: then the path
//! from here is broken. If the paths to several servers of a service are, and none of
//! its servers has answered directly since, this instance is isolated from the service,
//! and doesn't try the others first. Broken paths are tested until one works again.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::ServiceId;

use super::ServerKey;

/// Broken paths from which an instance counts as isolated from a service.
const ISOLATED_FROM: usize = 2;
/// First interval between tests of a broken path; it doubles.
const INITIAL_TEST_INTERVAL: Duration = Duration::from_millis(300);
/// Longest interval between tests of a path, and between tests of an isolated instance.
const MAX_TEST_INTERVAL: Duration = Duration::from_millis(1_500);
/// Most paths of a service that are tested at a time.
const MAX_TESTS: usize = 2;

/// How connections from this instance fail where a peer reaches the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathFailure {
    /// New ones are refused; open ones may still work.
    NewConnections,
    /// New ones don't come up, or open ones have broken as well.
    AllConnections,
}

/// What the report of a broken path changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// It was known.
    Known,
    /// The path is newly broken.
    Broken,
    /// The path is newly broken, and the instance is isolated from the service with it.
    Isolated,
}

/// A path that doesn't work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenPath {
    /// When that was found; it may have been so for a moment longer.
    pub since: Instant,
    /// How connections fail.
    pub failure: PathFailure,
}

#[derive(Clone, Copy, Debug)]
struct TestedPath {
    path: BrokenPath,
    test_at: Instant,
    interval: Duration,
}

/// The paths to the servers of one service.
#[derive(Clone, Debug, Default)]
struct ServicePaths {
    broken: BTreeMap<ServerKey, TestedPath>,
    /// When a server of the service last answered directly.
    answered_at: Option<Instant>,
    /// When the instance was found to be isolated, as long as it is.
    isolation: Option<TestedPath>,
}

/// The broken paths of an instance, by service.
#[derive(Clone, Debug, Default)]
pub struct DirectPaths {
    services: BTreeMap<ServiceId, ServicePaths>,
}

impl TestedPath {
    fn new(failure: PathFailure, now: Instant) -> Self {
        Self {
            path: BrokenPath {
                since: now,
                failure,
            },
            test_at: now + INITIAL_TEST_INTERVAL,
            interval: INITIAL_TEST_INTERVAL,
        }
    }

    /// Whether a test is due; schedules the next one if so.
    fn take_test(&mut self, now: Instant) -> bool {
        if now < self.test_at {
            return false;
        }
        self.interval = (self.interval * 2).min(MAX_TEST_INTERVAL);
        self.test_at = now + self.interval;
        true
    }
}

impl ServicePaths {
    fn broke(&mut self, server: ServerKey, failure: PathFailure, now: Instant) -> PathChange {
        if let Some(isolation) = &mut self.isolation {
            isolation.path.failure = isolation.path.failure.max(failure);
        }
        if let Some(known) = self.broken.get_mut(&server) {
            known.path.failure = known.path.failure.max(failure);
            return PathChange::Known;
        }
        self.broken.insert(server, TestedPath::new(failure, now));
        let answered_at = self.answered_at;
        let is_unanswered =
            |tested: &&TestedPath| answered_at.is_none_or(|at| at < tested.path.since);
        let unanswered = self.broken.values().filter(is_unanswered);
        if self.isolation.is_none() && unanswered.clone().count() >= ISOLATED_FROM {
            let worst = unanswered.map(|tested| tested.path.failure).max();
            self.isolation = worst.map(|failure| TestedPath::new(failure, now));
            return PathChange::Isolated;
        }
        PathChange::Broken
    }

    fn is_empty(&self) -> bool {
        self.broken.is_empty() && self.isolation.is_none()
    }
}

impl DirectPaths {
    /// No path is known to be broken.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a peer reaches a server while this instance's connections fail.
    /// `answered_at` is when any server of the service last answered directly.
    pub fn broke(
        &mut self,
        service: &ServiceId,
        server: ServerKey,
        failure: PathFailure,
        answered_at: Option<Instant>,
        now: Instant,
    ) -> PathChange {
        let paths = self.services.entry(service.clone()).or_default();
        paths.answered_at = paths.answered_at.max(answered_at);
        paths.broke(server, failure, now)
    }

    /// Records that a connection to a server was opened directly. Returns whether its
    /// path, or that to the service, was broken.
    pub fn worked(&mut self, service: &ServiceId, server: ServerKey, now: Instant) -> bool {
        let Some(paths) = self.services.get_mut(service) else {
            return false;
        };
        paths.answered_at = Some(now);
        // The paths were found broken by one cut, which has ended.
        if paths.isolation.take().is_some() {
            paths.broken.clear();
            return true;
        }
        paths.broken.remove(&server).is_some()
    }

    /// The broken path to a server; none if it works as far as is known.
    #[must_use]
    pub fn broken(&self, service: &ServiceId, server: ServerKey) -> Option<BrokenPath> {
        let paths = self.services.get(service)?;
        let own = paths.broken.get(&server).map(|tested| tested.path);
        let isolation = paths.isolation.map(|tested| tested.path);
        let Some((own, isolation)) = own.zip(isolation) else {
            return own.or(isolation);
        };
        Some(BrokenPath {
            since: own.since,
            failure: own.failure.max(isolation.failure),
        })
    }

    /// Whether no server of a service is reached from here, while peers reach some.
    #[must_use]
    pub fn is_isolated(&self, service: &ServiceId) -> bool {
        let paths = self.services.get(service);
        paths.is_some_and(|paths| paths.isolation.is_some())
    }

    /// The services that this instance is isolated from.
    #[must_use]
    pub fn isolated(&self) -> Vec<ServiceId> {
        let isolated = self
            .services
            .iter()
            .filter(|(_, paths)| paths.isolation.is_some());
        isolated.map(|(service, _)| service.clone()).collect()
    }

    /// The services to some of whose servers the paths are broken, as far as is known.
    #[must_use]
    pub fn partly_broken(&self) -> Vec<ServiceId> {
        let services = self.services.iter();
        services
            .filter(|(_, paths)| paths.isolation.is_none() && !paths.broken.is_empty())
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// The paths to test now. Of a service that the instance is isolated from, that is one
    /// path to any of its servers, which `any_server` chooses.
    pub fn due_tests(
        &mut self,
        now: Instant,
        mut any_server: impl FnMut(&ServiceId) -> Option<ServerKey>,
    ) -> Vec<(ServiceId, ServerKey)> {
        let mut due = Vec::new();
        for (service, paths) in &mut self.services {
            if let Some(isolation) = &mut paths.isolation {
                if isolation.take_test(now) {
                    due.extend(any_server(service).map(|server| (service.clone(), server)));
                }
                continue;
            }
            let broken = paths.broken.iter_mut();
            let tests = broken
                .filter_map(|(server, path)| path.take_test(now).then_some(*server))
                .take(MAX_TESTS);
            due.extend(tests.map(|server| (service.clone(), server)));
        }
        due
    }

    /// Drops servers for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        for paths in self.services.values_mut() {
            paths.broken.retain(|server, _| is_known(*server));
            if paths.broken.is_empty() {
                paths.isolation = None;
            }
        }
        self.services.retain(|_, paths| !paths.is_empty());
    }
}
