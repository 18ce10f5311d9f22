//! Calls to the store that fail.

use std::fmt::Display;
use std::time::Instant;

use rookferry_core::ranked_pause;
use rookferry_net::clock;

use crate::relay::Relay;
use crate::store::StoreError;

/// Calls that fail.
pub(super) struct Outage {
    name: &'static str,
    since: Option<Instant>,
    failed: Failures,
    /// Watches that were refused in a row.
    refused: Failures,
}

/// Failed calls in a row.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failures {
    count: u32,
    last_at: Instant,
}

impl Failures {
    fn none() -> Self {
        Self {
            count: 0,
            last_at: clock::now(),
        }
    }

    /// Waits until it is this instance's turn in line to try again. The line may have
    /// become shorter meanwhile.
    pub(super) async fn wait_in_line(self, relay: &Relay) {
        if self.count == 0 {
            return;
        }
        loop {
            let pause = ranked_pause(self.count, relay.rank(clock::now()));
            let left = pause.saturating_sub(clock::since(self.last_at));
            if left.is_zero() {
                return;
            }
            let look = relay.settings.bounds.news_budget().poll_interval();
            tokio::time::sleep(left.min(look)).await;
        }
    }
}

impl Outage {
    pub(super) fn none(name: &'static str) -> Self {
        Self {
            name,
            since: None,
            failed: Failures::none(),
            refused: Failures::none(),
        }
    }

    /// What is to be waited for before the next call.
    pub(super) const fn failures(&self) -> Failures {
        if self.failed.count > 0 {
            return self.failed;
        }
        // The first refusal says only that there is something to list.
        Failures {
            count: self.refused.count.saturating_sub(1),
            last_at: self.refused.last_at,
        }
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

    /// The store doesn't have what a watch goes on from; a list follows. Where that fails
    /// the same way again and again, the calls are spaced as failed ones are.
    pub(super) fn watch_refused(&mut self) {
        self.refused = Failures {
            count: self.refused.count.saturating_add(1),
            last_at: clock::now(),
        };
    }

    /// A watch went on.
    pub(super) const fn watch_went_on(&mut self) {
        self.refused.count = 0;
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
