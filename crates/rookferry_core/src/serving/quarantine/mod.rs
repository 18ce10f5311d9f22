//! Requests that are kept from servers because servers end under them.
//!
//! Load pattern: a request makes each server end that begins to run it, and
//! comes again under another id, at any instance, for as long as its caller
//! tries. Each end costs the server's other requests their run and the site the
//! server for seconds. So instances keep under which requests servers have ended,
//! whatever their ids, and tell each other.
//!
//! An end says little by itself, as every request that the server had is under
//! it. What tells the one at fault from those beside it: it never ends well, so
//! a run that does clears a request; its server ends when it has begun, so an end
//! after part of the answer had come counts for half; and it ends servers in turn,
//! so that ends of servers that may have gone together count as one.

mod ends;
mod record;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::RequestSignature;
use super::ServerKey;
use super::finished_requests::FinishedRequests;
use record::Record;

pub use ends::EndSeen;
pub use ends::RunEnd;
pub use ends::RunId;
pub use ends::RunProgress;

/// How long a request is held after the last end under it: an end then costs
/// one server a restart of seconds each ten minutes, and a mended one is served.
pub(in crate::serving) const HELD_FOR: Duration = Duration::from_mins(10);
/// How long an end counts; one after a time of being held holds it again.
const KEPT: Duration = Duration::from_hours(1);
/// How long it is kept that a request was cleared, for those that are yet to
/// hear of an end before.
const CLEARED_KEPT: Duration = Duration::from_secs(30);
/// Most requests that are kept: those of ten engines that end full, twice.
const MAX_RECORDS: usize = 4_096;
/// The part of them that goes at once where there is no room, one in so many.
const DROPPED_PART: usize = 8;
/// Ends that are kept of one request; more change nothing.
const MAX_ENDS: usize = 5;
/// Rounds in which a change is told: two to other failure domains, and as many
/// heartbeats to its own as make a lost one no matter.
const TOLD_ROUNDS: u8 = 8;

/// What is known of a request, as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectSeen {
    /// The request.
    pub signature: RequestSignature,
    /// Servers that ended under it.
    pub ends: Vec<EndSeen>,
    /// How long ago a run of it ended well, in milliseconds, if one did.
    pub finished_ms: Option<u64>,
    /// How long ago it was first held, in milliseconds, if it is.
    pub held_ms: Option<u64>,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing speaks against it.
    None,
    /// Servers ended under it, too few to hold it.
    Suspected {
        /// How many.
        servers: usize,
    },
    /// It is held.
    Held {
        /// How much longer.
        left: Duration,
    },
}

/// What a change came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It says nothing new, or not enough.
    None,
    /// The request is held from now on.
    Held,
    /// It isn't held any more: it ended well.
    Released,
}

/// What accounts for a server's end.
#[derive(Clone, Copy, Debug)]
struct Accounting {
    by: RequestSignature,
    /// What speaks against it.
    points: u32,
}

/// The requests under which servers ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<RequestSignature, Record>,
    /// Servers whose ends a held request accounts for. Those that were beside it on
    /// each of them look alike, and one is at fault.
    accounted: HashMap<ServerKey, Accounting>,
    /// Those that ended well lately.
    finished: FinishedRequests,
    /// The held request that was last told without being news.
    last_told: Option<RequestSignature>,
}

impl Quarantine {
    /// Nothing speaks against any request.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether nothing is kept of any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many requests something is kept of.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Of how many requests it is kept that they ended well.
    #[must_use]
    pub fn finished_len(&self) -> usize {
        self.finished.len()
    }

    /// A server ended under a request.
    pub fn note_end(
        &mut self,
        signature: RequestSignature,
        end: RunEnd,
        now: Instant,
    ) -> QuarantineChange {
        self.update(signature, now, |record| record.add(end))
    }

