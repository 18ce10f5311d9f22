//! What servers said of themselves in answers to this instance: that it is to back
//! off from them for a time, and that they leave.
//!
//! Load pattern: a server that is short of room refuses with a time, and each
//! request that comes in it costs the server work and the caller a retry. Where
//! the others of its service fail requests too, it looks the best of them again
//! before the time is over. A time is between a server and whoever it told, so it
//! isn't passed on: others may go on sending. Both go by a server's start, so
//! that the next one begins with nothing against it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::Backoffs;
use super::ServerKey;

/// How long it is kept of a server without an entry that it leaves: entries go,
/// and come back, with the store's outages of some ten seconds.
const LEAVING_KEPT: Duration = Duration::from_mins(10);

/// What servers said of themselves.
#[derive(Clone, Debug, Default)]
pub struct ServerNotices {
    /// When the backoff from each ends.
    backoffs: Backoffs<ServerKey>,
    /// Since when each is known to leave.
    leaving: HashMap<ServerKey, Instant>,
}

impl ServerNotices {
    /// Nothing was said.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A server asked for a backoff; tells how long it is.
    pub fn back_off(&mut self, server: ServerKey, asked: Duration, now: Instant) -> Duration {
        self.backoffs.back_off(server, asked, now)
    }

    /// How much longer to back off from a server, if at all.
    #[must_use]
    pub fn backoff_left(&self, server: ServerKey, now: Instant) -> Option<Duration> {
        self.backoffs.left(server, now)
    }

    /// When the backoff from a server ends, if there is one now.
    #[must_use]
    pub fn backoff_until(&self, server: ServerKey, now: Instant) -> Option<Instant> {
        self.backoffs.until(server, now)
    }

    /// Whether a server may be sent new requests at a time, by what it said.
    #[must_use]
    pub fn allow(&self, server: ServerKey, at: Instant) -> bool {
        !self.is_leaving(server) && self.backoff_left(server, at).is_none()
    }

    /// A server leaves. Tells whether that is news.
    pub fn note_leaving(&mut self, server: ServerKey, now: Instant) -> bool {
        let is_news = !self.is_leaving(server);
        self.leaving.entry(server).or_insert(now);
        is_news
    }

    /// Whether a server said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, server: ServerKey) -> bool {
        self.leaving.contains_key(&server)
    }

    /// Forgets what is over, and servers that `is_known` doesn't know.
    pub fn retain(&mut self, now: Instant, is_known: impl Fn(ServerKey) -> bool) {
        self.backoffs.expire(now);
        self.leaving.retain(|server, since| {
            is_known(*server) || now.saturating_duration_since(*since) < LEAVING_KEPT
        });
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.backoffs.is_empty() && self.leaving.is_empty()
    }
}
