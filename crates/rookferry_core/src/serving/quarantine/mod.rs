//! Quarantine of requests, and of prompt segments, that crash servers.
//!
//! Load pattern: a request crashes each server that starts to run it, and is sent again
//! under another id, to any instance, for as long as its caller retries. Each crash costs
//! the server's other requests their run, and the site the server for seconds. So
//! instances record under which request signatures servers have crashed, and report it to
//! each other.
//!
//! One crash is weak evidence, as it hits every request that the server was running. What
//! distinguishes the faulty request: it never succeeds, so a successful run clears a
//! request; its server crashes at the start, so a crash after part of the answer counts
//! for half; and it crashes servers sequentially, so crashes of servers that may have
//! failed together count as one.
//!
//! The same holds for a prompt segment that crashes each engine which begins to answer on
//! it, in requests that have nothing else in common. One event of an answer shows that a
//! segment is sound, so those in use are cleared within moments, and a suspected one may be
//! paused early: instances then try it one request at a time, each after another pause.
//! What is said of requests below holds for segments, but where they are named.

mod crashes;
mod record;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::QuarantineStart;
use super::RequestSignature;
use super::ServerKey;
use super::finished_requests::FinishedRequests;
use crate::millis::millis;
use record::Record;

pub(in crate::serving) use record::quarantine_period;

pub use crashes::CrashObservation;
pub use crashes::RunCrash;
pub use crashes::RunId;
pub use crashes::RunProgress;

/// How long a request is quarantined after the last crash under it, for the first time.
pub(in crate::serving) const QUARANTINE_PERIOD: Duration = Duration::from_mins(10);
/// How long a crash counts.
const CRASH_TTL: Duration = Duration::from_hours(1);
/// How long a quarantine is remembered after its end: the next crash starts it again, for a
/// longer time.
pub(in crate::serving) const QUARANTINE_MEMORY: Duration = Duration::from_hours(24);
/// How long it is remembered that a request was cleared, for peers that have yet to
/// receive an earlier crash.
const CLEARED_TTL: Duration = Duration::from_secs(30);
/// Most requests that are recorded: those of ten engines that crash fully loaded, twice.
const MAX_RECORDS: usize = 4_096;
/// Divisor of the records: that part is dropped at once when there are too many.
const DROP_DIVISOR: usize = 8;
/// Most crashes that are stored per request; more don't change the decision.
const MAX_CRASHES: usize = 5;
/// Rounds in which a change is advertised: two to other failure domains, and so many
/// heartbeats to its own that a lost one doesn't matter.
const ADVERTISED_ROUNDS: u8 = 8;

/// What is known of a request, or of a prompt segment, as reported to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectObservation {
    /// The request, or the segment.
    pub signature: RequestSignature,
    /// Servers that crashed under it.
    pub ends: Vec<CrashObservation>,
    /// Time since a run of it succeeded, in milliseconds, if one did.
    pub finished_ms: Option<u64>,
    /// Time since its quarantine started or was extended, in milliseconds, if it is
    /// quarantined.
    pub held_ms: Option<u64>,
    /// How often it was quarantined.
    pub quarantines: u8,
}

/// What is known against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing.
    None,
    /// Servers crashed under it, too few to quarantine it.
    Suspected {
        /// How many.
        servers: usize,
    },
    /// It is quarantined.
    Quarantined {
        /// Time until the quarantine ends.
        left: Duration,
    },
}

/// What a signature stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectKind {
    /// A request, with its content.
    Request,
    /// A segment of prompts.
    PromptSegment,
}

/// Whether a request may run that isn't quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may.
    Free,
    /// It may as the only one here, as its run shows whether servers still crash.
    Trial,
    /// Not yet.
    Denied {
        /// Time until a trial may begin.
        wait: Duration,
    },
}

/// How the state of a request changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It did not.
    None,
    /// The request was quarantined.
    Quarantined,
    /// The quarantine ended, since a run of the request succeeded.
    Released,
}