    /// A server ended under several requests; tells which changed, and how. Of those
    /// with enough against them the one with the most is held, as one is at fault.
    pub fn note_ends(
        &mut self,
        ends: &[(RequestSignature, RunEnd)],
        now: Instant,
    ) -> Vec<(RequestSignature, QuarantineChange)> {
        // By request, whether it was held: several runs of one may have been there.
        let mut suspects: HashMap<RequestSignature, bool> = HashMap::new();
        for (signature, end) in ends {
            let was_held = self.change(*signature, now, |record| record.add(*end));
            suspects.entry(*signature).or_insert(was_held);
        }
        let mut suspects: Vec<_> = suspects.into_iter().collect();
        suspects.sort_by_cached_key(|(signature, _)| {
            let record = self.records.get(signature);
            (Reverse(record.map(Record::strength)), *signature)
        });
        let decided = suspects.into_iter().map(|(signature, was_held)| {
            let change = self.decide(signature, was_held, now);
            (signature, change)
        });
        decided.collect()
    }

    /// A run of a request ended well.
    pub fn note_finished(&mut self, signature: RequestSignature, now: Instant) -> QuarantineChange {
        self.finished.note(signature, now);
        if !self.records.contains_key(&signature) {
            return QuarantineChange::None;
        }
        self.update(signature, now, |record| record.finish(now))
    }

    /// Takes another instance's word in.
    pub fn learn(&mut self, seen: &SuspectSeen, now: Instant) -> QuarantineChange {
        let before = |age_ms: u64| now.checked_sub(Duration::from_millis(age_ms));
        let ends = seen.ends.iter().take(MAX_ENDS);
        let ends = ends.filter_map(|end| end.end(now));
        let finished_at = seen.finished_ms.and_then(before);
        let held_at = seen.held_ms.and_then(before);
        self.update(seen.signature, now, |record| {
            let is_finished = finished_at.is_some_and(|at| record.finish(at));
            let new_ends = ends.filter(|end| record.add(*end)).count();
            let is_held = held_at.is_some_and(|at| record.hold(at));
            is_finished || new_ends > 0 || is_held
        })
    }

    /// What is to be done with a request.
    #[must_use]
    pub fn suspicion(&self, signature: RequestSignature, now: Instant) -> Suspicion {
        let Some(record) = self.records.get(&signature) else {
            return Suspicion::None;
        };
        if let Some(left) = record.held_for(now) {
            return Suspicion::Held { left };
        }
        match record.ends.len() {
            0 => Suspicion::None,
            servers => Suspicion::Suspected { servers },
        }
    }

    /// How many servers ended under a request since it last ended well.
    #[must_use]
    pub fn ends(&self, signature: RequestSignature) -> usize {
        let record = self.records.get(&signature);
        record.map_or(0, |record| record.ends.len())
    }

    /// How many of them count: those that ended in turn.
    #[must_use]
    pub fn ends_in_turn(&self, signature: RequestSignature) -> usize {
        let record = self.records.get(&signature);
        record.map_or(0, Record::in_turn)
    }

    /// Whether a request is known to have ended well, and isn't held.
    #[must_use]
    pub fn is_cleared(&self, signature: RequestSignature) -> bool {
        let record = self.records.get(&signature);
        record.is_some_and(|record| record.finished_at.is_some() && record.held_at.is_none())
    }

    /// The requests that are held.
    pub fn held(&self, now: Instant) -> impl Iterator<Item = (RequestSignature, Instant)> {
        let records = self.records.iter();
        records.filter_map(move |(signature, record)| {
            record.held_for(now)?;
            Some((*signature, record.held_at?))
        })
    }

    /// What to tell in the next round: changes, at most `most`, and one of the
    /// held requests in turn, for those that have started since.
    pub fn next_told(&mut self, most: usize, now: Instant) -> Vec<SuspectSeen> {
        self.expire(now);
        let mut told = Vec::new();
        let mut news: Vec<_> = self
            .records
            .iter_mut()
            .filter(|(_, record)| record.rounds_left > 0)
            .collect();
        // Those held or nearest to it first, and of these the newest.
        news.sort_by_key(|(_, record)| Reverse((record.points(), record.changed_at)));
        for (signature, record) in news.into_iter().take(most) {
            record.rounds_left -= 1;
            told.push(record.seen(*signature, now));
        }
        if let Some(held) = self.next_held(now) {
            let is_told = told.iter().any(|seen| seen.signature == held.signature);
            if !is_told && told.len() < most {
                told.push(held);
            }
        }
        told
    }

