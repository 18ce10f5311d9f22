//! What is under way at a server.

use std::ops::AddAssign;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

use crate::serving::ServerKey;

/// What is under way at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Requests.
    pub requests: u32,
    /// Their tokens.
    pub tokens: f64,
}

impl ServerLoad {
    /// As much again for each of some instances.
    #[must_use]
    pub fn times(self, instances: usize) -> Self {
        let requests = u32::try_from(instances).unwrap_or(u32::MAX);
        Self {
            requests: self.requests.saturating_mul(requests),
            tokens: self.tokens * instances as f64,
        }
    }

    /// A part of it; requests are rounded up.
    #[must_use]
    pub(super) fn part(self, part: f64) -> Self {
        Self {
            requests: whole((f64::from(self.requests) * part).ceil()),
            tokens: self.tokens * part,
        }
    }

    /// This, or another load where that is less.
    #[must_use]
    pub(super) const fn at_most(self, most: Self) -> Self {
        Self {
            requests: if self.requests < most.requests {
                self.requests
            } else {
                most.requests
            },
            tokens: self.tokens.min(most.tokens),
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

    /// What is left without another part; nothing is below 0.
    fn sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            tokens: (self.tokens - other.tokens).max(0.0),
        }
    }
}

/// What a sender has under way at a server, and what it saw of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// The server.
    pub server: ServerKey,
    /// Requests under way there.
    pub requests: u32,
    /// Their tokens.
    pub tokens: u32,
    /// How long ago the server last gave a sign of life, in milliseconds.
    pub silent_ms: u64,
    /// What the server last reported.
    pub report: Option<ReportSeen>,
}

impl LoadEntry {
    /// The load that it tells of.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            requests: self.requests,
            tokens: f64::from(self.tokens),
        }
    }

    /// The same server with another load.
    #[must_use]
    pub fn with_load(self, load: ServerLoad) -> Self {
        Self {
            requests: load.requests,
            tokens: whole(load.tokens),
            ..self
        }
    }
}

/// A server's report on how slow it is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportSeen {
    /// How many times as long as published its steps take.
    pub slowdown: f64,
    /// Its age in milliseconds.
    pub age_ms: u64,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates, and tokens aren't below 0"
)]
const fn whole(tokens: f64) -> u32 {
    tokens as u32
}
