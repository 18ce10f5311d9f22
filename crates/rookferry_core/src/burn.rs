//! Error budgets and burn rates from counters over time.

use serde::Deserialize;
use serde::Serialize;

use crate::Objective;

/// Counts of one objective for one client account at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveSample {
    /// The objective's name.
    pub objective: String,
    /// The client account.
    pub account: String,
    /// Events within the objective since the instance started.
    pub good: u64,
    /// All events that count.
    pub total: u64,
}

/// Good and all events within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCount {
    /// Good ones.
    pub good: u64,
    /// All.
    pub total: u64,
}

impl WindowCount {
    /// Events between two readings of a counter; a counter that went back was
    /// started anew, and its later reading counts whole.
    #[must_use]
    pub const fn between(before: Self, after: Self) -> Self {
        if after.total < before.total || after.good < before.good {
            return after;
        }
        Self {
            good: after.good - before.good,
            total: after.total - before.total,
        }
    }

    /// Adds another count.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            total: self.total + other.total,
        }
    }

    /// Bad events.
    #[must_use]
    pub const fn bad(self) -> u64 {
        self.total.saturating_sub(self.good)
    }

    /// How fast the error budget is used up: 1 uses it up just by the end of
    /// the objective's period, `None` without events.
    ///
    /// ```
    /// use rookferry_core::WindowCount;
    ///
    /// let hour = WindowCount { good: 90, total: 100 };
    /// assert!((hour.burn_rate(0.95).unwrap() - 2.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn burn_rate(self, target: f64) -> Option<f64> {
        if self.total == 0 {
            return None;
        }
        let bad_share = self.bad() as f64 / self.total as f64;
        Some(bad_share / (1.0 - target))
    }
}

/// Whether an objective concerns a request.
#[must_use]
pub fn objective_applies(objective: &Objective, route: &str, account: &str) -> bool {
    let is_route = objective
        .route
        .as_deref()
        .is_none_or(|wanted| wanted == route);
    let is_account = objective
        .account
        .as_deref()
        .is_none_or(|wanted| wanted == account);
    is_route && is_account
}
