//! Permits to send one request to a limited server, and the messages to request them.
//!
//! The messages are encoded by `postcard`: the order of fields and variants is the wire
//! format.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::LimitObservation;
use crate::serving::ServerKey;
use crate::serving::Urgency;

/// Lifetime of a permit, from the time of its request. Long enough to open a connection;
/// a request sent later would add to those of the granter's next window.
const PERMIT_LIFETIME: Duration = Duration::from_millis(300);

/// Permission to send one request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    server: ServerKey,
    expires_at: Instant,
}

impl Permit {
    /// A granted permit that was requested at a time.
    #[must_use]
    pub fn requested_at(server: ServerKey, at: Instant) -> Self {
        Self {
            server,
            expires_at: at + PERMIT_LIFETIME,
        }
    }

    /// Whether the permit is for this server and hasn't expired.
    #[must_use]
    pub fn allows(&self, server: ServerKey, now: Instant) -> bool {
        self.server == server && now < self.expires_at
    }
}

/// A request to the granter of a server for one permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number that matches the answer to this message.
    pub number: u64,
    /// The server, and its limit as last known to the sender.
    pub seen: LimitObservation,
    /// Urgency of the caller's request; none if the sender only reports what it sent.
    pub urgency: Option<Urgency>,
    /// Age in milliseconds of each request that the sender sent to the server without a
    /// permit; each is reported once.
    pub sent_ms_ago: Vec<u16>,
}

/// The answer to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// One request may be sent.
    Granted,
    /// No request may be sent now.
    Refused(PermitRefusal),
    /// The asked instance doesn't grant them now; the granter that it knows, if any.
    Elsewhere(Option<std::net::SocketAddr>),
}

/// When to request a refused permit again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRefusal {
    /// Time until the next permit request, in milliseconds.
    pub ask_again_ms: u64,
    /// Time in which all recently refused requests can be served, in milliseconds; their
    /// retries are spread over it.
    pub spread_ms: u64,
}
