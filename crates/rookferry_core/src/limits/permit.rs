//! Permits to send a request to a server, and the questions for them.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::LimitSeen;
use crate::serving::ServerKey;
use crate::serving::Urgency;

/// How long a permit is good for, from when it was asked for. A connection is
/// opened well within it; what is sent later would meet those of the next span.
const GOOD_FOR: Duration = Duration::from_millis(300);

/// Leave to send one request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    server: ServerKey,
    until: Instant,
}

impl Permit {
    /// A permit that was asked for at a time, and granted.
    #[must_use]
    pub fn asked_at(server: ServerKey, at: Instant) -> Self {
        Self {
            server,
            until: at + GOOD_FOR,
        }
    }

    /// Whether it is for a server, and still good.
    #[must_use]
    pub fn allows(&self, server: ServerKey, now: Instant) -> bool {
        self.server == server && now < self.until
    }
}

/// A question to the instance that grants the permits of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The number of the question, by which its answer is known.
    pub number: u64,
    /// What the sender last heard of the server's limit.
    pub seen: LimitSeen,
    /// How urgent the request is; without one the sender only tells what it sent.
    pub urgency: Option<Urgency>,
    /// How long ago the sender sent the server something without a permit, in
    /// milliseconds each; told once.
    pub sent_ms_ago: Vec<u16>,
}

/// The answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// One request may be sent.
    Granted,
    /// None now.
    Refused(PermitRefusal),
    /// Another instance grants them by what the one that was asked knows.
    Elsewhere(Option<std::net::SocketAddr>),
}

/// When there may be a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRefusal {
    /// When to ask again, in milliseconds from now.
    pub ask_again_ms: u64,
    /// In what time those that were refused lately can all be served, in
    /// milliseconds: they come back spread over it.
    pub spread_ms: u64,
}
