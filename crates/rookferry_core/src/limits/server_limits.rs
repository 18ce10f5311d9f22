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
use crate::serving::rotation::rotation_batch;

/// Time difference from which the order of two observations is certain.
const ORDER_TOLERANCE: Duration = Duration::from_millis(200);
/// How long a lifted limit is advertised to peers.
const LIFTED_ADVERTISED: Duration = Duration::from_secs(30);
/// How long the observation of an unlisted server is retained: entries disappear and
/// return with outages of the store.
const UNLISTED_RETENTION: Duration = Duration::from_mins(10);

/// The latest observation of a server.
#[derive(Clone, Copy, Debug)]
struct Observation {
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
    observations: HashMap<ServerKey, Observation>,
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
        self.observations.get(&server)?.rate
    }

    /// Age of the latest observation of a server, if there is one.
    #[must_use]
    pub fn age(&self, server: ServerKey, now: Instant) -> Option<Duration> {
        let observation = self.observations.get(&server)?;
        Some(now.saturating_duration_since(observation.at))
    }

    /// Whether there is no observation of any server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Records a limit that a server stated in an answer. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        server: ServerKey,
        rate: RequestRate,
        now: Instant,
    ) -> Option<LimitChange> {
        let rate = Some(rate);
        let before = self
            .observations
            .insert(server, Observation { rate, at: now });
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
        let observation = self.observations.get_mut(&server)?;
        if observation.rate.is_none() || sent_at <= observation.at {
            return None;
        }
        *observation = Observation {
            rate: None,
            at: now,
        };
        Some(LimitChange::Lifted)
    }

    /// Merges a peer's observation. Returns the change, if any.
    pub fn merge(&mut self, reported: LimitObservation, now: Instant) -> Option<LimitChange> {
        let rate = reported
            .rate
            .and_then(|rate| RequestRate::from_per_s(rate.per_s()));
        let at = now.checked_sub(Duration::from_millis(reported.age_ms))?;
        let Some(known) = self.observations.get_mut(&reported.server) else {
            // A lifted limit changes nothing for an unknown server; an old one is
            // ignored.
            rate.filter(|_| now.saturating_duration_since(at) < UNLISTED_RETENTION)?;
            self.observations
                .insert(reported.server, Observation { rate, at });
            return change(None, rate);
        };
        // An observation looks slightly younger each time it is forwarded, so that taking
        // over its time would keep it from ever expiring.
        if known.rate == rate {
            return None;
        }
        let is_later = at > known.at + ORDER_TOLERANCE;
        let is_close = at + ORDER_TOLERANCE >= known.at;
        let is_lower = per_s(rate) < per_s(known.rate);
        if !(is_later || is_close && is_lower) {
            return None;
        }
        let before = known.rate;
        *known = Observation {
            rate,
            at: at.max(known.at),
        };
        change(before, rate)
    }

    /// At most `max_count` observations to advertise in a heartbeat, the latest first and
    /// the older ones in rotation by `turn`.
    #[must_use]
    pub fn advertised(&self, max_count: usize, turn: usize, now: Instant) -> Vec<LimitObservation> {
        let observations = self.observations.iter();
        let advertised = observations.filter(|(_, observation)| {
            observation.rate.is_some()
                || now.saturating_duration_since(observation.at) < LIFTED_ADVERTISED
        });
        let mut advertised: Vec<LimitObservation> = advertised
            .map(|(server, observation)| LimitObservation {
                server: *server,
                rate: observation.rate,
                age_ms: millis(now.saturating_duration_since(observation.at)),
            })
            .collect();
        advertised.sort_by_key(|reported| (reported.age_ms, reported.server));
        rotation_batch(&advertised, max_count, turn)
    }

    /// Removes old observations of servers for which `is_known` is false.
    pub fn retain(&mut self, now: Instant, is_known: impl Fn(ServerKey) -> bool) {
        self.observations.retain(|server, observation| {
            is_known(*server) || now.saturating_duration_since(observation.at) < UNLISTED_RETENTION
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
