//! Running mean and mean deviation of durations, as in RFC 6298.
//!
//! That RFC's gains are meant for one sample per round trip. Here the samples come from
//! many streams at once, so the gains are smaller, and a sample counts at most twice the
//! current bound: one slow stream among many changes little, while a pace that all
//! streams share is followed within some tens of samples. Streams start a few times a
//! second once an overload is over, so a pace that has fallen to less than half is not
//! followed sample by sample: the statistics start anew.

use std::time::Duration;
use std::time::Instant;

/// Gain of the mean. The dozens of streams that an instance runs at a time each weigh
/// little.
const MEAN_GAIN: f64 = 1.0 / 64.0;
/// Gain of the deviation, twice that of the mean as in the RFC.
const DEVIATION_GAIN: f64 = 2.0 * MEAN_GAIN;
/// Deviations above the mean that a bound allows for, as in the RFC.
const DEVIATIONS: f64 = 4.0;
/// Fewest samples from which a bound is derived: with fewer, one slow stream would raise
/// it above the fixed bounds.
const MIN_SAMPLES: u32 = 16;
/// Time without a sample after which the pace is unknown.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);
/// Highest weight of one sample, as a factor on the current bound.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

/// Longest sample: callers give a stream up that is silent for so long.
const MAX_SAMPLE: Duration = Duration::from_secs(2);
/// Samples in a row below [`LOW_FACTOR`] that show that the pace has fallen. At 6 starts
/// per second they arrive within the 2 s after which service has to be normal again.
const MIN_LOW_SAMPLES: u32 = 8;
/// Least time that these samples take, so that a chance run of the many samples of a busy
/// instance doesn't count.
const MIN_LOW_TIME: Duration = Duration::from_millis(250);
/// Highest of these samples, as a factor on the mean.
const LOW_FACTOR: f64 = 0.5;

/// The observed pace of one kind of event.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    mean_s: f64,
    deviation_s: f64,
    samples: u32,
    last_at: Option<Instant>,
    /// Number of the latest samples that are low, and the time of the first of them.
    low_samples: u32,
    low_since: Option<Instant>,
}

impl Pace {
    /// Records a duration. `fixed` is the lowest bound that is derived from this pace.
    pub(super) fn record(&mut self, took: Duration, fixed: Duration, now: Instant) {
        self.record_low(took, now);
        if !self.is_recent(now) || self.has_fallen(now) {
            *self = Self::default();
        }
        self.last_at = Some(now);
        let longest = self.bound(now).unwrap_or_default().max(fixed);
        let sample_s = took
            .min(MAX_SAMPLE)
            .as_secs_f64()
            .min(longest.as_secs_f64() * MAX_SAMPLE_FACTOR);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_s = sample_s;
            return;
        }
        // The first samples weigh equally, so that none of them dominates.
        let equal = 1.0 / f64::from(self.samples);
        let error_s = sample_s - self.mean_s;
        self.deviation_s += (error_s.abs() - self.deviation_s) * equal.max(DEVIATION_GAIN);
        self.mean_s += error_s * equal.max(MEAN_GAIN);
    }

    /// Mean + 4 deviations; `None` without enough recent samples.
    pub(super) fn bound(&self, now: Instant) -> Option<Duration> {
        let is_known = self.is_recent(now) && self.samples >= MIN_SAMPLES;
        let bound_s = self.mean_s + DEVIATIONS * self.deviation_s;
        is_known.then(|| Duration::from_secs_f64(bound_s))
    }

    fn record_low(&mut self, took: Duration, now: Instant) {
        if took.as_secs_f64() < self.mean_s * LOW_FACTOR {
            self.low_samples += 1;
            self.low_since.get_or_insert(now);
        } else {
            self.low_samples = 0;
            self.low_since = None;
        }
    }

    /// Whether the pace of the latest samples is far below the mean.
    fn has_fallen(&self, now: Instant) -> bool {
        let is_long = self
            .low_since
            .is_some_and(|since| now.saturating_duration_since(since) >= MIN_LOW_TIME);
        self.low_samples >= MIN_LOW_SAMPLES && is_long
    }

    fn is_recent(&self, now: Instant) -> bool {
        self.last_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_SAMPLE_AGE)
    }
}