/// The request to which a server's crash is attributed.
#[derive(Clone, Copy, Debug)]
struct Attribution {
    by: RequestSignature,
    /// Points against the request.
    points: u32,
}

/// The requests under which servers crashed.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<RequestSignature, Record>,
    /// Servers whose crashes are attributed to a quarantined request. Other requests that
    /// ran on the same servers look alike, but only one is the cause.
    attributed: HashMap<ServerKey, Attribution>,
    /// Requests that succeeded lately.
    finished: FinishedRequests,
    /// The quarantined request that was last advertised without a change.
    last_advertised: Option<RequestSignature>,
    /// From 0 to 1: how much later than elsewhere trials begin here.
    spread: f64,
}

impl Quarantine {
    /// Nothing is recorded.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how much later than elsewhere trials begin here, from 0 to 1: a random number of
    /// the instance.
    #[must_use]
    pub const fn with_spread(mut self, spread: f64) -> Self {
        self.spread = spread;
        self
    }

    /// Whether no request has a record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many requests have a record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// How many requests are recorded as having succeeded.
    #[must_use]
    pub fn finished_len(&self) -> usize {
        self.finished.len()
    }

    /// Records that a server crashed under a request.
    pub fn record_crash(
        &mut self,
        signature: RequestSignature,
        crash: RunCrash,
        now: Instant,
    ) -> QuarantineChange {
        self.update(signature, now, |record| record.add(crash))
    }

    /// Records a server's crash under several requests and returns how each changed. Of
    /// those with enough points only the one with the strongest evidence is quarantined,
    /// as one is the cause.
    pub fn record_crashes(
        &mut self,
        crashes: &[(RequestSignature, RunCrash)],
        now: Instant,
    ) -> Vec<(RequestSignature, QuarantineChange)> {
        // Whether each request was quarantined before; it may have had several runs
        // there.
        let mut suspects: HashMap<RequestSignature, bool> = HashMap::new();
        for (signature, crash) in crashes {
            let was_quarantined = self.change(*signature, now, |record| record.add(*crash));
            suspects.entry(*signature).or_insert(was_quarantined);
        }
        let mut suspects: Vec<_> = suspects.into_iter().collect();
        suspects.sort_by_cached_key(|(signature, _)| {
            let record = self.records.get(signature);
            (Reverse(record.map(Record::strength)), *signature)
        });
        let decided = suspects.into_iter().map(|(signature, was_quarantined)| {
            let change = self.decide(signature, was_quarantined, now);
            (signature, change)
        });
        decided.collect()
    }

    /// Records that a run of a request succeeded.
    pub fn record_success(
        &mut self,
        signature: RequestSignature,
        now: Instant,
    ) -> QuarantineChange {
        self.finished.record(signature, now);
        if !self.records.contains_key(&signature) {
            return QuarantineChange::None;
        }
        self.update(signature, now, |record| record.record_success(now))
    }

    /// Merges a peer's report.
    pub fn merge(&mut self, observation: &SuspectObservation, now: Instant) -> QuarantineChange {
        let before = |age_ms: u64| now.checked_sub(Duration::from_millis(age_ms));
        let crashes = observation.ends.iter().take(MAX_CRASHES);
        let crashes: Vec<_> = crashes.filter_map(|crash| crash.crash(now)).collect();
        let finished_at = observation.finished_ms.and_then(before);
        let quarantined_at = observation.held_ms.and_then(before);
        self.update(observation.signature, now, |record| {
            let is_finished = finished_at.is_some_and(|at| record.record_success(at));
            // Others lack the success that clears these crashes.
            let clears = record.has_cleared(crashes.iter().copied());
            let new_crashes = crashes
                .into_iter()
                .filter(|crash| record.add(*crash))
                .count();
            let is_quarantined = quarantined_at
                .is_some_and(|at| record.merge_quarantine(at, observation.quarantines));
            is_finished || clears || new_crashes > 0 || is_quarantined
        })
    }

