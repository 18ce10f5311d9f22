//! The limits that servers stated in their answers, to this instance or to a peer.
//!
//! Of two observations for one start of a server the later one is valid, whichever
//! instance made it. Peers' observations carry an age, which is off by the delay of the
//! message; observations closer than that count as simultaneous, and the lower limit wins
//! as the safer one.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::RequestRate;
use crate::millis::millis;
use crate::serving::ServerKey;
use crate::serving::turns::told_in_turn;

/// Time difference from which the order of two observations is certain.
const ORDER_KNOWN: Duration = Duration::from_millis(200);
/// How long a lifted limit is advertised to peers.
const LIFTED_TOLD: Duration = Duration::from_secs(30);
/// How long the observation of an unlisted server is retained: entries disappear and
/// return with outages of the store.
const KEPT_UNLISTED: Duration = Duration::from_mins(10);

/// The latest observation of a server.
#[derive(Clone, Copy, Debug)]
struct Word {
    /// The limit; none once the server answered without one.
    rate: Option<RequestRate>,
    at: Instant,
}

/// The change that an observation made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The server has a new or a different limit.
    Named(RequestRate),
    /// The server has no limit any more.
    Lifted,
}

/// An observation of a server's limit, as advertised to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitObservation {
    /// The server.
    pub server: ServerKey,
    /// The limit that it stated; none if it answered without one.
    pub rate: Option<RequestRate>,
    /// Age of the observation in milliseconds.
    pub age_ms: u64,
}

/// The latest observation of each server that ever stated a limit.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    words: HashMap<ServerKey, Word>,
}

impl ServerLimits {
    /// No observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The limit of a server, if it has one.
    #[must_use]
    pub fn of(&self, server: ServerKey) -> Option<RequestRate> {
        self.words.get(&server)?.rate
    }

    /// Age of the latest observation of a server, if there is one.
    #[must_use]
    pub fn age(&self, server: ServerKey, now: Instant) -> Option<Duration> {
        let word = self.words.get(&server)?;
        Some(now.saturating_duration_since(word.at))
    }

    /// Whether there is no observation of any server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Records a limit that a server stated in an answer. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        server: ServerKey,
        rate: RequestRate,
        now: Instant,
    ) -> Option<LimitChange> {
        let rate = Some(rate);
        let before = self.words.insert(server, Word { rate, at: now });
        change(before.and_then(|before| before.rate), rate)
    }

    /// Records an answer without a limit. Answers to requests sent before the server last
    /// stated its limit are ignored, since they may be older than that statement.
    pub fn record_unlimited(
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

    /// Merges a peer's observation. Returns the change, if any.
    pub fn merge(&mut self, seen: LimitObservation, now: Instant) -> Option<LimitChange> {
        let rate = seen
            .rate
            .and_then(|rate| RequestRate::from_per_s(rate.per_s()));
        let at = now.checked_sub(Duration::from_millis(seen.age_ms))?;
        let Some(known) = self.words.get_mut(&seen.server) else {
            // A lifted limit changes nothing for an unknown server; an old one is ignored.
            rate.filter(|_| now.saturating_duration_since(at) < KEPT_UNLISTED)?;
            self.words.insert(seen.server, Word { rate, at });
            return change(None, rate);
        };
        // An observation looks slightly younger each time it is forwarded, so that taking
        // over its time would keep it from ever expiring.
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

    /// At most `most` observations to advertise in a heartbeat, the latest first and the
    /// older ones in rotation by `turn`.
    #[must_use]
    pub fn advertised(&self, most: usize, turn: usize, now: Instant) -> Vec<LimitObservation> {
        let words = self.words.iter();
        let told = words.filter(|(_, word)| {
            word.rate.is_some() || now.saturating_duration_since(word.at) < LIFTED_TOLD
        });
        let mut told: Vec<LimitObservation> = told
            .map(|(server, word)| LimitObservation {
                server: *server,
                rate: word.rate,
                age_ms: millis(now.saturating_duration_since(word.at)),
            })
            .collect();
        told.sort_by_key(|seen| (seen.age_ms, seen.server));
        told_in_turn(&told, most, turn)
    }

    /// Removes old observations of servers for which `is_known` is false.
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
