//! Requests that wait at the door for room on the engines.
//!
//! A request that finds no room may still be in time if some comes free soon.
//! The more urgent wait in front, and of those alike the earlier. A request
//! waits only while it can be in time by what was observed: how long first
//! events take once a request is sent, and how often room comes free. One that
//! can't is turned away at once.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Weight of one observation in a running mean; it follows within some ten.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Deviations above the mean that a first event is reckoned to take, as for
/// retransmission timers.
const DEVIATIONS: f64 = 4.0;

/// How urgent a request is; the lowest goes first, an account's before a
/// route's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    /// Of its client account.
    pub account: u8,
    /// Of its route.
    pub route: u8,
}

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoomTicket {
    urgency: Urgency,
    number: u64,
}

/// A running mean and the mean deviation from it.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    mean_s: f64,
    deviation_s: f64,
    is_known: bool,
}

impl RunningMean {
    fn note(&mut self, value: Duration) {
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

/// Who waits for room, and what is known of how long that takes.
#[derive(Clone, Debug, Default)]
pub struct RoomQueue {
    next_number: u64,
    waiting: BTreeSet<RoomTicket>,
    freed_at: Option<Instant>,
    freed_every: RunningMean,
    first_event: RunningMean,
}

impl RoomQueue {
    /// Nobody waits.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A request begins to wait.
    pub fn join(&mut self, urgency: Urgency) -> RoomTicket {
        let ticket = RoomTicket {
            urgency,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(ticket);
        ticket
    }

    /// A request waits no more.
    pub fn leave(&mut self, ticket: RoomTicket) {
        self.waiting.remove(&ticket);
    }

    /// Whether a request of some urgency would have to wait behind others.
    #[must_use]
    pub fn is_behind(&self, urgency: Urgency) -> bool {
        let first = self.waiting.first();
        first.is_some_and(|first| first.urgency <= urgency)
    }

    /// Whether a request is the next to be let in.
    #[must_use]
    pub fn is_next(&self, ticket: RoomTicket) -> bool {
        self.waiting.first() == Some(&ticket)
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// A request has ended and left its room.
    pub fn note_freed(&mut self, now: Instant) {
        if let Some(before) = self.freed_at.replace(now) {
            self.freed_every.note(now.saturating_duration_since(before));
        }
    }

    /// A first event came some time after its request was sent.
    pub fn note_first_event(&mut self, took: Duration) {
        self.first_event.note(took);
    }

    /// How long a request can wait before it is sent and still have its first
    /// event within an objective; none where first events take longer.
    #[must_use]
    pub fn patience(&self, objective: Duration) -> Duration {
        let first_s = self.first_event.mean_s + DEVIATIONS * self.first_event.deviation_s;
        let first = Duration::try_from_secs_f64(first_s).unwrap_or(Duration::MAX);
        objective.saturating_sub(first)
    }

    /// How long a request is expected to wait: until room came free for it and
    /// for all in front of it.
    #[must_use]
    pub fn expected_wait(&self, ticket: RoomTicket) -> Duration {
        let in_front = self.waiting.range(..ticket).count();
        let wait_s = self.freed_every.mean_s * (in_front + 1) as f64;
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }
}
