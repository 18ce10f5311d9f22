//! Calls to the store that fail.

use std::fmt::Display;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::pause_in_line;
use rookferry_net::clock;

use crate::relay::Relay;
use crate::store::StoreError;

/// Calls that fail, and how long to wait before the next.
pub(super) struct Outage {
    name: &'static str,
    since: Option<Instant>,
    /// Failed calls in a row.
    failures: u32,
}

impl Outage {
    pub(super) const fn none(name: &'static str) -> Self {
        Self {
            name,
            since: None,
            failures: 0,
        }
    }

    /// A call went well; tells whether that ends an outage.
    pub(super) fn ended(&mut self, relay: &Relay) -> bool {
        self.failures = 0;
        let Some(since) = self.since.take() else {
            return false;
        };
        relay
            .events
            .dependency_regained(self.name, clock::since(since));
        true
    }

    /// Whether it counts as away.
    pub(super) const fn is_begun(&self) -> bool {
        self.since.is_some()
    }

    /// Counts as away, for a reason.
    pub(super) fn begin(&mut self, relay: &Relay, cause: &dyn Display) {
        if self.since.is_none() {
            self.since = Some(clock::now());
            relay.events.dependency_lost(self.name, cause);
        }
    }

    /// A call failed; tells how long to wait before the next.
    pub(super) fn failed(&mut self, relay: &Relay, error: &StoreError) -> Duration {
        self.begin(relay, error);
        self.failures = self.failures.saturating_add(1);
        pause_in_line(self.failures, relay.rank(clock::now()))
    }
}
