//! The prefix cache of an engine and the events it publishes: late, and with a gap once
//! old events are dropped.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::CacheEvent;
use rookferry_wire::CacheEvents;

/// Number of events that are stored; a reader that asks for older ones sees a gap.
const MAX_EVENTS: usize = 256;

#[derive(Debug)]
struct PublishedEvent {
    at: Instant,
    event: CacheEvent,
}

/// Hashes of the cached prompt prefixes; the oldest is evicted first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    lag: Duration,
    cached: HashSet<u64>,
    insertion_order: VecDeque<u64>,
    events: VecDeque<PublishedEvent>,
    next_seq: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize, lag: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            lag,
            cached: HashSet::new(),
            insertion_order: VecDeque::new(),
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    /// Inserts a prefix; returns whether it was cached already.
    pub(super) fn insert_if_absent(&mut self, now: Instant, prefix: u64) -> bool {
        if !self.cached.insert(prefix) {
            return true;
        }
        self.insertion_order.push_back(prefix);
        self.publish(now, prefix, true);
        if self.insertion_order.len() <= self.capacity {
            return false;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.cached.remove(&oldest);
            self.publish(now, oldest, false);
        }
        false
    }

    /// Events from sequence number `from` on that are at least `lag` old.
    pub(super) fn events(&self, now: Instant, from: u64) -> CacheEvents {
        let visible = self
            .events
            .iter()
            .filter(|published| now.saturating_duration_since(published.at) >= self.lag);
        let events: Vec<CacheEvent> = visible
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
        self.events.push_back(PublishedEvent { at: now, event });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
