//! The prefix cache and its events, published late and with gaps.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::CacheEvent;
use rookferry_wire::CacheEvents;

/// Events kept for those who ask; older ones are a gap.
const KEPT_EVENTS: usize = 256;

#[derive(Debug)]
struct Published {
    at: Instant,
    event: CacheEvent,
}

/// Prefixes of prompts whose KV is still held.
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

    /// Looks a prefix up and keeps it; returns whether it was held.
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
