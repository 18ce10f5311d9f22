//! Bounds after which a silent stream is probed, repaired or run again, which follow the
//! observed pace of the engines.
//!
//! Fixed bounds take an overloaded engine for a failed one: its streams are probed and run
//! again, which adds load. So each bound is the fixed one, or mean + 4 deviations of the
//! pace of delivered events if that is higher. A dead engine delivers nothing and doesn't
//! raise its own bounds.

use std::time::Duration;
use std::time::Instant;

use super::pace::Pace;

/// Highest bound as a factor on the fixed one.
const MAX_FACTOR: u32 = 10;
/// Highest bound: half of the 2 s after which callers give a silent stream up.
const MAX_BOUND: Duration = Duration::from_secs(1);
/// Probes that may be sent beyond one for each started stream: the engines of a few paths
/// that fail together.
const PROBE_RESERVE: u32 = 32;

/// How long a stream may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallBounds {
    /// Between two events, until the path is probed.
    pub running: Duration,
    /// Before the first event, until the path is probed.
    pub first_event: Duration,
    /// Before the first event, until another run is started.
    pub first_event_hung: Duration,
    /// Between two events, until another run is started.
    pub hung: Duration,
}

impl StallBounds {
    /// The bounds without overload, and the lower limits of all others.
    ///
    /// Events arrive every 20 to 50 ms at the published step times; a pause of 200 ms makes
    /// an answer late, and probing and repair need part of that. Another run is worth its
    /// cost from 350 ms without a first event, which leaves a third of the usual objective
    /// of 500 ms to it, and from 500 ms later on, as clients wait for two seconds.
    pub const FIXED: Self = Self {
        running: Duration::from_millis(90),
        first_event: Duration::from_millis(220),
        first_event_hung: Duration::from_millis(350),
        hung: Duration::from_millis(500),
    };

    /// Whether any bound is above the fixed one.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        *self != Self::FIXED
    }
}

/// The pace of one instance's streams of one service, and its budget of probes.
#[derive(Clone, Copy, Debug)]
pub struct PaceTracker {
    first_events: Pace,
    gaps: Pace,
    /// Probes that may be sent while bounds are raised.
    probes_left: u32,
}

impl Default for PaceTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl PaceTracker {
    /// No samples, and a full reserve of probes.
    #[must_use]
    pub fn new() -> Self {
        Self {
            first_events: Pace::default(),
            gaps: Pace::default(),
            probes_left: PROBE_RESERVE,
        }
    }

    /// Records a started stream, which adds a probe to the budget.
    pub fn record_start(&mut self) {
        self.probes_left = (self.probes_left + 1).min(PROBE_RESERVE);
    }

    /// Records the time from sending a run to its first event.
    pub fn record_first_event(&mut self, took: Duration, now: Instant) {
        let fixed = StallBounds::FIXED.first_event;
        self.first_events.record(took, fixed, now);
    }

    /// Records the time between two events of a stream.
    pub fn record_gap(&mut self, took: Duration, now: Instant) {
        self.gaps.record(took, StallBounds::FIXED.running, now);
    }

    /// The current bounds; the fixed ones without recent samples.
    #[must_use]
    pub fn bounds(&self, now: Instant) -> StallBounds {
        let fixed = StallBounds::FIXED;
        let first_event = self.first_events.bound(now);
        let gap = self.gaps.bound(now);
        StallBounds {
            running: raise(fixed.running, gap),
            first_event: raise(fixed.first_event, first_event),
            first_event_hung: raise(fixed.first_event_hung, first_event),
            hung: raise(fixed.hung, gap),
        }
    }

    /// Takes the probe of a stalled stream's engine out of the budget; false if none is
    /// left. The budget applies while bounds are raised.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        if !self.bounds(now).is_raised() {
            return true;
        }
        let is_left = self.probes_left > 0;
        self.probes_left = self.probes_left.saturating_sub(1);
        is_left
    }
}

/// A fixed bound, or that of the pace if it is higher, within the limits.
fn raise(fixed: Duration, of_pace: Option<Duration>) -> Duration {
    let highest = (fixed * MAX_FACTOR).min(MAX_BOUND);
    of_pace.unwrap_or(fixed).clamp(fixed, highest)
}
