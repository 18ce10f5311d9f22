//! Durations as messages carry them, in milliseconds.

use std::time::Duration;

/// A duration in whole milliseconds, rounded down and saturating.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
