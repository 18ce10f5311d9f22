//! How long ago a configuration was known to be the newest.

use std::time::Duration;
use std::time::Instant;

/// The time at which a configuration was last confirmed, and its version.
///
/// It counts from before the call that confirmed it was sent, on the steady
/// clock, so that a pause of the process, or of the network, only makes it
/// look older than it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigAge {
    version: u64,
    confirmed_at: Option<Instant>,
}

impl ConfigAge {
    /// Nothing is confirmed.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            version: 0,
            confirmed_at: None,
        }
    }

    /// A version was the newest at some time.
    pub fn confirm(&mut self, version: u64, at: Instant) {
        if version < self.version {
            return;
        }
        let is_newer = version > self.version;
        let is_later = self.confirmed_at.is_none_or(|before| before < at);
        self.version = version;
        if is_newer || is_later {
            self.confirmed_at = Some(at);
        }
    }

    /// The newest confirmed version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// How long ago it was confirmed; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Whether requests may be sent under it.
    #[must_use]
    pub fn is_fresh(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
