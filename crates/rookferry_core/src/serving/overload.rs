//! Duration of an overload, and the retry time of refused requests.
//!
//! How long an overload will last is unknown. On average one is observed halfway through,
//! so callers are asked to retry after about the time that it has lasted so far, each
//! after a randomised delay, so that they don't return together.

use std::time::Duration;
use std::time::Instant;

/// Time without a refusal after which an overload is over. Capacity is released whenever
/// a request finishes, every few tens of milliseconds on a busy site.
const OVER_AFTER: Duration = Duration::from_secs(1);
/// Shortest retry time: some requests have finished by then.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Lower end of the spread, as a factor on the retry time; the upper end is as far above
/// 1.
const SPREAD_FROM: f64 = 0.5;

/// What a refused request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded {
    /// How long the overload has lasted.
    pub lasted: Duration,
    /// Time after which to retry.
    pub retry_after: Duration,
}

/// Refusals for lack of capacity by one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    since: Option<Instant>,
    last_refused_at: Option<Instant>,
}

impl Overload {
    /// No refusals.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            since: None,
            last_refused_at: None,
        }
    }

    /// Records that a request is refused. `chance`, from 0 to 1, is drawn per request and
    /// spreads the retry times.
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
