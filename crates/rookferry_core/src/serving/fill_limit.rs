//! Limit on how far the engines' cache is filled, by the time that first events take.
//!
//! Load pattern: requests arrive faster than the engines can read their prompts. The
//! cache has room for them, but their first events come late, and those that are read
//! delay the others. So the fill is limited as concurrency is by a gradient limiter: it
//! shrinks while first events take more of their objective than planned, and grows again
//! while they don't.
//!
//! Each instance adapts its own limit to its own streams. It applies to the fill by the
//! requests of all instances, so instances with little traffic need no share of their own.

use std::time::Duration;
use std::time::Instant;

/// Part of the objective that a first event may take after it was sent. The rest is for
/// the time in the admission queue and for prompts longer than the mean.
const PLANNED_PART: f64 = 0.5;
/// Weight of one first event in the running mean.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Shortest time between two changes: first events show the effect of a change about this
/// much later.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Lowest limit. Below it less is gained in time than is lost in concurrency.
const MIN_FILL: f64 = 0.6;
/// Reduction by one change, if first events take twice the planned time or longer.
const MAX_REDUCTION: f64 = 0.08;
/// Increase by one change.
const INCREASE: f64 = 0.02;

/// The adaptive limit of one instance for one service.
#[derive(Clone, Debug)]
pub struct FillLimit {
    fill: f64,
    /// Mean time to the first event, as a part of the objective.
    mean_part: f64,
    changed_at: Option<Instant>,
    has_sample: bool,
}

impl Default for FillLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl FillLimit {
    /// No limit, as nothing has been observed.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            fill: 1.0,
            mean_part: 0.0,
            changed_at: None,
            has_sample: false,
        }
    }

    /// The share of the cache that may be filled, up to 1.
    #[must_use]
    pub const fn fill(&self) -> f64 {
        self.fill
    }

    /// Records the time from sending a request to its first event, which was due within
    /// `objective`; returns whether the limit changed.
    pub fn record_first_event(
        &mut self,
        took: Duration,
        objective: Duration,
        now: Instant,
    ) -> bool {
        if objective.is_zero() {
            return false;
        }
        let part = (took.as_secs_f64() / objective.as_secs_f64()).min(2.0);
        self.mean_part += (part - self.mean_part) * SAMPLE_WEIGHT;
        self.has_sample = true;
        self.change(now)
    }

    fn change(&mut self, now: Instant) -> bool {
        let since = *self.changed_at.get_or_insert(now);
        if now.saturating_duration_since(since) < CHANGE_INTERVAL || !self.has_sample {
            return false;
        }
        self.changed_at = Some(now);
        self.has_sample = false;
        let before = self.fill;
        let excess = (self.mean_part / PLANNED_PART - 1.0).min(1.0);
        self.fill = if excess > 0.0 {
            (self.fill - MAX_REDUCTION * excess).max(MIN_FILL)
        } else {
            (self.fill + INCREASE).min(1.0)
        };
        (before - self.fill).abs() > f64::EPSILON
    }
}
