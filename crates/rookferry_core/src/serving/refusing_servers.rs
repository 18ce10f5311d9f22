//! Servers that refuse requests although their load is low.
//!
//! Load pattern: a fifth of the engines start to leave at once, and their entries in the
//! store show it a second or more later. An engine that refuses at once looks idle, so
//! every instance keeps choosing it, spends its retry budget on it and then refuses
//! callers. So a server that refuses at low load counts as refusing: it gets no new work,
//! peers are informed by heartbeat, and it is tried again after an exponential delay.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::ServerKey;
use super::rotation::rotation_batch;
use crate::millis::millis;

/// Share of its cache capacity below which a server that refuses isn't merely full. The
/// known load is some tenths of a second old, in which a tenth of the capacity may fill.
const LOW_LOAD_SHARE: f64 = 0.5;
/// How long a server is excluded after its first refusal: three heartbeats, so that peers
/// receive the report before they try the server themselves.
const FIRST_DELAY: Duration = Duration::from_millis(500);
/// Up to how many times longer than the shortest delay an instance excludes a server.
/// Instances differ, so that the report of the next refusal reaches most of them before
/// they try.
const DELAY_SPREAD: f64 = 2.0;
/// Longest delay: an entry may show this late that an engine has left.
const LONGEST_DELAY: Duration = Duration::from_secs(4);
/// Consecutive refusals are counted up to this; at this count the delay is the longest.
const MAX_REFUSALS: u8 = 8;

/// A refusing server, as reported to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusingObservation {
    /// The server.
    pub server: ServerKey,
    /// Time since its last refusal that counted, in milliseconds.
    pub age_ms: u64,
    /// Consecutive refusals, each after the server had been excluded for a time.
    pub refusals: u8,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// The last refusal that counted.
    refused_at: Option<Instant>,
    refusals: u8,
    /// When it last accepted work.
    accepted_at: Option<Instant>,
}

/// Refusals at low load, by server.
#[derive(Clone, Debug)]
pub struct RefusingServers {
    /// The instance's factor on the delay; at least 1.
    delay_factor: f64,
    records: HashMap<ServerKey, Record>,
}

impl RefusingServers {
    /// No refusing servers. `chance`, from 0 to 1, sets the instance's factor on the
    /// delay.
    #[must_use]
    pub fn new(chance: f64) -> Self {
        Self {
            delay_factor: 1.0 + chance.clamp(0.0, 1.0) * DELAY_SPREAD,
            records: HashMap::new(),
        }
    }

    /// Records a refusal by a server whose load is known as `used_tokens` of
    /// `capacity_tokens`. Returns whether the load was low enough for the server to count
    /// as refusing.
    pub fn refused(
        &mut self,
        server: ServerKey,
        used_tokens: f64,
        capacity_tokens: f64,
        now: Instant,
    ) -> bool {
        if used_tokens >= capacity_tokens * LOW_LOAD_SHARE {
            return false;
        }
        if !self.is_refusing(server, now) {
            let record = self.record(server);
            record.refusals = (record.refusals + 1).min(MAX_REFUSALS);
            record.refused_at = Some(now);
        }
        true
    }

    /// Merges a peer's report; returns whether the server is refusing due to it and
    /// wasn't before.
    pub fn merge(&mut self, observation: RefusingObservation, now: Instant) -> bool {
        let Some(at) = now.checked_sub(Duration::from_millis(observation.age_ms)) else {
            return false;
        };
        let was_refusing = self.is_refusing(observation.server, now);
        let record = self.record(observation.server);
        if record.refused_at.max(record.accepted_at) < Some(at) {
            record.refused_at = Some(at);
            record.refusals = observation.refusals.clamp(1, MAX_REFUSALS);
        }
        !was_refusing && self.is_refusing(observation.server, now)
    }

    /// Records that a server accepted work.
    pub fn accepted(&mut self, server: ServerKey, now: Instant) {
        if let Some(record) = self.records.get_mut(&server) {
            record.refused_at = None;
            record.refusals = 0;
            record.accepted_at = Some(now);
        }
    }

    /// Drops the refusals of a server whose entry has changed, as they no longer apply.
    pub fn entry_changed(&mut self, server: ServerKey) {
        self.records.remove(&server);
    }

    /// Whether a server is excluded at `now`.
    #[must_use]
    pub fn is_refusing(&self, server: ServerKey, now: Instant) -> bool {
        let record = self.records.get(&server);
        record.is_some_and(|record| record.is_refusing(self.delay_factor, now))
    }

    /// At most `most` refusing servers to advertise in this `round` of heartbeats.
    #[must_use]
    pub fn advertised(&self, most: usize, round: usize, now: Instant) -> Vec<RefusingObservation> {
        let mut observations = self.observations(now);
        observations.sort_unstable_by_key(|observation| (observation.age_ms, observation.server));
        rotation_batch(&observations, most, round)
    }

    /// All refusing servers.
    #[must_use]
    pub fn observations(&self, now: Instant) -> Vec<RefusingObservation> {
        let refusing = self
            .records
            .iter()
            .filter(|(_, record)| record.is_refusing(self.delay_factor, now));
        let observations = refusing.filter_map(|(server, record)| {
            let age = now.saturating_duration_since(record.refused_at?);
            Some(RefusingObservation {
                server: *server,
                age_ms: millis(age),
                refusals: record.refusals,
            })
        });
        observations.collect()
    }

    /// Drops servers for which `is_known` is false.
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
    fn is_refusing(&self, delay_factor: f64, now: Instant) -> bool {
        let doublings = u32::from(self.refusals.saturating_sub(1));
        let delay = FIRST_DELAY
            .saturating_mul(2_u32.saturating_pow(doublings))
            .mul_f64(delay_factor)
            .min(LONGEST_DELAY);
        self.refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < delay)
    }
}