    /// What an instance is told that has just started.
    #[must_use]
    pub fn told_at_start(&self, most: usize, now: Instant) -> Vec<SuspectSeen> {
        let held = self.held(now).take(most);
        held.filter_map(|(signature, _)| {
            let record = self.records.get(&signature)?;
            Some(record.seen(signature, now))
        })
        .collect()
    }

    fn next_held(&mut self, now: Instant) -> Option<SuspectSeen> {
        let held = || self.held(now).map(|(signature, _)| signature);
        let after = held()
            .filter(|signature| Some(*signature) > self.last_told)
            .min();
        let next = after.or_else(|| held().min())?;
        self.last_told = Some(next);
        Some(self.records.get(&next)?.seen(next, now))
    }

    /// Changes what is kept of a request; `change` tells whether it is news.
    fn update(
        &mut self,
        signature: RequestSignature,
        now: Instant,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> QuarantineChange {
        let was_held = self.change(signature, now, change);
        self.decide(signature, was_held, now)
    }

    /// The same without a decision; tells whether it was held before.
    fn change(
        &mut self,
        signature: RequestSignature,
        now: Instant,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> bool {
        self.make_room(signature, now);
        let finished_at = self.finished.last(signature);
        let record = self.records.entry(signature);
        let record = record.or_insert_with(|| Record::new(finished_at, now));
        let was_held = record.held_for(now).is_some();
        if change(record) {
            record.changed_at = now;
            record.rounds_left = TOLD_ROUNDS;
        }
        was_held
    }

    fn decide(
        &mut self,
        signature: RequestSignature,
        was_held: bool,
        now: Instant,
    ) -> QuarantineChange {
        let Some(record) = self.records.get_mut(&signature) else {
            return QuarantineChange::None;
        };
        let points = record.points();
        // One with more against it than the one that is held may well be at fault.
        record.decide(|server| {
            let accounting = self.accounted.get(&server);
            accounting.is_some_and(|one| one.by != signature && one.points >= points)
        });
        let is_held = record.held_for(now).is_some();
        if is_held {
            let own = Accounting {
                by: signature,
                points,
            };
            for end in &record.ends {
                let known = self.accounted.entry(end.server).or_insert(own);
                if known.points < points || known.by == signature {
                    *known = own;
                }
            }
        } else if was_held {
            self.accounted.retain(|_, one| one.by != signature);
        }
        if record.is_blank() {
            self.records.remove(&signature);
        }
        match (was_held, is_held) {
            (false, true) => QuarantineChange::Held,
            (true, false) => QuarantineChange::Released,
            _ => QuarantineChange::None,
        }
    }

    /// Makes room for another request: drops what is old, or else a part of
    /// those with the least against them.
    fn make_room(&mut self, signature: RequestSignature, now: Instant) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&signature) {
            return;
        }
        self.expire(now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let strength = |record: &Record| {
            let is_held = record.held_for(now).is_some();
            (is_held, record.points(), record.changed_at)
        };
        let records = self.records.iter();
        let mut weakest: Vec<_> = records
            .map(|(signature, record)| (strength(record), *signature))
            .collect();
        weakest.sort_unstable();
        for (_, signature) in weakest.into_iter().take(MAX_RECORDS / DROPPED_PART) {
            self.records.remove(&signature);
        }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            let kept = if record.is_cleared() {
                CLEARED_KEPT
            } else {
                KEPT
            };
            now.saturating_duration_since(record.changed_at) < kept
        });
        let records = &self.records;
        self.accounted
            .retain(|_, one| records.contains_key(&one.by));
    }
}
