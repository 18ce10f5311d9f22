//! Limit on retries of one instance, within the shared retry budget of a site.
//!
//! The site allows `ratio` x new requests + `slack` retries in a sliding window, over all
//! instances. Each instance keeps to its share without coordination: the ratio of its own
//! requests, and an equal share of the slack. An instance that has just restarted doesn't
//! know what it spent of the slack before, so it keeps to a part that is reserved for
//! this.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Part of the budget that is used. The rest is a margin, since the known number of
/// instances can be out of date.
const USED_SHARE: f64 = 0.8;

/// Part of the slack that is used in the first window after a restart: half of the
/// margin, so that a site may restart twice in a window. Without this limit, instances
/// that are killed together exceed the budget.
const USED_SHARE_AFTER_RESTART: f64 = (1.0 - USED_SHARE) / 2.0;

/// Retries and new requests of one instance for one service.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    window: Duration,
    ratio: f64,
    slack: f64,
    restarted_at: Option<Instant>,
    new_requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// An empty window. `restarted_at` is when the instance started, if the site had run
    /// before: what it spent until then is unknown.
    #[must_use]
    pub const fn new(
        window: Duration,
        ratio: f64,
        slack: f64,
        restarted_at: Option<Instant>,
    ) -> Self {
        Self {
            window,
            ratio,
            slack,
            restarted_at,
            new_requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a new request.
    pub fn record_new_request(&mut self, now: Instant) {
        self.expire(now);
        self.new_requests.push_back(now);
    }

    /// Takes one retry from the budget; false if the instance's share is used up.
    pub fn take(&mut self, now: Instant, instances: usize) -> bool {
        self.expire(now);
        let has_just_restarted = self
            .restarted_at
            .is_some_and(|at| now.saturating_duration_since(at) < self.window);
        let slack_share = if has_just_restarted {
            USED_SHARE_AFTER_RESTART
        } else {
            USED_SHARE
        };
        let slack = slack_share * self.slack / instances.max(1) as f64;
        let allowed = USED_SHARE * self.ratio * self.new_requests.len() as f64 + slack;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.new_requests, &mut self.retries] {
            let is_old = |at: &Instant| now.saturating_duration_since(*at) > self.window;
            while times.front().is_some_and(is_old) {
                times.pop_front();
            }
        }
    }
}
