//! Questions between instances, and their answers.

use std::net::SocketAddr;

use rookferry_core::BackendServer;
use rookferry_core::ListDelta;
use rookferry_core::ListFingerprint;
use rookferry_core::ListVersion;
use rookferry_core::PermitAnswer;
use rookferry_core::PermitRequest;
use rookferry_core::ServingConfig;
use serde::Deserialize;
use serde::Serialize;

/// A datagram between instances; heartbeats are sent as references.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerDatagram<H> {
    /// What an instance tells of itself and of the site.
    Heartbeat(H),
    /// May a request be sent?
    Ask(PermitRequest),
    /// The answer to the question of a number.
    Answer(u64, PermitAnswer),
}

/// A question over TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerQuestion {
    /// Where the one that asks answers others.
    pub(crate) from: SocketAddr,
    pub(crate) request: PeerRequest,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// The configuration, if it is newer than a version.
    Config { newer_than: u64 },
    /// The backend servers, if their list is newer than the one that is had.
    Servers { had: ListFingerprint },
}

/// Its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerAnswer {
    /// A newer configuration.
    Config {
        config: Box<ServingConfig>,
        /// How long ago it was known to be the newest.
        age_ms: Option<u64>,
    },
    /// Newer backend servers.
    Servers {
        version: ListVersion,
        servers: Vec<BackendServer>,
        /// How long ago they were known to be the newest.
        age_ms: Option<u64>,
    },
    /// What differs in a newer list of backend servers from the one that is had.
    ServerChanges {
        list: ListFingerprint,
        delta: ListDelta,
        /// How long ago the list was known to be the newest.
        age_ms: Option<u64>,
    },
    /// Nothing newer.
    NothingNewer,
    /// Something newer, which these have too; or none yet but the one asked.
    Elsewhere(Vec<SocketAddr>),
}
