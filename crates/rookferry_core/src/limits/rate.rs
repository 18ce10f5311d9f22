//! How many requests a second a server takes.

use serde::Deserialize;
use serde::Serialize;

/// The least that is believed, in requests a second. A server that named nothing
/// still gets a request now and then, whose answer tells when it takes more.
const LEAST_PER_S: f64 = 0.25;
/// From here on a limit bounds nothing that a site sends to one server, in
/// requests a second.
const BOUNDLESS_PER_S: f64 = 10_000.0;

/// Requests a second, within bounds that make sense of any figure.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate {
    per_s: f64,
}

impl RequestRate {
    /// A figure in requests a second; none if it bounds nothing, or is no number.
    #[must_use]
    pub fn bounded(per_s: f64) -> Option<Self> {
        let bounds = (0.0..BOUNDLESS_PER_S).contains(&per_s);
        bounds.then(|| Self {
            per_s: per_s.max(LEAST_PER_S),
        })
    }

    /// The figure, in requests a second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.per_s
    }
}
