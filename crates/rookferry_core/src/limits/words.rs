//! The limits that servers named, as last told to any instance.
//!
//! Of two words on one start of a server the later holds, whoever heard it. What
//! others tell comes with an age, which is off by the time that it took; words
//! that close are taken for the same moment, and the lower limit for the safer.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::RequestRate;
use crate::millis::millis;
use crate::serving::ServerKey;
use crate::serving::rotation::rotation_batch;

/// How far apart two words are surely told in their order.
const ORDER_KNOWN: Duration = Duration::from_millis(200);
/// How long others are told that a limit is over.
const LIFTED_TOLD: Duration = Duration::from_secs(30);
/// How long a word is kept of a server without an entry: entries go, and come
/// back, with the store's outages.
const KEPT_UNLISTED: Duration = Duration::from_mins(10);

/// The last word on a server.
#[derive(Clone, Copy, Debug)]
struct Word {
    /// Its limit; none once it answered without one.
    rate: Option<RequestRate>,
    at: Instant,
}

/// What a word changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The server has a limit that it didn't have.
    Named(RequestRate),
    /// It has none any more.
    Lifted,
}

/// A word on a server, as told to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitSeen {
    /// The server.
    pub server: ServerKey,
    /// The limit that it named; none if it answered without one.
    pub rate: Option<RequestRate>,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}

/// The limits of servers.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    words: HashMap<ServerKey, Word>,
}

impl ServerLimits {
    /// No server named any.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The limit of a server, if it has one.
    #[must_use]
    pub fn of(&self, server: ServerKey) -> Option<RequestRate> {
        self.words.get(&server)?.rate
    }

    /// How old the last word on a server is.
    #[must_use]
    pub fn age(&self, server: ServerKey, now: Instant) -> Option<Duration> {
        let word = self.words.get(&server)?;
        Some(now.saturating_duration_since(word.at))
    }

    /// Whether no server ever named one.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        self.words.is_empty()
    }

    /// A server named a limit in an answer.
    pub fn named(
        &mut self,
        server: ServerKey,
        rate: RequestRate,
        now: Instant,
    ) -> Option<LimitChange> {
        let rate = Some(rate);
        let before = self.words.insert(server, Word { rate, at: now });
        change(before.and_then(|before| before.rate), rate)
    }

    /// A server answered a request without naming a limit. One that was sent before
    /// it last named one may have been answered before, too, and says nothing.
    pub fn not_named(
        &mut self,
        server: ServerKey,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let word = self.words.get_mut(&server)?;
        if word.rate.is_none() || sent_at <= word.at {
            return None;
        }
        *word = Word {
            rate: None,
            at: now,
        };
        Some(LimitChange::Lifted)
    }

    /// Another instance's word on a server.
    pub fn hear(&mut self, seen: LimitSeen, now: Instant) -> Option<LimitChange> {
        let rate = seen
            .rate
            .and_then(|rate| RequestRate::bounded(rate.per_s()));
        let at = now.checked_sub(Duration::from_millis(seen.age_ms))?;
        let Some(known) = self.words.get_mut(&seen.server) else {
            // What is over is nothing new, and what is far back neither.
            rate.filter(|_| now.saturating_duration_since(at) < KEPT_UNLISTED)?;
            self.words.insert(seen.server, Word { rate, at });
            return change(None, rate);
        };
        // Each time it is passed on the same word looks a little younger, so that
        // taking its time in would keep it alive for ever.
        if known.rate == rate {
            return None;
        }
        let is_later = at > known.at + ORDER_KNOWN;
        let is_close = at + ORDER_KNOWN >= known.at;
        let is_lower = per_s(rate) < per_s(known.rate);
        if !(is_later || is_close && is_lower) {
            return None;
        }
        let before = known.rate;
        *known = Word {
            rate,
            at: at.max(known.at),
        };
        change(before, rate)
    }

    /// What to tell others in a turn, the newest words first.
    #[must_use]
    pub fn told(&self, most: usize, turn: usize, now: Instant) -> Vec<LimitSeen> {
        let words = self.words.iter();
        let told = words.filter(|(_, word)| {
            word.rate.is_some() || now.saturating_duration_since(word.at) < LIFTED_TOLD
        });
        let mut told: Vec<LimitSeen> = told
            .map(|(server, word)| LimitSeen {
                server: *server,
                rate: word.rate,
                age_ms: millis(now.saturating_duration_since(word.at)),
            })
            .collect();
        told.sort_by_key(|seen| (seen.age_ms, seen.server));
        rotation_batch(&told, most, turn)
    }

    /// Forgets servers that `is_known` doesn't know.
    pub fn retain(&mut self, now: Instant, is_known: impl Fn(ServerKey) -> bool) {
        self.words.retain(|server, word| {
            is_known(*server) || now.saturating_duration_since(word.at) < KEPT_UNLISTED
        });
    }
}

fn per_s(rate: Option<RequestRate>) -> f64 {
    rate.map_or(f64::INFINITY, RequestRate::per_s)
}

fn change(before: Option<RequestRate>, rate: Option<RequestRate>) -> Option<LimitChange> {
    if before == rate {
        return None;
    }
    Some(rate.map_or(LimitChange::Lifted, LimitChange::Named))
}
