//! Tracks failing calls to the store and spaces the retries.
//!
//! The instances of a domain retry in rank order. A watch that the store refuses
//! repeatedly is spaced like a failed call.

use std::fmt::Display;
use std::time::Duration;
use std::time::Instant;

use rookferry_net::clock;

use crate::relay::Relay;
use crate::store::StoreError;

/// How long after a gap in the store's answers a call counts as among the first. Other
/// instances may have been answered before this one.
const AFTER_GAP: Duration = Duration::from_millis(300);

/// State of one series of calls to the store.
pub(super) struct Outage {
    name: &'static str,
    since: Option<Instant>,
    /// When a call last failed; at first, when the series began.
    failed_at: Instant,
    failed_calls: Failures,
    /// Consecutive refused watches.
    refused_watches: Failures,
}

/// Consecutive failed calls.
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

    /// Waits until this instance may retry, by the number of failures and its rank. The
    /// rank may improve while it waits.
    pub(super) async fn wait_backoff(self, relay: &Relay) {
        if self.count == 0 {
            return;
        }
        let budget = relay.settings.bounds.propagation_budget();
        loop {
            let pause = budget.pause_after(self.count, relay.rank(clock::now()));
            let left = pause.saturating_sub(clock::since(self.last_at));
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(budget.poll_interval())).await;
        }
    }
}

impl Outage {
    pub(super) fn none(name: &'static str) -> Self {
        Self {
            name,
            since: None,
            failed_at: clock::now(),
            failed_calls: Failures::none(),
            refused_watches: Failures::none(),
        }
    }

    /// The failures that delay the next call.
    pub(super) const fn failures(&self) -> Failures {
        if self.failed_calls.count > 0 {
            return self.failed_calls;
        }
        // The first refused watch only means that a list is needed, so it isn't counted.
        Failures {
            count: self.refused_watches.count.saturating_sub(1),
            last_at: self.refused_watches.last_at,
        }
    }

    /// Records a successful call that was sent at `requested_at`. Returns whether it is
    /// among the first after a time in which this instance's calls failed and the store
    /// may have answered no one.
    pub(super) fn record_success(&mut self, relay: &Relay, requested_at: Instant) -> bool {
        self.failed_calls.count = 0;
        let Some(since) = self.since.take() else {
            return false;
        };
        relay
            .events
            .dependency_regained(self.name, clock::since(since));
        relay.store.contact().last_gap().is_some_and(|gap| {
            let is_recent = requested_at.saturating_duration_since(gap.ended_at) < AFTER_GAP;
            is_recent
                && gap
                    .began_at
                    .is_none_or(|began_at| began_at < self.failed_at)
        })
    }

    /// Records that the store lacks the revision that a watch resumes from; a list
    /// follows. If that keeps happening, the calls are spaced like failed ones.
    pub(super) fn record_refused_watch(&mut self) {
        self.refused_watches = Failures {
            count: self.refused_watches.count.saturating_add(1),
            last_at: clock::now(),
        };
    }

    /// Records a watch that succeeded.
    pub(super) const fn record_watch(&mut self) {
        self.refused_watches.count = 0;
    }

    /// Whether the store counts as unavailable.
    pub(super) const fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Marks the store as unavailable and logs the cause.
    pub(super) fn begin(&mut self, relay: &Relay, cause: &dyn Display) {
        self.failed_at = clock::now();
        if self.since.is_none() {
            self.since = Some(self.failed_at);
            relay.events.dependency_lost(self.name, cause);
        }
    }

    /// Records a failed call.
    pub(super) fn record_failure(&mut self, relay: &Relay, error: &StoreError) {
        self.begin(relay, error);
        self.failed_calls = Failures {
            count: self.failed_calls.count.saturating_add(1),
            last_at: clock::now(),
        };
    }
}
