//! Health of backend servers, from the outcome of requests and probes.
//!
//! Three conditions are tracked separately: a server that doesn't answer is unresponsive
//! until a probe succeeds; one that fails a share of its requests is avoided by that
//! share, which decays, while other servers are available; one that refused a request for
//! lack of cache capacity counts as smaller than it published for a time.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::ServerKey;
use super::rotation::rotation_batch;

/// Time constant of the decay: a failure counts for about a third after it.
const DECAY: Duration = Duration::from_secs(3);
/// How long a server that refused a request counts as full: about the time in which a few
/// of its requests finish.
const FULL_FOR: Duration = Duration::from_millis(150);
/// Share of the tokens in use at a refusal that still counts as capacity. Less than 1, so
/// that the next request isn't refused too.
const OBSERVED_CAPACITY_SHARE: f64 = 0.95;
/// Share of the published capacity that is trusted again each second. Requests take two
/// to three seconds, so a wrong estimate is gone after a few of them.
const CAPACITY_REGAINED_PER_S: f64 = 0.05;
/// Weight of one request in the failing share.
const SAMPLE_WEIGHT: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct Record {
    failing_share: f64,
    updated_at: Instant,
    unresponsive_since: Option<Instant>,
    full_at: Option<Instant>,
    capacity_refusal: Option<CapacityRefusal>,
}

/// A refusal for lack of cache capacity.
#[derive(Clone, Copy, Debug)]
struct CapacityRefusal {
    /// Tokens known to be in use at that time.
    used_tokens: f64,
    at: Instant,
}

/// Outcomes of requests and probes, by server.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    records: HashMap<ServerKey, Record>,
}

impl ServerHealth {
    /// Nothing is recorded.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request or probe succeeded; the server is no longer
    /// unresponsive.
    pub fn succeeded(&mut self, server: ServerKey, now: Instant) {
        if let Some(record) = self.records.get_mut(&server) {
            record.unresponsive_since = None;
            record.failing_share = decayed(record, now) * (1.0 - SAMPLE_WEIGHT);
            record.updated_at = now;
        }
    }

    /// Records that a request failed at a server that answers.
    pub fn failed(&mut self, server: ServerKey, now: Instant) {
        let record = self.record(server, now);
        record.failing_share = decayed(record, now) * (1.0 - SAMPLE_WEIGHT) + SAMPLE_WEIGHT;
        record.updated_at = now;
    }

    /// Records that a server doesn't answer; returns whether it is newly unresponsive.
    pub fn lost(&mut self, server: ServerKey, now: Instant) -> bool {
        let record = self.record(server, now);
        let is_new = record.unresponsive_since.is_none();
        record.unresponsive_since.get_or_insert(now);
        is_new
    }

    /// Records that a server refused a request.
    pub fn refused(&mut self, server: ServerKey, now: Instant) {
        self.record(server, now).full_at = Some(now);
    }

    /// Records that a server refused a request for lack of capacity while `used_tokens`
    /// were known to be in use.
    pub fn refused_for_capacity(&mut self, server: ServerKey, used_tokens: f64, now: Instant) {
        self.refused(server, now);
        self.record(server, now).capacity_refusal = Some(CapacityRefusal {
            used_tokens,
            at: now,
        });
    }

    /// The server's expected capacity in tokens: what it published, or less if it lately
    /// refused a request below that.
    #[must_use]
    pub fn capacity_tokens(&self, server: ServerKey, published_tokens: f64, now: Instant) -> f64 {
        let capacity_refusal = self
            .records
            .get(&server)
            .and_then(|record| record.capacity_refusal);
        let Some(CapacityRefusal { used_tokens, at }) = capacity_refusal else {
            return published_tokens;
        };
        let since_s = now.saturating_duration_since(at).as_secs_f64();
        let regained_tokens = published_tokens * CAPACITY_REGAINED_PER_S * since_s;
        published_tokens.min(used_tokens * OBSERVED_CAPACITY_SHARE + regained_tokens)
    }

    /// Whether a server refused a request within the last 150 ms.
    #[must_use]
    pub fn is_full(&self, server: ServerKey, now: Instant) -> bool {
        let full_at = self.records.get(&server).and_then(|record| record.full_at);
        full_at.is_some_and(|at| now.saturating_duration_since(at) < FULL_FOR)
    }

    /// Whether a server is unresponsive.
    #[must_use]
    pub fn is_unresponsive(&self, server: ServerKey) -> bool {
        self.unresponsive_since(server).is_some()
    }

    /// Since when a server has been unresponsive; `None` if it isn't.
    #[must_use]
    pub fn unresponsive_since(&self, server: ServerKey) -> Option<Instant> {
        self.records.get(&server)?.unresponsive_since
    }

    /// The unresponsive servers.
    #[must_use]
    pub fn unresponsive(&self) -> Vec<ServerKey> {
        let unresponsive = self
            .records
            .iter()
            .filter(|(_, record)| record.unresponsive_since.is_some());
        unresponsive.map(|(server, _)| *server).collect()
    }

    /// How many servers are unresponsive.
    #[must_use]
    pub fn unresponsive_count(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.unresponsive_since.is_some())
            .count()
    }

    /// At most `most` unresponsive servers to advertise in this `round` of heartbeats.
    #[must_use]
    pub fn advertised(&self, most: usize, round: usize) -> Vec<ServerKey> {
        let records = self.records.iter();
        let unresponsive =
            records.filter_map(|(server, record)| Some((record.unresponsive_since?, *server)));
        let mut unresponsive: Vec<_> = unresponsive.collect();
        unresponsive.sort_unstable_by_key(|(since, server)| (std::cmp::Reverse(*since), *server));
        let unresponsive: Vec<ServerKey> =
            unresponsive.into_iter().map(|(_, server)| server).collect();
        rotation_batch(&unresponsive, most, round)
    }

    /// The decayed share of requests that failed, 0 to 1.
    #[must_use]
    pub fn failing_share(&self, server: ServerKey, now: Instant) -> f64 {
        self.records
            .get(&server)
            .map_or(0.0, |record| decayed(record, now))
    }

    /// Drops servers for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        self.records.retain(|server, _| is_known(*server));
    }

    fn record(&mut self, server: ServerKey, now: Instant) -> &mut Record {
        self.records.entry(server).or_insert(Record {
            failing_share: 0.0,
            updated_at: now,
            unresponsive_since: None,
            full_at: None,
            capacity_refusal: None,
        })
    }
}

fn decayed(record: &Record, now: Instant) -> f64 {
    let gap = now.saturating_duration_since(record.updated_at);
    record.failing_share * (-gap.as_secs_f64() / DECAY.as_secs_f64()).exp()
}
