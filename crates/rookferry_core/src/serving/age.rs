//! The time at which a version of the configuration or the server list was last confirmed
//! to be the newest.

use std::time::Duration;
use std::time::Instant;

use super::ListVersion;

/// The confirmation time of a configuration.
pub type ConfigAge = VersionAge<u64>;
/// The confirmation time of a list of servers.
pub type ServersAge = VersionAge<ListVersion>;

/// A version, and when it was last confirmed to be the newest.
///
/// The confirmation time is the time before the confirming call was sent, so that a pause
/// of the process or the network can only make the version look older than it is. All
/// instants must come from a clock that advances while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionAge<V> {
    version: V,
    confirmed_at: Option<Instant>,
}

impl<V: Copy + Default + Ord> VersionAge<V> {
    /// No version is confirmed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `version` was the newest at `at`; an older version is ignored.
    ///
    /// The confirmation time never decreases: a newer version contains all writes that
    /// were acknowledged when the older one was confirmed.
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

    /// When the version was last confirmed; `None` if it never was.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Time since the last confirmation; `None` if there was none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Whether the last confirmation is at least `min_gap` before `at`, or there was none.
    #[must_use]
    pub fn has_gap_before(&self, at: Instant, min_gap: Duration) -> bool {
        self.confirmed_at
            .is_none_or(|confirmed_at| at.saturating_duration_since(confirmed_at) >= min_gap)
    }

    /// Whether the last confirmation is less than `bound` ago.
    #[must_use]
    pub fn is_fresh(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
