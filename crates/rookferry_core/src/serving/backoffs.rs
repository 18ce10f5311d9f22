//! Backoffs that backend servers asked for, by whatever tells the servers apart.
//!
//! Load pattern: a server that is short of room refuses with a time, and each
//! request that comes in it costs the server work and the caller a retry. Where
//! the others of its service fail requests too, it looks the best of them again
//! before the time is over. A time is between a server and whoever it told, so it
//! isn't passed on: others may go on sending.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

/// The longest time that a server is believed at once. Servers ask for seconds;
/// one that asks for more is asked again each minute, so that a damaged figure
/// doesn't take it away for its life.
const LONGEST_BACKOFF: Duration = Duration::from_mins(1);

/// The servers to back off from.
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
    /// None.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A server asked for a backoff; tells how long it is. One that was asked for
    /// before and ends later still holds.
    pub fn back_off(&mut self, server: K, asked: Duration, now: Instant) -> Duration {
        self.expire(now);
        let until = now + asked.min(LONGEST_BACKOFF);
        let known = self.until.entry(server).or_insert(until);
        *known = until.max(*known);
        known.saturating_duration_since(now)
    }

    /// When the backoff from a server ends, if there is one now.
    #[must_use]
    pub fn until(&self, server: K, now: Instant) -> Option<Instant> {
        let until = self.until.get(&server).copied();
        until.filter(|until| *until > now)
    }

    /// How much longer to back off from a server, if at all.
    #[must_use]
    pub fn left(&self, server: K, now: Instant) -> Option<Duration> {
        let until = self.until(server, now)?;
        Some(until.saturating_duration_since(now))
    }

    /// Another process is there: what the one before asked for is over.
    pub fn forget(&mut self, server: K) {
        self.until.remove(&server);
    }

    /// Forgets times that are over.
    pub fn expire(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