    /// Merges a request that the store has had as quarantined for `age`.
    pub fn merge_stored(
        &mut self,
        stored: QuarantineStart,
        age: Duration,
        now: Instant,
    ) -> QuarantineChange {
        let observation = SuspectObservation {
            signature: stored.signature,
            ends: Vec::new(),
            finished_ms: None,
            held_ms: Some(millis(age)),
            quarantines: stored.quarantines,
        };
        self.merge(&observation, now)
    }

    /// What is known against a request.
    #[must_use]
    pub fn suspicion(&self, signature: RequestSignature, now: Instant) -> Suspicion {
        let Some(record) = self.records.get(&signature) else {
            return Suspicion::None;
        };
        if let Some(left) = record.quarantine_left(now) {
            return Suspicion::Quarantined { left };
        }
        match record.crashes.len() {
            0 => Suspicion::None,
            servers => Suspicion::Suspected { servers },
        }
    }

    /// Whether this instance may run a request. Only trials of one that was quarantined may
    /// run, and of prompt segments that are suspected enough: one at a time, until one
    /// succeeds or its server crashes.
    pub fn begin_run(
        &mut self,
        signature: RequestSignature,
        kind: SuspectKind,
        now: Instant,
    ) -> Permission {
        let spread = self.spread;
        let Some(record) = self.records.get_mut(&signature) else {
            return Permission::Free;
        };
        if !record.needs_trial(kind) {
            return Permission::Free;
        }
        match record.begin_trial(spread, now) {
            Ok(()) => Permission::Trial,
            Err(wait) => Permission::Denied { wait },
        }
    }

    /// Whether a run that has been permitted may still begin, here or on another server.
    #[must_use]
    pub fn may_continue(
        &self,
        signature: RequestSignature,
        kind: SuspectKind,
        permission: Permission,
        now: Instant,
    ) -> bool {
        let Some(record) = self.records.get(&signature) else {
            return true;
        };
        let is_trial = permission == Permission::Trial;
        record.quarantine_left(now).is_none() && (is_trial || !record.needs_trial(kind))
    }

    /// How many servers crashed under a request since it last succeeded.
    #[must_use]
    pub fn crashes(&self, signature: RequestSignature) -> usize {
        let record = self.records.get(&signature);
        record.map_or(0, |record| record.crashes.len())
    }

    /// How many of these crashes count, as they were sequential.
    #[must_use]
    pub fn sequential_crashes(&self, signature: RequestSignature) -> usize {
        let record = self.records.get(&signature);
        record.map_or(0, Record::sequential_crashes)
    }

    /// Whether a request is known to have succeeded and isn't quarantined.
    #[must_use]
    pub fn is_cleared(&self, signature: RequestSignature) -> bool {
        let record = self.records.get(&signature);
        record.is_some_and(|record| record.finished_at.is_some() && record.quarantined_at.is_none())
    }

