//! Error budgets and burn rates of service-level objectives, from samples of
//! cumulative counters.

use serde::Deserialize;
use serde::Serialize;

use crate::Objective;

/// Cumulative counts of one objective for one client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveSample {
    /// The objective's name.
    pub objective: String,
    /// The client account.
    pub account: String,
    /// Events that met the objective since the instance started.
    pub good: u64,
    /// All events that the objective counts since then.
    pub total: u64,
}

/// Numbers of good and of all events within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCount {
    /// Events that met the objective.
    pub good: u64,
    /// All events.
    pub total: u64,
}

impl WindowCount {
    /// Events between two samples of a cumulative counter. If the counter decreased
    /// it was reset by a restart, and all of the later sample counts.
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

    /// Sum of both counts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            total: self.total + other.total,
        }
    }

    /// Events that missed the objective.
    #[must_use]
    pub const fn bad(self) -> u64 {
        self.total.saturating_sub(self.good)
    }

    /// Share of bad events relative to the error budget of `target`, `None` without
    /// events. A rate of 1 spends the budget exactly by the end of the objective's
    /// period.
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

/// Whether an objective counts the requests of a route and a client account.
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
