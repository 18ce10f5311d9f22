//! Load and latency of one engine (or service instance), as measured by one instance.
//!
//! All figures are atomics, so that the request path updates them without a lock; only
//! the history of stream counts is behind a mutex. Load reports arrive with a delay: of
//! the streams in a report, those that this instance had at the time of the report are
//! subtracted, and its current ones are added.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::LoadReport;

/// Reciprocal of the weight of a new sample in the moving averages.
const AVERAGE_DIVISOR: u64 = 8;
/// Round trips after which the minimum is reset, so that a link that has become slower
/// is detected.
const MIN_ROUND_TRIP_WINDOW: u32 = 256;
/// Step timeout of an engine without measurements, in multiples of the minimum timeout.
const UNMEASURED_TIMEOUT_FLOORS: u32 = 10;
/// Prefill positions that are assumed to take as long as one step, until a prefill was
/// measured.
const ASSUMED_POSITIONS_PER_STEP: u64 = 8;
/// How long own stream counts are retained, for load reports that arrive late.
const HISTORY_RETENTION: Duration = Duration::from_secs(3);
/// Resolution of the history of own stream counts.
const HISTORY_RESOLUTION: Duration = Duration::from_millis(20);

/// Measurements of one engine, updated concurrently.
#[derive(Debug, Default)]
pub struct EngineStats {
    /// Streams of this instance on the engine.
    own_streams: AtomicU32,
    /// Streams of other instances, from the last load report.
    other_streams: AtomicU32,
    /// Step time reported by the engine; 0 before the first report.
    step_us: AtomicU64,
    /// Moving average of the round trip of a one-position step; 0 before the first.
    round_trip_us: AtomicU64,
    /// Minimum round trip of the window, from which the link time is derived.
    min_round_trip_us: AtomicU64,
    round_trip_samples: AtomicU32,
    /// Moving average of the prefill time per position.
    prefill_position_us: AtomicU64,
    /// Consecutive failures.
    consecutive_failures: AtomicU32,
    /// Own stream counts, each with the time from which it applies; oldest first.
    history: Mutex<VecDeque<(Instant, u32)>>,
}

impl EngineStats {
    /// Statistics without any measurement.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a stream that was placed on the engine.
    pub fn record_stream_start(&self, now: Instant) {
        let count = self.own_streams.fetch_add(1, Ordering::Relaxed) + 1;
        self.record_count(now, count);
    }

    /// Removes a stream that left the engine from the count.
    pub fn record_stream_end(&self, now: Instant) {
        let count = self
            .own_streams
            .fetch_sub(1, Ordering::Relaxed)
            .saturating_sub(1);
        self.record_count(now, count);
    }

