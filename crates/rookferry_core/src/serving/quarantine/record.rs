//! The record of one request: crashes under it, its last success and its quarantine.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use super::CrashObservation;
use super::MAX_CRASHES;
use super::QUARANTINE_PERIOD;
use super::RequestSignature;
use super::RunCrash;
use super::ServerKey;
use super::SuspectObservation;
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

#[derive(Clone, Debug)]
pub(super) struct Record {
    /// In order of time.
    pub(super) crashes: Vec<RunCrash>,
    pub(super) finished_at: Option<Instant>,
    pub(super) quarantined_at: Option<Instant>,
    pub(super) changed_at: Instant,
    pub(super) rounds_left: u8,
}

impl Record {
    pub(super) const fn new(finished_at: Option<Instant>, now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            finished_at,
            quarantined_at: None,
            changed_at: now,
            rounds_left: 0,
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
        if self.quarantined_at.is_some() {
            self.quarantined_at = self.last_crash().max(self.quarantined_at);
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
            self.quarantined_at = None;
        }
        is_first || was_quarantined || self.crashes.len() < before
    }

    /// Merges a peer's report of a quarantine. Returns whether there is something to
    /// advertise, which may be that the request succeeded and isn't quarantined.
    pub(super) fn merge_quarantine(&mut self, at: Instant) -> bool {
        if self.finished_at.is_some_and(|finished| at <= finished) {
            return false;
        }
        if self.points() < self.points_to_quarantine(at) && self.succeeded_before(at) {
            return true;
        }
        let is_known = |known: Instant| at.saturating_duration_since(known) < QUARANTINE_PERIOD / 2;
        if self.quarantined_at.is_some_and(is_known) {
            return false;
        }
        self.quarantined_at = Some(at);
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
        } else if !is_enough && self.succeeded_before(at) {
            self.quarantined_at = None;
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
        let elapsed = now.saturating_duration_since(self.quarantined_at?);
        QUARANTINE_PERIOD
            .checked_sub(elapsed)
            .filter(|left| !left.is_zero())
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
        }
    }
}
