//! The load of a server: requests and tokens in flight.

use std::ops::AddAssign;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

use crate::serving::ServerKey;

/// Requests and tokens in flight at a server, of one instance or several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Tokens of these requests.
    pub tokens: f64,
}

impl ServerLoad {
    /// The load of `instances` instances with this load each.
    #[must_use]
    pub fn times(self, instances: usize) -> Self {
        let requests = u32::try_from(instances).unwrap_or(u32::MAX);
        Self {
            requests: self.requests.saturating_mul(requests),
            tokens: self.tokens * instances as f64,
        }
    }

    /// A fraction of the load; requests are rounded up.
    #[must_use]
    pub(super) fn fraction(self, fraction: f64) -> Self {
        Self {
            requests: saturating_u32((f64::from(self.requests) * fraction).ceil()),
            tokens: self.tokens * fraction,
        }
    }

    /// The lower of both loads, separately in requests and in tokens.
    #[must_use]
    pub(super) const fn at_most(self, other: Self) -> Self {
        Self {
            requests: if self.requests < other.requests {
                self.requests
            } else {
                other.requests
            },
            tokens: self.tokens.min(other.tokens),
        }
    }
}

impl AddAssign for ServerLoad {
    fn add_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens += other.tokens;
    }
}

impl Sub for ServerLoad {
    type Output = Self;

    /// The difference, with both figures at least 0.
    fn sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            tokens: (self.tokens - other.tokens).max(0.0),
        }
    }
}

/// A heartbeat sender's load at one server, and its latest knowledge of that server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// The server.
    pub server: ServerKey,
    /// Requests in flight there.
    pub requests: u32,
    /// Tokens of these requests.
    pub tokens: u32,
    /// Time since the server was last known to be alive, in milliseconds.
    pub silent_ms: u64,
    /// The server's last report of its slowdown, if any.
    pub report: Option<ReportObservation>,
}

impl LoadEntry {
    /// The load alone.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            requests: self.requests,
            tokens: f64::from(self.tokens),
        }
    }

    /// The same entry with another load.
    #[must_use]
    pub fn with_load(self, load: ServerLoad) -> Self {
        Self {
            requests: load.requests,
            tokens: saturating_u32(load.tokens),
            ..self
        }
    }
}

/// A server's report on how slow it is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportObservation {
    /// Duration of its steps as a multiple of the published duration.
    pub slowdown: f64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates, and tokens aren't below 0"
)]
const fn saturating_u32(tokens: f64) -> u32 {
    tokens as u32
}
