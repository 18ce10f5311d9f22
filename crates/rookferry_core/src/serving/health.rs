//! Which servers failed lately, from what requests met.
//!
//! Three things are kept apart: a server that didn't answer at all is out until
//! a probe finds it, one that fails part of its requests is avoided by a
//! decaying share while others are there, and one that had no room for a
//! request counts as smaller than published until that has worn off.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::ServerKey;
use super::turns::told_in_turn;

/// Time after which a failure counts for about a third.
const DECAY: Duration = Duration::from_secs(3);
/// How long a server that turned a request away for want of room counts as
/// full; about the time in which a few requests end there.
const FULL_FOR: Duration = Duration::from_millis(150);
/// The part of what was in use when a server had no room that still counts as
/// room: below it, so that the next request doesn't meet the same end.
const SEEN_ROOM_PART: f64 = 0.95;
/// The part of the published room that is believed again each second. Requests
/// take two to three seconds, so a wrong estimate is gone after a few of them.
const ROOM_REGAINED_PER_S: f64 = 0.05;
/// Weight of one request in the failing share.
const SAMPLE_WEIGHT: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct Record {
    failing_share: f64,
    updated_at: Instant,
    out_since: Option<Instant>,
    full_at: Option<Instant>,
    no_room: Option<NoRoom>,
}

/// A request that found no room.
#[derive(Clone, Copy, Debug)]
struct NoRoom {
    /// Tokens that were in use by what was known.
    used_tokens: f64,
    at: Instant,
}

/// What requests met at each server.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    records: HashMap<ServerKey, Record>,
}

impl ServerHealth {
    /// Nothing is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A request or probe went as it should.
    pub fn succeeded(&mut self, server: ServerKey, now: Instant) {
        if let Some(record) = self.records.get_mut(&server) {
            record.out_since = None;
            record.failing_share = decayed(record, now) * (1.0 - SAMPLE_WEIGHT);
            record.updated_at = now;
        }
    }

    /// A request failed at a server that answers.
    pub fn failed(&mut self, server: ServerKey, now: Instant) {
        let record = self.record(server, now);
        record.failing_share = decayed(record, now) * (1.0 - SAMPLE_WEIGHT) + SAMPLE_WEIGHT;
        record.updated_at = now;
    }

    /// A server doesn't answer. Tells whether that is news.
    pub fn lost(&mut self, server: ServerKey, now: Instant) -> bool {
        let record = self.record(server, now);
        let is_news = record.out_since.is_none();
        record.out_since.get_or_insert(now);
        is_news
    }

    /// A server turned a request away.
    pub fn turned_away(&mut self, server: ServerKey, now: Instant) {
        self.record(server, now).full_at = Some(now);
    }

    /// A server had no room for a request while it was known to hold some
    /// tokens.
    pub fn had_no_room(&mut self, server: ServerKey, used_tokens: f64, now: Instant) {
        self.turned_away(server, now);
        self.record(server, now).no_room = Some(NoRoom {
            used_tokens,
            at: now,
        });
    }

    /// Tokens that a server can be expected to hold: what is published, or
    /// less if it lately had no room before that.
    #[must_use]
    pub fn room_tokens(&self, server: ServerKey, published_tokens: f64, now: Instant) -> f64 {
        let no_room = self.records.get(&server).and_then(|record| record.no_room);
        let Some(NoRoom { used_tokens, at }) = no_room else {
            return published_tokens;
        };
        let since_s = now.saturating_duration_since(at).as_secs_f64();
        let regained_tokens = published_tokens * ROOM_REGAINED_PER_S * since_s;
        published_tokens.min(used_tokens * SEEN_ROOM_PART + regained_tokens)
    }

    /// Whether a server turned a request away a moment ago.
    #[must_use]
    pub fn is_full(&self, server: ServerKey, now: Instant) -> bool {
        let full_at = self.records.get(&server).and_then(|record| record.full_at);
        full_at.is_some_and(|at| now.saturating_duration_since(at) < FULL_FOR)
    }

    /// Whether a server is out.
    #[must_use]
    pub fn is_out(&self, server: ServerKey) -> bool {
        self.out_since(server).is_some()
    }

    /// Since when a server is out.
    #[must_use]
    pub fn out_since(&self, server: ServerKey) -> Option<Instant> {
        self.records.get(&server)?.out_since
    }

    /// The servers that are out.
    #[must_use]
    pub fn out(&self) -> Vec<ServerKey> {
        let out = self
            .records
            .iter()
            .filter(|(_, record)| record.out_since.is_some());
        out.map(|(server, _)| *server).collect()
    }

    /// How many servers are out.
    #[must_use]
    pub fn out_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.out_since.is_some()).count()
    }

    /// The servers that are out, as others are told in a turn: at most `most`.
    #[must_use]
    pub fn told(&self, most: usize, turn: usize) -> Vec<ServerKey> {
        let records = self.records.iter();
        let out = records.filter_map(|(server, record)| Some((record.out_since?, *server)));
        let mut out: Vec<_> = out.collect();
        out.sort_unstable_by_key(|(since, server)| (std::cmp::Reverse(*since), *server));
        let out: Vec<ServerKey> = out.into_iter().map(|(_, server)| server).collect();
        told_in_turn(&out, most, turn)
    }

    /// The decayed share of requests that failed, 0 to 1.
    #[must_use]
    pub fn failing_share(&self, server: ServerKey, now: Instant) -> f64 {
        self.records
            .get(&server)
            .map_or(0.0, |record| decayed(record, now))
    }

    /// Forgets servers that `is_known` doesn't know.
    pub fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        self.records.retain(|server, _| is_known(*server));
    }

    fn record(&mut self, server: ServerKey, now: Instant) -> &mut Record {
        self.records.entry(server).or_insert(Record {
            failing_share: 0.0,
            updated_at: now,
            out_since: None,
            full_at: None,
            no_room: None,
        })
    }
}

fn decayed(record: &Record, now: Instant) -> f64 {
    let gap = now.saturating_duration_since(record.updated_at);
    record.failing_share * (-gap.as_secs_f64() / DECAY.as_secs_f64()).exp()
}
