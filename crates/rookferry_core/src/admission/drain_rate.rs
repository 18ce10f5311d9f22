//! Estimates how long queued requests wait, from the rate at which the queue drains.

use std::time::Duration;
use std::time::Instant;

/// Time constant of the average.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Bounds of the retry delay given to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Requests taken from a queue per second, as an exponentially decaying average.
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
    /// A rate without any sample.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            per_s: 0.0,
            last: None,
        }
    }

    /// Records a request taken from the queue; the first only starts the average.
    pub fn record_dequeue(&mut self, now: Instant) {
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let gap_s = now.saturating_duration_since(last).as_secs_f64();
        let decay = (-gap_s / TIME_CONSTANT.as_secs_f64()).exp();
        self.per_s = self.per_s * decay + 1.0 / TIME_CONSTANT.as_secs_f64();
    }

    /// Requests per second, decayed to `now`; 0 before the second request.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let gap_s = now.saturating_duration_since(last).as_secs_f64();
        self.per_s * (-gap_s / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Expected wait behind `ahead` requests; `None` if the rate is unknown.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, ahead: usize) -> Option<Duration> {
        let per_s = self.per_s(now);
        if per_s <= f64::EPSILON {
            return None;
        }
        Duration::try_from_secs_f64(ahead as f64 / per_s).ok()
    }

    /// Delay after which a refused caller should retry, from 100 ms to 30 s; 1 s if the
    /// rate is unknown.
    #[must_use]
    pub fn retry_after(&self, now: Instant, ahead: usize) -> Duration {
        let wait = self
            .expected_wait(now, ahead + 1)
            .unwrap_or(Duration::from_secs(1));
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
