//! How long a site has been turning requests away, and when to come back.
//!
//! Nothing tells how long an overload will last. One that has lasted for some
//! time is, on the mean of all that could be, halfway through; so callers are
//! asked to come back after about as long as it has lasted so far, each at a
//! time of its own, so that they don't return together.

use std::time::Duration;
use std::time::Instant;

/// Time without a refusal after which an overload is over. Room comes free
/// whenever a request ends, every few tens of milliseconds on a busy site.
const OVER_AFTER: Duration = Duration::from_secs(1);
/// Least time to come back after: some requests have ended by then.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Callers are spread from this part of the expected time to as much above it.
const SPREAD_FROM: f64 = 0.5;

/// What a request that is turned away is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded {
    /// How long the overload has lasted.
    pub lasted: Duration,
    /// When to come back.
    pub retry_after: Duration,
}

/// Refusals for want of room, as one instance gave them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    since: Option<Instant>,
    last_refused_at: Option<Instant>,
}

impl Overload {
    /// None so far.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            since: None,
            last_refused_at: None,
        }
    }

    /// A request is turned away. `chance` is the caller's own, from 0 to 1.
    pub fn refused(&mut self, now: Instant, chance: f64) -> Overloaded {
        let is_over = self
            .last_refused_at
            .is_none_or(|at| now.saturating_duration_since(at) >= OVER_AFTER);
        if is_over {
            self.since = None;
        }
        self.last_refused_at = Some(now);
        let spread = SPREAD_FROM + chance.clamp(0.0, 1.0) * 2.0 * (1.0 - SPREAD_FROM);
        let since = *self.since.get_or_insert(now);
        let lasted = now.saturating_duration_since(since);
        Overloaded {
            lasted,
            retry_after: lasted.max(MIN_RETRY_AFTER).mul_f64(spread),
        }
    }
}
