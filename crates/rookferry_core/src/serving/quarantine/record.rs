//! The record of one request or prompt segment: crashes under it, its last success, its
//! quarantines and trials.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use super::CLEARED_TTL;
use super::CRASH_TTL;
use super::CrashObservation;
use super::MAX_CRASHES;
use super::QUARANTINE_MEMORY;
use super::QUARANTINE_PERIOD;
use super::RequestSignature;
use super::RunCrash;
use super::ServerKey;
use super::SuspectKind;
use super::SuspectObservation;
use super::crashes::BEGUN_POINTS;
use super::crashes::Evidence;
use super::crashes::sequential_evidence;
use crate::millis::millis;

/// Points from which on a request is quarantined: three servers that crashed at the start
/// of a run, or five that crashed later. One attempt meets two crashes and the caller's
/// retry two more, so a request that merely ran beside the cause each time is still
/// served.
const QUARANTINE_POINTS: u32 = 5;
/// The same for a request that succeeded within [`QUARANTINE_PERIOD`] before: five
/// servers that crashed at the start of a run. A faulty request has no successful run, so
/// this one most likely ran beside the cause, as requests do that many callers send.
const QUARANTINE_POINTS_AFTER_SUCCESS: u32 = 10;
/// Points from which on a prompt segment is paused: two servers that crashed at the start
/// of a run.
const PAUSE_POINTS: u32 = 2 * BEGUN_POINTS;
/// Shortest pause of a suspected prompt segment after a crash, and how much longer the
/// instance with the longest waits. The first run after it shows whether the segment is
/// sound, and the others receive that before theirs ends.
const MIN_PAUSE: Duration = Duration::from_millis(300);
const PAUSE_SPREAD: Duration = Duration::from_millis(2_700);
/// The same after a quarantine, from the first request on.
const TRIAL_SPREAD: Duration = Duration::from_mins(5);
/// How long the trial of a request may take; it shows nothing if it is refused meanwhile.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Factor from one quarantine to the next of the same request: the second lasts 6 hours, so
/// that a faulty one gets two trials in a day.
const PERIOD_FACTOR: u32 = 36;
/// Number of quarantines up to which they get longer.
const MAX_LENGTHENED: u8 = 3;

/// How long the quarantine with this number lasts; the first one has number 1.
pub(in crate::serving) fn quarantine_period(number: u8) -> Duration {
    let earlier = number.clamp(1, MAX_LENGTHENED) - 1;
    QUARANTINE_PERIOD * PERIOD_FACTOR.pow(earlier.into())
}

#[derive(Clone, Debug)]
pub(super) struct Record {
    /// In order of time.
    pub(super) crashes: Vec<RunCrash>,
    pub(super) finished_at: Option<Instant>,
    pub(super) quarantined_at: Option<Instant>,
    /// How often it was quarantined; 0 if never, or if it succeeded since.
    pub(super) quarantines: u8,
    pub(super) changed_at: Instant,
    pub(super) rounds_left: u8,
    /// When this instance may try the request after its quarantine; `None` before a request
    /// has come.
    try_at: Option<Instant>,
    /// Until when a trial of this instance may run.
    trial_until: Option<Instant>,
}

