//! Queue of requests that wait for cache capacity on the engines.
//!
//! A request that finds no free cache can still meet its objective if some is released
//! soon. Requests are ordered by class (urgency, on time before late), then by arrival. The caller keeps a request
//! waiting only while it can be in time by the observed times: from sending to the first
//! event, and between two releases of cache. A request that can't is refused at once.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::AdmissionClass;

/// Weight of one observation in a running mean, which follows within some ten.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Deviations above the mean within which a first event is expected, as for
/// retransmission timers (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// Urgency of a request: the account's priority first, then the route's; the lowest value
/// goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    /// Priority of its client account.
    pub account: u8,
    /// Priority of its route.
    pub route: u8,
}

/// The position of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionTicket {
    class: AdmissionClass,
    number: u64,
}

/// A running mean and its mean deviation, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    mean_s: f64,
    deviation_s: f64,
    is_known: bool,
}

impl RunningMean {
    fn record(&mut self, value: Duration) {
        let value_s = value.as_secs_f64();
        if !self.is_known {
            *self = Self {
                mean_s: value_s,
                deviation_s: value_s / 2.0,
                is_known: true,
            };
            return;
        }
        let error_s = value_s - self.mean_s;
        self.mean_s += error_s * SAMPLE_WEIGHT;
        self.deviation_s += (error_s.abs() - self.deviation_s) * SAMPLE_WEIGHT;
    }
}

/// The waiting requests, and observed times from which waits are estimated.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    next_number: u64,
    waiting: BTreeSet<AdmissionTicket>,
    released_at: Option<Instant>,
    release_interval: RunningMean,
    first_event: RunningMean,
}

impl AdmissionQueue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request.
    pub fn join(&mut self, class: AdmissionClass) -> AdmissionTicket {
        let ticket = AdmissionTicket {
            class,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(ticket);
        ticket
    }

    /// Removes a request.
    pub fn leave(&mut self, ticket: AdmissionTicket) {
        self.waiting.remove(&ticket);
    }

    /// Whether a request of this class would have to wait behind others.
    #[must_use]
    pub fn would_wait(&self, class: AdmissionClass) -> bool {
        let first = self.waiting.first();
        first.is_some_and(|first| first.class <= class)
    }

    /// Whether a request is the first in the queue.
    #[must_use]
    pub fn is_next(&self, ticket: AdmissionTicket) -> bool {
        self.waiting.first() == Some(&ticket)
    }

    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a request has finished and released its cache.
    pub fn record_release(&mut self, now: Instant) {
        if let Some(before) = self.released_at.replace(now) {
            self.release_interval
                .record(now.saturating_duration_since(before));
        }
    }

    /// Records the time from sending a request to its first event.
    pub fn record_first_event(&mut self, took: Duration) {
        self.first_event.record(took);
    }

    /// Longest time that a request can wait and still have its first event within
    /// `objective`; zero if first events take longer than that.
    #[must_use]
    pub fn max_wait(&self, objective: Duration) -> Duration {
        let first_s = self.first_event.mean_s + DEVIATIONS * self.first_event.deviation_s;
        let first = Duration::try_from_secs_f64(first_s).unwrap_or(Duration::MAX);
        objective.saturating_sub(first)
    }

    /// Expected wait of a request: until cache has been released for it and for all
    /// requests in front of it.
    #[must_use]
    pub fn expected_wait(&self, ticket: AdmissionTicket) -> Duration {
        let ahead = self.waiting.range(..ticket).count();
        let wait_s = self.release_interval.mean_s * (ahead + 1) as f64;
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }
}
