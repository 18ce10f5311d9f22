//! Backoffs that backend servers asked for, with servers identified by a key `K` of the
//! caller's choice.
//!
//! Load pattern: an overloaded server refuses requests and states a backoff. Each request
//! that is sent to it before then costs the server work and the caller a retry. A server
//! that is overloaded can still look like the best candidate before its backoff is over
//! if the other servers of its service fail requests too. A backoff applies only to the
//! instance that it was given to and isn't passed on to peers, which may go on sending.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

/// Longest backoff that is accepted at once. Servers ask for seconds; one that asks for
/// more is tried again each minute, so that a corrupt value doesn't exclude it for good.
const LONGEST_BACKOFF: Duration = Duration::from_mins(1);

/// The backoffs that are in force, by server.
#[derive(Clone, Debug)]
pub struct Backoffs<K> {
    until: HashMap<K, Instant>,
}

impl<K> Default for Backoffs<K> {
    fn default() -> Self {
        Self {
            until: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Backoffs<K> {
    /// No backoffs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a backoff of at most a minute and returns the time left. An earlier backoff
    /// that lasts longer stays in force.
    pub fn back_off(&mut self, server: K, asked: Duration, now: Instant) -> Duration {
        self.expire(now);
        let until = now + asked.min(LONGEST_BACKOFF);
        let known = self.until.entry(server).or_insert(until);
        *known = until.max(*known);
        known.saturating_duration_since(now)
    }

    /// When the server's backoff ends; `None` if none is in force.
    #[must_use]
    pub fn until(&self, server: K, now: Instant) -> Option<Instant> {
        let until = self.until.get(&server).copied();
        until.filter(|until| *until > now)
    }

    /// Time left of the server's backoff; `None` if none is in force.
    #[must_use]
    pub fn left(&self, server: K, now: Instant) -> Option<Duration> {
        let until = self.until(server, now)?;
        Some(until.saturating_duration_since(now))
    }

    /// Drops the backoff of a server whose process has been replaced.
    pub fn forget(&mut self, server: K) {
        self.until.remove(&server);
    }

    /// Drops backoffs that are over.
    pub fn expire(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }

    /// Whether no backoff is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