    /// Adds the round trip of a one-position step and clears the failures.
    pub fn record_step(&self, round_trip: Duration) {
        let sample_us = micros(round_trip);
        let average_us = average(self.round_trip_us.load(Ordering::Relaxed), sample_us);
        self.round_trip_us.store(average_us, Ordering::Relaxed);
        let samples = self.round_trip_samples.fetch_add(1, Ordering::Relaxed);
        let min_round_trip_us = self.min_round_trip_us.load(Ordering::Relaxed);
        if min_round_trip_us == 0
            || sample_us < min_round_trip_us
            || samples.is_multiple_of(MIN_ROUND_TRIP_WINDOW)
        {
            self.min_round_trip_us.store(sample_us, Ordering::Relaxed);
        }
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Adds the round trip of a step of several positions and clears the failures.
    pub fn record_prefill(&self, round_trip: Duration, positions: u32) {
        let one_us = self.round_trip_us.load(Ordering::Relaxed);
        let sample_us = micros(round_trip).saturating_sub(one_us) / u64::from(positions.max(1));
        let average_us = average(self.prefill_position_us.load(Ordering::Relaxed), sample_us);
        self.prefill_position_us
            .store(average_us, Ordering::Relaxed);
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Time to wait for a step before its engine counts as lost.
    ///
    /// `factor` times the measured duration, or else the one the engine reports, but at
    /// least `floor`. Ten times `floor` for an engine with neither.
    #[must_use]
    pub fn step_timeout(&self, factor: f64, floor: Duration, positions: u32) -> Duration {
        let reported_us = self.step_us();
        if self.round_trip().is_none() && reported_us == 0 {
            return floor * UNMEASURED_TIMEOUT_FLOORS;
        }
        let one = self
            .round_trip()
            .unwrap_or(Duration::from_micros(reported_us));
        let prefill_position_us = match self.prefill_position_us.load(Ordering::Relaxed) {
            0 => reported_us / ASSUMED_POSITIONS_PER_STEP,
            learned => learned,
        };
        let prefill =
            Duration::from_micros(prefill_position_us * u64::from(positions.saturating_sub(1)));
        (one + prefill).mul_f64(factor).max(floor)
    }

    /// Counts a step without answer; returns the number of consecutive failures.
    pub fn record_loss(&self) -> u32 {
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Applies a load report received at `now`, corrected for its age.
    pub fn record_report(&self, now: Instant, report: &LoadReport) {
        let age = Duration::from_millis(report.age_ms);
        let own_then = self.own_streams_at(now.checked_sub(age).unwrap_or(now));
        let others = report.streams.saturating_sub(own_then);
        self.other_streams.store(others, Ordering::Relaxed);
        if report.step_us > 0 {
            self.step_us.store(report.step_us, Ordering::Relaxed);
        }
    }

    /// Streams of this instance on the engine.
    #[must_use]
    pub fn own_streams(&self) -> u32 {
        self.own_streams.load(Ordering::Relaxed)
    }

    /// Estimated streams of all instances on the engine.
    #[must_use]
    pub fn streams(&self) -> u32 {
        self.own_streams()
            .saturating_add(self.other_streams.load(Ordering::Relaxed))
    }

    /// Consecutive failures since the last answer.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures.load(Ordering::Relaxed)
    }

    /// Moving average of the round trip; `None` before the first sample.
    #[must_use]
    pub fn round_trip(&self) -> Option<Duration> {
        let us = self.round_trip_us.load(Ordering::Relaxed);
        (us > 0).then(|| Duration::from_micros(us))
    }

    /// Step time in microseconds: as reported, else the minimum round trip; 0 if neither
    /// is known.
    #[must_use]
    pub fn step_us(&self) -> u64 {
        let reported_us = self.step_us.load(Ordering::Relaxed);
        if reported_us > 0 {
            return reported_us;
        }
        self.min_round_trip_us.load(Ordering::Relaxed)
    }

    /// Link time in microseconds: minimum round trip less the reported step time.
    #[must_use]
    pub fn link_us(&self) -> u64 {
        let step_us = self.step_us.load(Ordering::Relaxed);
        self.min_round_trip_us
            .load(Ordering::Relaxed)
            .saturating_sub(step_us)
    }

    fn record_count(&self, now: Instant, count: u32) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((at, last)) = history.back_mut()
            && now.saturating_duration_since(*at) < HISTORY_RESOLUTION
        {
            *last = count;
            return;
        }
        history.push_back((now, count));
        // The newest count older than the retention stays: it applies at the start of the
        // history.
        while let Some((next_at, _)) = history.get(1)
            && now.saturating_duration_since(*next_at) > HISTORY_RETENTION
        {
            history.pop_front();
        }
    }

    fn own_streams_at(&self, then: Instant) -> u32 {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = history.iter().rev().find(|(at, _)| *at <= then);
        newest.map_or(0, |(_, count)| *count)
    }
}

fn average(old_us: u64, sample_us: u64) -> u64 {
    if old_us == 0 {
        return sample_us.max(1);
    }
    ((old_us * (AVERAGE_DIVISOR - 1) + sample_us) / AVERAGE_DIVISOR).max(1)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
