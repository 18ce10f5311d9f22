//! What one instance has learned about one engine.
//!
//! All of it is atomics, written on the path of a request without a lock.
//! Reports from the engine come late, so that what was sent since a report's
//! own time is added to it.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::LoadReport;

/// Weight of a new sample in the moving averages, as one in this many.
const AVERAGE_SPAN: u64 = 8;
/// Round trips after which the least one is forgotten, so that a link that
/// has become slower is seen.
const FLOOR_WINDOW: u32 = 256;
/// Floors that an engine of which nothing is known may take.
const UNKNOWN_TIMEOUT_FLOORS: u32 = 10;
/// Positions of a prefill that are guessed to take a step's time before any
/// prefill was seen.
const GUESSED_POSITIONS_A_STEP: u64 = 8;
/// How far back own counts are kept, for reports that come late.
const HISTORY: Duration = Duration::from_secs(3);
/// How often the own count is noted.
const HISTORY_STEP: Duration = Duration::from_millis(20);

/// Learned figures of one engine.
#[derive(Debug, Default)]
pub struct EngineStats {
    /// Own streams on the engine.
    own_streams: AtomicU32,
    /// Streams of other instances, from the last report.
    other_streams: AtomicU32,
    /// Step time as the engine reports it, 0 before the first report.
    step_us: AtomicU64,
    /// Moving average of a one-position step's round trip.
    round_trip_us: AtomicU64,
    /// The least round trip of the window, for the link's share.
    floor_us: AtomicU64,
    floor_samples: AtomicU32,
    /// Moving average of a prefill's time a position.
    position_us: AtomicU64,
    /// Losses in a row.
    failures: AtomicU32,
    history: Mutex<VecDeque<(Instant, u32)>>,
}

impl EngineStats {
    /// Figures of an engine that nothing is known about.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A stream was placed on the engine.
    pub fn stream_started(&self, now: Instant) {
        let count = self.own_streams.fetch_add(1, Ordering::Relaxed) + 1;
        self.note(now, count);
    }

    /// A stream left the engine.
    pub fn stream_ended(&self, now: Instant) {
        let count = self
            .own_streams
            .fetch_sub(1, Ordering::Relaxed)
            .saturating_sub(1);
        self.note(now, count);
    }

    /// A one-position step came back.
    pub fn step_returned(&self, round_trip: Duration) {
        let sample_us = micros(round_trip);
        let average_us = average(self.round_trip_us.load(Ordering::Relaxed), sample_us);
        self.round_trip_us.store(average_us, Ordering::Relaxed);
        let samples = self.floor_samples.fetch_add(1, Ordering::Relaxed);
        let floor_us = self.floor_us.load(Ordering::Relaxed);
        if floor_us == 0 || sample_us < floor_us || samples.is_multiple_of(FLOOR_WINDOW) {
            self.floor_us.store(sample_us, Ordering::Relaxed);
        }
        self.failures.store(0, Ordering::Relaxed);
    }

    /// A step of several positions came back.
    pub fn prefill_returned(&self, round_trip: Duration, positions: u32) {
        let one_us = self.round_trip_us.load(Ordering::Relaxed);
        let sample_us = micros(round_trip).saturating_sub(one_us) / u64::from(positions.max(1));
        let average_us = average(self.position_us.load(Ordering::Relaxed), sample_us);
        self.position_us.store(average_us, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// How long to wait for a step before its engine is taken for lost: a
    /// multiple of what was learned, or else of what the engine reports, but
    /// never less than the floor. An engine of which nothing at all is known
    /// gets ten floors.
    #[must_use]
    pub fn step_timeout(&self, factor: f64, floor: Duration, positions: u32) -> Duration {
        let reported_us = self.step_us();
        if self.round_trip().is_none() && reported_us == 0 {
            return floor * UNKNOWN_TIMEOUT_FLOORS;
        }
        let one = self
            .round_trip()
            .unwrap_or(Duration::from_micros(reported_us));
        let position_us = match self.position_us.load(Ordering::Relaxed) {
            0 => reported_us / GUESSED_POSITIONS_A_STEP,
            learned => learned,
        };
        let prefill = Duration::from_micros(position_us * u64::from(positions.saturating_sub(1)));
        (one + prefill).mul_f64(factor).max(floor)
    }

    /// The engine did not answer; returns the failures in a row.
    pub fn step_lost(&self) -> u32 {
        self.failures.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Takes a load report that was received at `now`.
    pub fn reported(&self, now: Instant, report: &LoadReport) {
        let age = Duration::from_millis(report.age_ms);
        let own_then = self.own_at(now.checked_sub(age).unwrap_or(now));
        let others = report.streams.saturating_sub(own_then);
        self.other_streams.store(others, Ordering::Relaxed);
        if report.step_us > 0 {
            self.step_us.store(report.step_us, Ordering::Relaxed);
        }
    }

    /// Own streams now.
    #[must_use]
    pub fn own_streams(&self) -> u32 {
        self.own_streams.load(Ordering::Relaxed)
    }

    /// Streams of all instances, as estimated now.
    #[must_use]
    pub fn streams(&self) -> u32 {
        self.own_streams()
            .saturating_add(self.other_streams.load(Ordering::Relaxed))
    }

    /// Losses in a row.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Moving average of the round trip, `None` before the first.
    #[must_use]
    pub fn round_trip(&self) -> Option<Duration> {
        let us = self.round_trip_us.load(Ordering::Relaxed);
        (us > 0).then(|| Duration::from_micros(us))
    }

    /// Step time of the engine itself, in microseconds; 0 if not known.
    #[must_use]
    pub fn step_us(&self) -> u64 {
        let reported_us = self.step_us.load(Ordering::Relaxed);
        if reported_us > 0 {
            return reported_us;
        }
        self.floor_us.load(Ordering::Relaxed)
    }

    /// The link's share of the least round trip, in microseconds.
    #[must_use]
    pub fn link_us(&self) -> u64 {
        let step_us = self.step_us.load(Ordering::Relaxed);
        self.floor_us
            .load(Ordering::Relaxed)
            .saturating_sub(step_us)
    }

    fn note(&self, now: Instant, count: u32) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((at, last)) = history.back_mut()
            && now.saturating_duration_since(*at) < HISTORY_STEP
        {
            *last = count;
            return;
        }
        history.push_back((now, count));
        // The last count before the history begins stays in force within it.
        while let Some((next_at, _)) = history.get(1)
            && now.saturating_duration_since(*next_at) > HISTORY
        {
            history.pop_front();
        }
    }

    fn own_at(&self, then: Instant) -> u32 {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let noted = history.iter().rev().find(|(at, _)| *at <= then);
        noted.map_or(0, |(_, count)| *count)
    }
}

fn average(old_us: u64, sample_us: u64) -> u64 {
    if old_us == 0 {
        return sample_us.max(1);
    }
    ((old_us * (AVERAGE_SPAN - 1) + sample_us) / AVERAGE_SPAN).max(1)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
