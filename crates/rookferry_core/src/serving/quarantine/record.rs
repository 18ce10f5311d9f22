//! The record of one request: crashes under it, its last success and its quarantine.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use super::EndSeen;
use super::HELD_FOR;
use super::MAX_ENDS;
use super::RequestSignature;
use super::RunEnd;
use super::ServerKey;
use super::SuspectSeen;
use super::ends::Evidence;
use super::ends::in_turn;
use crate::millis::millis;

/// Points from which on a request is quarantined: three servers that crashed at the start
/// of a run, or five that crashed later. One attempt meets two crashes and the caller's
/// retry two more, so a request that merely ran beside the cause each time is still
/// served.
const HELD_POINTS: u32 = 5;
/// The same for a request that succeeded within [`HELD_FOR`] before: five servers that
/// crashed at the start of a run. A faulty request has no successful run, so this one
/// most likely ran beside the cause, as requests do that many callers send.
const HELD_POINTS_AFTER_FINISH: u32 = 10;

#[derive(Clone, Debug)]
pub(super) struct Record {
    /// In order of time.
    pub(super) ends: Vec<RunEnd>,
    pub(super) finished_at: Option<Instant>,
    pub(super) held_at: Option<Instant>,
    pub(super) changed_at: Instant,
    pub(super) rounds_left: u8,
}

impl Record {
    pub(super) const fn new(finished_at: Option<Instant>, now: Instant) -> Self {
        Self {
            ends: Vec::new(),
            finished_at,
            held_at: None,
            changed_at: now,
            rounds_left: 0,
        }
    }

    /// Adds a crash; returns whether the record changed.
    pub(super) fn add(&mut self, end: RunEnd) -> bool {
        if self.finished_at.is_some_and(|at| end.at <= at) {
            return false;
        }
        if let Some(known) = self
            .ends
            .iter_mut()
            .find(|known| known.server == end.server)
        {
            let is_news = known.progress < end.progress;
            known.progress = known.progress.max(end.progress);
            return is_news;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|end| end.at);
        if self.ends.len() > MAX_ENDS {
            self.drop_one();
        }
        if self.held_at.is_some() {
            self.held_at = self.last_end().max(self.held_at);
        }
        true
    }

    /// Drops the crash without which the evidence stays strongest; among equals the
    /// oldest, as the last crash counts if the request is quarantined again.
    fn drop_one(&mut self) {
        let points_without = |index: usize| {
            let mut others = self.ends.clone();
            others.remove(index);
            in_turn(&others).points
        };
        let least = (0..self.ends.len())
            .max_by_key(|index| (points_without(*index), std::cmp::Reverse(*index)));
        if let Some(least) = least {
            self.ends.remove(least);
        }
    }

    /// Records a success and drops the crashes before it; returns whether to advertise
    /// it.
    pub(super) fn finish(&mut self, at: Instant) -> bool {
        if self.finished_at >= Some(at) {
            return false;
        }
        // A report that merely went round comes back slightly later; if it counted as a
        // change, it would circulate for ever.
        let is_first = self.finished_at.is_none();
        self.finished_at = Some(at);
        let before = self.ends.len();
        self.ends.retain(|end| end.at > at);
        let was_held = self.held_at.is_some_and(|held_at| held_at <= at);
        if was_held {
            self.held_at = None;
        }
        is_first || was_held || self.ends.len() < before
    }

    /// Merges a peer's report of a quarantine. Returns whether there is something to
    /// advertise, which may be that the request succeeded and isn't quarantined.
    pub(super) fn hold(&mut self, at: Instant) -> bool {
        if self.finished_at.is_some_and(|finished| at <= finished) {
            return false;
        }
        if self.points() < self.points_to_hold(at) && self.ended_well_before(at) {
            return true;
        }
        let is_known = |known: Instant| at.saturating_duration_since(known) < HELD_FOR / 2;
        if self.held_at.is_some_and(is_known) {
            return false;
        }
        self.held_at = Some(at);
        true
    }

    /// Quarantines the request if the crashes that aren't attributed to other requests
    /// are enough. Ends the quarantine if the request turns out to have succeeded within
    /// [`HELD_FOR`] before, which takes more points.
    pub(super) fn decide(&mut self, is_accounted: impl Fn(ServerKey) -> bool) {
        let Some(at) = self.held_at.or(self.last_end()) else {
            return;
        };
        let is_enough = self.points() >= self.points_to_hold(at);
        let own_ends = self.ends.iter().filter(|end| !is_accounted(end.server));
        let own_ends: Vec<RunEnd> = own_ends.copied().collect();
        let is_enough_alone = in_turn(&own_ends).points >= self.points_to_hold(at);
        if is_enough_alone && self.held_at.is_none() {
            self.held_at = Some(at);
        } else if !is_enough && self.ended_well_before(at) {
            self.held_at = None;
        }
    }

    fn points_to_hold(&self, at: Instant) -> u32 {
        if self.ended_well_before(at) {
            HELD_POINTS_AFTER_FINISH
        } else {
            HELD_POINTS
        }
    }

    /// Whether it succeeded within [`HELD_FOR`] before `at`.
    fn ended_well_before(&self, at: Instant) -> bool {
        self.finished_at
            .is_some_and(|finished| at.saturating_duration_since(finished) < HELD_FOR)
    }

    pub(super) fn points(&self) -> u32 {
        self.evidence().points
    }

    /// Evidence against it, for comparison: points, and among equals how soon the servers
    /// crashed after it reached them.
    pub(super) fn strength(&self) -> (u32, Reverse<Duration>) {
        let ends = self.ends.iter();
        let lasted = ends.map(|end| end.at.saturating_duration_since(end.joined_at));
        (self.points(), Reverse(lasted.sum()))
    }

    /// How many crashes count.
    pub(super) fn in_turn(&self) -> usize {
        self.evidence().ends
    }

    fn evidence(&self) -> Evidence {
        in_turn(&self.ends)
    }

    fn last_end(&self) -> Option<Instant> {
        self.ends.iter().map(|end| end.at).max()
    }

    /// Time until its quarantine ends; `None` if it isn't quarantined.
    pub(super) fn held_for(&self, now: Instant) -> Option<Duration> {
        let held = now.saturating_duration_since(self.held_at?);
        HELD_FOR.checked_sub(held).filter(|left| !left.is_zero())
    }

    /// Whether there is no crash and no quarantine.
    pub(super) fn is_cleared(&self) -> bool {
        self.ends.is_empty() && self.held_at.is_none()
    }

    /// Whether nothing is recorded, not even a success.
    pub(super) fn is_blank(&self) -> bool {
        self.is_cleared() && self.finished_at.is_none()
    }

    pub(super) fn seen(&self, signature: RequestSignature, now: Instant) -> SuspectSeen {
        let age_ms = |at: Instant| millis(now.saturating_duration_since(at));
        let ends = self.ends.iter().map(|end| EndSeen::new(end, now));
        SuspectSeen {
            signature,
            ends: ends.collect(),
            finished_ms: self.finished_at.map(age_ms),
            held_ms: self.held_at.map(age_ms),
        }
    }
}
