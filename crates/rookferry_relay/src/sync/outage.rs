//! Calls to the store that fail.

use std::fmt::Display;
use std::time::Instant;

use rookferry_core::pause_in_line;
use rookferry_net::clock;

use crate::relay::Relay;
use crate::store::StoreError;

/// Calls that fail.
pub(super) struct Outage {
    name: &'static str,
    since: Option<Instant>,
    failed: Failures,
}

/// Failed calls in a row.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failures {
    count: u32,
    last_at: Instant,
}

impl Failures {
    /// Waits until it is this instance's turn in line to try again. The line may have
    /// become shorter meanwhile.
    pub(super) async fn wait_in_line(self, relay: &Relay) {
        if self.count == 0 {
            return;
        }
        loop {
            let pause = pause_in_line(self.count, relay.rank(clock::now()));
            let left = pause.saturating_sub(clock::since(self.last_at));
            if left.is_zero() {
                return;
            }
            let look = relay.settings.bounds.news_budget().look();
            tokio::time::sleep(left.min(look)).await;
        }
    }
}

impl Outage {
    pub(super) fn none(name: &'static str) -> Self {
        Self {
            name,
            since: None,
            failed: Failures {
                count: 0,
                last_at: clock::now(),
            },
        }
    }

    /// The calls that failed in a row.
    pub(super) const fn failures(&self) -> Failures {
        self.failed
    }

    /// A call went well; tells whether that ends an outage.
    pub(super) fn ended(&mut self, relay: &Relay) -> bool {
        self.failed.count = 0;
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

    /// A call failed.
    pub(super) fn failed(&mut self, relay: &Relay, error: &StoreError) {
        self.begin(relay, error);
        self.failed = Failures {
            count: self.failed.count.saturating_add(1),
            last_at: clock::now(),
        };
    }
}
