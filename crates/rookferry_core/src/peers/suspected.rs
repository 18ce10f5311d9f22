//! Servers that peers report as unresponsive.
//!
//! Load pattern: a few engines are lost, or an instance with an eighth of a core mistakes
//! its own delay for their loss, and hundreds of peers receive the report. If each peer
//! probed each such engine, the probes would slow the instances down, so that they miss
//! more answers and take healthy servers for lost. So only a few instances probe, and the
//! others exclude a suspected server until there is newer evidence that it is alive.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::serving::ServerKey;

/// First-ranked instances of a failure domain that probe a suspected server, besides
/// those with requests in flight there. As many as a large domain has aggregators, so
/// that probing goes on when one of them exits or stalls.
const PROBING_INSTANCES: usize = 2;

/// An instance's relation to a suspected server, which decides whether it probes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeRole {
    /// Whether own requests are in flight at the server.
    pub has_requests: bool,
    /// Whether the instance plans which layers engines hold.
    pub plans_layers: bool,
    /// Number of the domain's instances that are ranked before it.
    pub rank: usize,
}

impl ProbeRole {
    /// Whether the instance probes the server itself.
    #[must_use]
    pub const fn should_probe(self) -> bool {
        self.has_requests || self.plans_layers || self.rank < PROBING_INSTANCES
    }
}

/// The servers that peers of the own domain report as unresponsive.
#[derive(Clone, Debug, Default)]
pub struct SuspectedServers {
    /// Time of the latest first report of each server, over the peers that report it.
    since: BTreeMap<ServerKey, Instant>,
}

impl SuspectedServers {
    /// Adds a peer's report that a server is unresponsive since a time.
    pub(super) fn add(&mut self, server: ServerKey, since: Instant) {
        let known = self.since.entry(server).or_insert(since);
        *known = (*known).max(since);
    }

    /// Since when a server is suspected; none if it isn't.
    #[must_use]
    pub fn since(&self, server: ServerKey) -> Option<Instant> {
        self.since.get(&server).copied()
    }

    /// Whether a server is suspected without newer evidence that it is alive. Evidence
    /// from any instance that is later than the reports overrides them.
    #[must_use]
    pub fn is_excluded(&self, server: ServerKey, last_alive_at: Option<Instant>) -> bool {
        let since = self.since.get(&server);
        since.is_some_and(|since| last_alive_at.is_none_or(|at| at < *since))
    }
}
