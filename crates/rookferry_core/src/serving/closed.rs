//! Servers that take no new work though they have room.
//!
//! Load pattern: a fifth of the engines begin to leave at once, and their
//! entries tell of it a second or more later. An engine that refuses at once
//! looks idle, so that every instance goes on choosing it, spends its retry
//! budget there and then turns callers away. So one that refuses with little
//! under way counts as closed, the instances tell each other, and it is tried
//! again after a time that doubles.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::ServerKey;
use super::turns::told_in_turn;
use crate::millis::millis;

/// The part of its room under which a server that refuses isn't just full.
/// What is known of its load is some tenths of a second old, in which a tenth
/// of its room may fill.
const FULL_PART: f64 = 0.5;
/// How long a server counts as closed after its first refusal: three
/// heartbeats, so that others hear of it before they try it themselves.
const FIRST_CLOSED: Duration = Duration::from_millis(500);
/// Instances leave a server alone for up to this many times longer than the
/// least patient does, so that its word on the next refusal is there before
/// most others try.
const PATIENCE_SPREAD: f64 = 2.0;
/// The longest time, which is how late an entry may tell that an engine left.
const LONGEST_CLOSED: Duration = Duration::from_secs(4);
/// Refusals in a row that are told apart; more close for the longest time.
const MOST_REFUSALS: u8 = 8;

/// A server that takes no new work, as instances tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedSeen {
    /// The server.
    pub server: ServerKey,
    /// How long ago it refused, in milliseconds.
    pub age_ms: u64,
    /// How often in a row it refused after having been left alone.
    pub refusals: u8,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// The last refusal that counted.
    refused_at: Option<Instant>,
    refusals: u8,
    /// When it last took work.
    accepted_at: Option<Instant>,
}

/// The servers that take no new work.
#[derive(Clone, Debug)]
pub struct ClosedServers {
    /// How many times as long as the least this instance leaves one alone.
    patience: f64,
    records: HashMap<ServerKey, Record>,
}

impl ClosedServers {
    /// None. `chance`, from 0 to 1, is the instance's own.
    #[must_use]
    pub fn new(chance: f64) -> Self {
        Self {
            patience: 1.0 + chance.clamp(0.0, 1.0) * PATIENCE_SPREAD,
            records: HashMap::new(),
        }
    }

    /// A server refused a request, with some tokens under way by what is known
    /// and room for others. Tells whether it counts as closed for that.
    pub fn refused(
        &mut self,
        server: ServerKey,
        used_tokens: f64,
        room_tokens: f64,
        now: Instant,
    ) -> bool {
        if used_tokens >= room_tokens * FULL_PART {
            return false;
        }
        if !self.is_closed(server, now) {
            let record = self.record(server);
            record.refusals = (record.refusals + 1).min(MOST_REFUSALS);
            record.refused_at = Some(now);
        }
        true
    }

    /// Another instance's word. Tells whether a server counts as closed for it
    /// that didn't before.
    pub fn learn(&mut self, seen: ClosedSeen, now: Instant) -> bool {
        let Some(at) = now.checked_sub(Duration::from_millis(seen.age_ms)) else {
            return false;
        };
        let was_closed = self.is_closed(seen.server, now);
        let record = self.record(seen.server);
        if record.refused_at.max(record.accepted_at) < Some(at) {
            record.refused_at = Some(at);
            record.refusals = seen.refusals.clamp(1, MOST_REFUSALS);
        }
        !was_closed && self.is_closed(seen.server, now)
    }

    /// A server took work.
    pub fn accepted(&mut self, server: ServerKey, now: Instant) {
        if let Some(record) = self.records.get_mut(&server) {
            record.refused_at = None;
            record.refusals = 0;
            record.accepted_at = Some(now);
        }
    }

    /// A server's entry changed: what it refused before says nothing now.
    pub fn changed(&mut self, server: ServerKey) {
        self.records.remove(&server);
    }

    /// Whether a server is left alone for now.
    #[must_use]
    pub fn is_closed(&self, server: ServerKey, now: Instant) -> bool {
        let record = self.records.get(&server);
        record.is_some_and(|record| record.is_closed(self.patience, now))
    }

    /// Those that are left alone, to tell others in a turn: at most `most`.
    #[must_use]
    pub fn told(&self, most: usize, turn: usize, now: Instant) -> Vec<ClosedSeen> {
        let mut seen = self.seen(now);
        seen.sort_unstable_by_key(|seen| (seen.age_ms, seen.server));
        told_in_turn(&seen, most, turn)
    }

    /// Those that are left alone.
    #[must_use]
    pub fn seen(&self, now: Instant) -> Vec<ClosedSeen> {
        let closed = self
            .records
            .iter()
            .filter(|(_, record)| record.is_closed(self.patience, now));
        let seen = closed.filter_map(|(server, record)| {
            let age = now.saturating_duration_since(record.refused_at?);
            Some(ClosedSeen {
                server: *server,
                age_ms: millis(age),
                refusals: record.refusals,
            })
        });
        seen.collect()
    }

    /// Forgets servers that `is_known` doesn't know.
    pub fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        self.records.retain(|server, _| is_known(*server));
    }

    fn record(&mut self, server: ServerKey) -> &mut Record {
        self.records.entry(server).or_insert(Record {
            refused_at: None,
            refusals: 0,
            accepted_at: None,
        })
    }
}

impl Record {
    fn is_closed(&self, patience: f64, now: Instant) -> bool {
        let doublings = u32::from(self.refusals.saturating_sub(1));
        let closed_for = FIRST_CLOSED
            .saturating_mul(2_u32.saturating_pow(doublings))
            .mul_f64(patience)
            .min(LONGEST_CLOSED);
        self.refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < closed_for)
    }
}
