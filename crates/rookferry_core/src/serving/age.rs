//! How long ago something was known to be the newest of its kind.

use std::time::Duration;
use std::time::Instant;

use super::ListVersion;

/// The age of a configuration.
pub type ConfigAge = VersionAge<u64>;
/// The age of a list of servers.
pub type ServersAge = VersionAge<ListVersion>;

/// The time at which a version was last confirmed to be the newest.
///
/// It counts from before the call that confirmed it was sent, so that a pause of
/// the process, or of the network, only makes it look older than it is. Its
/// instants must be of a clock that goes on while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionAge<V> {
    version: V,
    confirmed_at: Option<Instant>,
}

impl<V: Copy + Default + Ord> VersionAge<V> {
    /// Nothing is confirmed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A version was the newest at some time.
    ///
    /// The time never goes back: what an older version was confirmed for, all
    /// that was acknowledged before, is in a newer version too.
    pub fn confirm(&mut self, version: V, at: Instant) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// The newest confirmed version.
    #[must_use]
    pub const fn version(&self) -> V {
        self.version
    }

    /// When it was confirmed last; `None` if it never was.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// How long ago it was confirmed; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Whether it was confirmed within a time.
    #[must_use]
    pub fn is_fresh(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
