//! Estimate of what peers have admitted since the loads that are known of them.
//!
//! Load pattern: requests come at several times the rate that an engine can serve, at
//! instances that know each other's loads some tenths of a second late. All of them see
//! the same free cache and fill it many times over. Requests reach all instances alike, so
//! each assumes that every peer has admitted as much as itself in that time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::serving::ServerKey;

/// Age of the loads that are known of peers: about a round of heartbeats.
const LOADS_AGE: Duration = Duration::from_millis(300);
/// Most servers for which admissions are kept.
const MAX_SERVERS: usize = 4_096;

/// This instance's latest admissions, by server.
#[derive(Clone, Debug, Default)]
pub struct AssumedLoad {
    admitted: HashMap<ServerKey, VecDeque<(Instant, f64)>>,
}

impl AssumedLoad {
    /// Nothing admitted yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request with some tokens was admitted at a server.
    pub fn record(&mut self, server: ServerKey, tokens: f64, now: Instant) {
        if self.admitted.len() >= MAX_SERVERS {
            self.admitted
                .retain(|_, admitted| admitted.back().is_some_and(|(at, _)| is_recent(*at, now)));
        }
        let admitted = self.admitted.entry(server).or_default();
        while admitted.front().is_some_and(|(at, _)| !is_recent(*at, now)) {
            admitted.pop_front();
        }
        admitted.push_back((now, tokens));
    }

    /// Tokens that `peers` other instances are assumed to have admitted at a server, beyond
    /// the loads known of them.
    #[must_use]
    pub fn tokens(&self, server: ServerKey, peers: usize, now: Instant) -> f64 {
        let Some(admitted) = self.admitted.get(&server) else {
            return 0.0;
        };
        let recent = admitted.iter().filter(|(at, _)| is_recent(*at, now));
        let own: f64 = recent.map(|(_, tokens)| tokens).sum();
        own * peers as f64
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < LOADS_AGE
}
