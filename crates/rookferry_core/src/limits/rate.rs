//! The rate of requests that a server allows.

use serde::Deserialize;
use serde::Serialize;

/// Lower bound of a limit, in requests per second. A server that allows none still gets a
/// request occasionally, since only its answer shows when it allows more.
const MIN_PER_S: f64 = 0.25;
/// Limits from here on have no effect on what a site sends to one server, in requests per
/// second.
const UNLIMITED_PER_S: f64 = 10_000.0;

/// A limit in requests per second, within fixed bounds.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate {
    per_s: f64,
}

impl RequestRate {
    /// A limit in requests per second, raised to the lower bound. None if it is negative,
    /// not a number, or too high to have an effect.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_effective = (0.0..UNLIMITED_PER_S).contains(&per_s);
        is_effective.then(|| Self {
            per_s: per_s.max(MIN_PER_S),
        })
    }

    /// The limit in requests per second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.per_s
    }
}