    /// The quarantined requests, each with the start and the number of its quarantine.
    pub fn quarantined(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (RequestSignature, Instant, u8)> {
        let records = self.records.iter();
        records.filter_map(move |(signature, record)| {
            record.quarantine_left(now)?;
            Some((*signature, record.quarantined_at?, record.quarantines))
        })
    }

    /// What to advertise in the next round: changes, at most `most`, and in rotation one
    /// of the quarantined requests, for instances that have started since.
    pub fn next_advertised(&mut self, most: usize, now: Instant) -> Vec<SuspectObservation> {
        self.expire(now);
        let mut advertised = Vec::new();
        let mut changed: Vec<_> = self
            .records
            .iter_mut()
            .filter(|(_, record)| record.rounds_left > 0)
            .collect();
        // Those with most points first, and of these the latest.
        changed.sort_by_key(|(_, record)| Reverse((record.points(), record.changed_at)));
        for (signature, record) in changed.into_iter().take(most) {
            record.rounds_left -= 1;
            advertised.push(record.observation(*signature, now));
        }
        if let Some(quarantined) = self.next_quarantined(now) {
            let is_advertised = advertised
                .iter()
                .any(|observation| observation.signature == quarantined.signature);
            if !is_advertised && advertised.len() < most {
                advertised.push(quarantined);
            }
        }
        advertised
    }

    /// What to send to an instance that has just started.
    #[must_use]
    pub fn advertised_at_start(&self, most: usize, now: Instant) -> Vec<SuspectObservation> {
        let quarantined = self.quarantined(now).take(most);
        quarantined
            .filter_map(|(signature, ..)| {
                let record = self.records.get(&signature)?;
                Some(record.observation(signature, now))
            })
            .collect()
    }

    fn next_quarantined(&mut self, now: Instant) -> Option<SuspectObservation> {
        let quarantined = || self.quarantined(now).map(|(signature, ..)| signature);
        let after = quarantined()
            .filter(|signature| Some(*signature) > self.last_advertised)
            .min();
        let next = after.or_else(|| quarantined().min())?;
        self.last_advertised = Some(next);
        Some(self.records.get(&next)?.observation(next, now))
    }

    /// Changes the record of a request and decides on it; `change` returns whether the
    /// record changed.
    fn update(
        &mut self,
        signature: RequestSignature,
        now: Instant,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> QuarantineChange {
        let was_quarantined = self.change(signature, now, change);
        self.decide(signature, was_quarantined, now)
    }

    /// Changes the record without a decision; returns whether the request was quarantined
    /// before.
    fn change(
        &mut self,
        signature: RequestSignature,
        now: Instant,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> bool {
        self.evict_if_full(signature, now);
        let finished_at = self.finished.last(signature);
        let record = self.records.entry(signature);
        let record = record.or_insert_with(|| Record::new(finished_at, now));
        let was_quarantined = record.quarantine_left(now).is_some();
        if change(record) {
            record.changed_at = now;
            record.rounds_left = ADVERTISED_ROUNDS;
        }
        was_quarantined
    }

    fn decide(
        &mut self,
        signature: RequestSignature,
        was_quarantined: bool,
        now: Instant,
    ) -> QuarantineChange {
        let Some(record) = self.records.get_mut(&signature) else {
            return QuarantineChange::None;
        };
        let points = record.points();
        // A request with more points than the one that a crash is attributed to may
        // itself be the cause.
        record.decide(|server| {
            let attribution = self.attributed.get(&server);
            attribution.is_some_and(|one| one.by != signature && one.points >= points)
        });
        let is_quarantined = record.quarantine_left(now).is_some();
        if is_quarantined {
            let own = Attribution {
                by: signature,
                points,
            };
            for crash in &record.crashes {
                let known = self.attributed.entry(crash.server).or_insert(own);
                if known.points < points || known.by == signature {
                    *known = own;
                }
            }
        } else if was_quarantined {
            self.attributed.retain(|_, one| one.by != signature);
        }
        if record.is_blank() {
            self.records.remove(&signature);
        }
        match (was_quarantined, is_quarantined) {
            (false, true) => QuarantineChange::Quarantined,
            (true, false) => QuarantineChange::Released,
            _ => QuarantineChange::None,
        }
    }

    /// Ensures that one more record fits: drops expired ones, or else a part of those
    /// with the weakest evidence.
    fn evict_if_full(&mut self, signature: RequestSignature, now: Instant) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&signature) {
            return;
        }
        self.expire(now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let strength = |record: &Record| {
            let is_quarantined = record.quarantine_left(now).is_some();
            (is_quarantined, record.points(), record.changed_at)
        };
        let records = self.records.iter();
        let mut weakest: Vec<_> = records
            .map(|(signature, record)| (strength(record), *signature))
            .collect();
        weakest.sort_unstable();
        for (_, signature) in weakest.into_iter().take(MAX_RECORDS / DROP_DIVISOR) {
            self.records.remove(&signature);
        }
    }

    /// Drops records that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.records
            .retain(|_, record| now.saturating_duration_since(record.changed_at) < record.ttl());
        let records = &self.records;
        self.attributed
            .retain(|_, one| records.contains_key(&one.by));
    }
}
