//! The prefix cache of an engine and the events it publishes: late, and with a gap once
//! old events are dropped.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::CacheEvent;
use rookferry_wire::CacheEvents;

/// Number of events that are stored; a reader that asks for older ones sees a gap.
const KEPT_EVENTS: usize = 256;

#[derive(Debug)]
struct Published {
    at: Instant,
    event: CacheEvent,
}

/// Hashes of the cached prompt prefixes; the oldest is evicted first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    lag: Duration,
    held: HashSet<u64>,
    order: VecDeque<u64>,
    events: VecDeque<Published>,
    next_seq: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize, lag: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            lag,
            held: HashSet::new(),
            order: VecDeque::new(),
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    /// Inserts a prefix; returns whether it was cached already.
    pub(super) fn touch(&mut self, now: Instant, prefix: u64) -> bool {
        if !self.held.insert(prefix) {
            return true;
        }
        self.order.push_back(prefix);
        self.publish(now, prefix, true);
        if self.order.len() <= self.capacity {
            return false;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.held.remove(&oldest);
            self.publish(now, oldest, false);
        }
        false
    }

    /// Events from sequence number `from` on that are at least `lag` old.
    pub(super) fn events(&self, now: Instant, from: u64) -> CacheEvents {
        let ripe = self
            .events
            .iter()
            .filter(|published| now.saturating_duration_since(published.at) >= self.lag);
        let events: Vec<CacheEvent> = ripe
            .map(|published| published.event.clone())
            .filter(|event| event.seq >= from)
            .collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CacheEvents { events, next }
    }

    fn publish(&mut self, now: Instant, prefix: u64, stored: bool) {
        let event = CacheEvent {
            seq: self.next_seq,
            prefix,
            stored,
        };
        self.next_seq += 1;
        self.events.push_back(Published { at: now, event });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
