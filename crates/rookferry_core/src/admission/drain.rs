//! How fast waiting requests get their turn, for honest waits.

use std::time::Duration;
use std::time::Instant;

/// Time over which the rate is averaged.
const WINDOW: Duration = Duration::from_secs(5);
/// The shortest and longest time told to a caller.
const MIN_RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Requests a second that get their turn, as a decaying average.
#[derive(Clone, Debug)]
pub struct DrainRate {
    per_s: f64,
    last: Option<Instant>,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self::new()
    }
}

impl DrainRate {
    /// A rate of which nothing is known.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            per_s: 0.0,
            last: None,
        }
    }

    /// A request got its turn.
    pub fn drained(&mut self, now: Instant) {
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let gap_s = now.saturating_duration_since(last).as_secs_f64();
        let kept = (-gap_s / WINDOW.as_secs_f64()).exp();
        self.per_s = self.per_s * kept + 1.0 / WINDOW.as_secs_f64();
    }

    /// Requests a second, at `now`.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let gap_s = now.saturating_duration_since(last).as_secs_f64();
        self.per_s * (-gap_s / WINDOW.as_secs_f64()).exp()
    }

    /// The expected wait behind a number of requests; `None` if not known.
    #[must_use]
    pub fn wait(&self, now: Instant, ahead: usize) -> Option<Duration> {
        let per_s = self.per_s(now);
        if per_s <= f64::EPSILON {
            return None;
        }
        Duration::try_from_secs_f64(ahead as f64 / per_s).ok()
    }

    /// When a caller that is turned away should come back.
    #[must_use]
    pub fn retry_after(&self, now: Instant, ahead: usize) -> Duration {
        let wait = self.wait(now, ahead + 1).unwrap_or(Duration::from_secs(1));
        wait.clamp(MIN_RETRY, MAX_RETRY)
    }
}