impl Record {
    pub(super) const fn new(finished_at: Option<Instant>, now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            finished_at,
            quarantined_at: None,
            quarantines: 0,
            changed_at: now,
            rounds_left: 0,
            try_at: None,
            trial_until: None,
        }
    }

    /// Adds a crash; returns whether the record changed.
    pub(super) fn add(&mut self, crash: RunCrash) -> bool {
        if self.finished_at.is_some_and(|at| crash.at <= at) {
            return false;
        }
        if let Some(known) = self
            .crashes
            .iter_mut()
            .find(|known| known.server == crash.server)
        {
            let is_new = known.progress < crash.progress;
            known.progress = known.progress.max(crash.progress);
            return is_new;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_weakest();
        }
        if let Some(quarantined_at) = self.quarantined_at {
            if crash.at >= quarantined_at + quarantine_period(self.quarantines) {
                self.quarantines = self.quarantines.saturating_add(1);
            }
            self.quarantined_at = Some(quarantined_at.max(crash.at));
        }
        true
    }

    /// Drops the crash without which the evidence stays strongest; among equals the
    /// oldest, as the last crash counts if the request is quarantined again.
    fn drop_weakest(&mut self) {
        let points_without = |index: usize| {
            let mut others = self.crashes.clone();
            others.remove(index);
            sequential_evidence(&others).points
        };
        let least = (0..self.crashes.len())
            .max_by_key(|index| (points_without(*index), std::cmp::Reverse(*index)));
        if let Some(least) = least {
            self.crashes.remove(least);
        }
    }

    /// Records a success and drops the crashes before it; returns whether to advertise
    /// it.
    pub(super) fn record_success(&mut self, at: Instant) -> bool {
        if self.finished_at >= Some(at) {
            return false;
        }
        // A report that merely went round comes back slightly later; if it counted as a
        // change, it would circulate for ever.
        let is_first = self.finished_at.is_none();
        self.finished_at = Some(at);
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        let was_quarantined = self
            .quarantined_at
            .is_some_and(|quarantined_at| quarantined_at <= at);
        if was_quarantined {
            self.end_quarantine();
        }
        is_first || was_quarantined || self.crashes.len() < before
    }

    fn end_quarantine(&mut self) {
        self.quarantined_at = None;
        self.quarantines = 0;
    }

    /// Merges a peer's report of a quarantine. Returns whether there is something to
    /// advertise, which may be that the request succeeded and isn't quarantined.
    pub(super) fn merge_quarantine(&mut self, at: Instant, quarantines: u8) -> bool {
        if self.finished_at.is_some_and(|finished| at <= finished) {
            return false;
        }
        if self.points() < self.points_to_quarantine(at) && self.succeeded_before(at) {
            return true;
        }
        let is_later = quarantines > self.quarantines;
        self.quarantines = self.quarantines.max(quarantines).max(1);
        let is_known = |known: Instant| at.saturating_duration_since(known) < QUARANTINE_PERIOD / 2;
        if self.quarantined_at.is_some_and(is_known) {
            return is_later;
        }
        self.quarantined_at = self.quarantined_at.max(Some(at));
        true
    }

    /// Quarantines the request if the crashes that aren't attributed to other requests
    /// are enough. Ends the quarantine if the request turns out to have succeeded within
    /// [`QUARANTINE_PERIOD`] before, which takes more points.
    pub(super) fn decide(&mut self, is_attributed: impl Fn(ServerKey) -> bool) {
        let Some(at) = self.quarantined_at.or(self.last_crash()) else {
            return;
        };
        let is_enough = self.points() >= self.points_to_quarantine(at);
        let own_crashes = self
            .crashes
            .iter()
            .filter(|crash| !is_attributed(crash.server));
        let own_crashes: Vec<RunCrash> = own_crashes.copied().collect();
        let is_enough_alone =
            sequential_evidence(&own_crashes).points >= self.points_to_quarantine(at);
        if is_enough_alone && self.quarantined_at.is_none() {
            self.quarantined_at = Some(at);
            self.quarantines = self.quarantines.max(1);
        } else if !is_enough && self.succeeded_before(at) {
            self.end_quarantine();
        }
    }

    fn points_to_quarantine(&self, at: Instant) -> u32 {
        if self.succeeded_before(at) {
            QUARANTINE_POINTS_AFTER_SUCCESS
        } else {
            QUARANTINE_POINTS
        }
    }

    /// Whether it succeeded within [`QUARANTINE_PERIOD`] before `at`.
    fn succeeded_before(&self, at: Instant) -> bool {
        self.finished_at
            .is_some_and(|finished| at.saturating_duration_since(finished) < QUARANTINE_PERIOD)
    }

    pub(super) fn points(&self) -> u32 {
        self.evidence().points
    }

    /// Evidence against it, for comparison: points, and among equals how soon the servers
    /// crashed after it reached them.
    pub(super) fn strength(&self) -> (u32, Reverse<Duration>) {
        let crashes = self.crashes.iter();
        let lasted = crashes.map(|crash| crash.at.saturating_duration_since(crash.joined_at));
        (self.points(), Reverse(lasted.sum()))
    }

    /// How many crashes count.
    pub(super) fn sequential_crashes(&self) -> usize {
        self.evidence().crashes
    }

    fn evidence(&self) -> Evidence {
        sequential_evidence(&self.crashes)
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Time until its quarantine ends; `None` if it isn't quarantined.
    pub(super) fn quarantine_left(&self, now: Instant) -> Option<Duration> {
        let period = quarantine_period(self.quarantines);
        time_left(self.quarantined_at?, period, now)
    }

    /// Whether only trials of it may run: it was quarantined, or is a prompt segment that
    /// is suspected enough, and hasn't succeeded since.
    pub(super) fn needs_trial(&self, kind: SuspectKind) -> bool {
        let is_paused = || {
            self.points() >= PAUSE_POINTS
                && self
                    .last_crash()
                    .is_some_and(|at| !self.succeeded_before(at))
        };
        self.quarantined_at.is_some() || kind == SuspectKind::PromptSegment && is_paused()
    }

    /// Begins a trial at an instance with this spread, from 0 to 1; the time to wait if it
    /// isn't due, or another one runs.
    pub(super) fn begin_trial(&mut self, spread: f64, now: Instant) -> Result<(), Duration> {
        let try_at = if let Some(left) = self.quarantine_left(now) {
            self.try_at = None;
            now + left
        } else if self.quarantined_at.is_some() {
            *self
                .try_at
                .get_or_insert(now + TRIAL_SPREAD.mul_f64(spread))
        } else {
            let last_crash = self.last_crash().unwrap_or(now);
            last_crash + MIN_PAUSE + PAUSE_SPREAD.mul_f64(spread)
        };
        let free_at = self.trial_until.max(Some(try_at)).unwrap_or(try_at);
        if free_at > now {
            return Err(free_at - now);
        }
        self.trial_until = Some(now + TRIAL_TIMEOUT);
        Ok(())
    }

    /// Until when the record is of use after its last change.
    pub(super) fn ttl(&self) -> Duration {
        if self.is_cleared() {
            CLEARED_TTL
        } else if self.quarantined_at.is_some() {
            quarantine_period(self.quarantines) + QUARANTINE_MEMORY
        } else {
            CRASH_TTL
        }
    }

    /// Whether a success is known that clears one of these crashes.
    pub(super) fn has_cleared(&self, crashes: impl IntoIterator<Item = RunCrash>) -> bool {
        let mut crashes = crashes.into_iter();
        let finished_at = self.finished_at;
        crashes.any(|crash| finished_at.is_some_and(|at| crash.at <= at))
    }

    /// Whether there is no crash and no quarantine.
    pub(super) fn is_cleared(&self) -> bool {
        self.crashes.is_empty() && self.quarantined_at.is_none()
    }

    /// Whether nothing is recorded, not even a success.
    pub(super) fn is_blank(&self) -> bool {
        self.is_cleared() && self.finished_at.is_none()
    }

    pub(super) fn observation(
        &self,
        signature: RequestSignature,
        now: Instant,
    ) -> SuspectObservation {
        let age_ms = |at: Instant| millis(now.saturating_duration_since(at));
        let crashes = self
            .crashes
            .iter()
            .map(|crash| CrashObservation::new(crash, now));
        SuspectObservation {
            signature,
            ends: crashes.collect(),
            finished_ms: self.finished_at.map(age_ms),
            held_ms: self.quarantined_at.map(age_ms),
            quarantines: self.quarantines,
        }
    }
}

fn time_left(from: Instant, period: Duration, now: Instant) -> Option<Duration> {
    let left = period.checked_sub(now.saturating_duration_since(from))?;
    (!left.is_zero()).then_some(left)
}
