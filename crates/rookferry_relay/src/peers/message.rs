//! Messages between instances, encoded with `postcard`.

use std::net::SocketAddr;

use rookferry_core::BackendServer;
use rookferry_core::ListDelta;
use rookferry_core::ListFingerprint;
use rookferry_core::ListVersion;
use rookferry_core::PermitAnswer;
use rookferry_core::PermitRequest;
use rookferry_core::ServerKey;
use rookferry_core::ServingConfig;
use serde::Deserialize;
use serde::Serialize;

use crate::links::TunnelRefusal;

/// A datagram between instances; `H` is a heartbeat, or a reference to one when sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerDatagram<H> {
    /// State of the sender and of the site.
    Heartbeat(H),
    /// Asks for a permit to send a request to a server.
    Ask(PermitRequest),
    /// The answer to the permit request of this number.
    Answer(u64, PermitAnswer),
}

/// A request over TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerQuery {
    /// Where the requesting instance serves its peers.
    pub(crate) from: SocketAddr,
    pub(crate) request: PeerRequest,
}

/// The body that is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// The configuration, if it is newer than this version.
    Config { newer_than: u64 },
    /// The backend servers, if their list is newer than the one the requester has.
    Servers { had: ListFingerprint },
    /// A connection to a server, whose bytes follow the response on the same connection.
    Connect { server: ServerKey },
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    /// A newer configuration.
    Config {
        config: Box<ServingConfig>,
        /// Time since it was last known to be the newest, in milliseconds.
        age_ms: Option<u64>,
    },
    /// A newer list of backend servers.
    Servers {
        version: ListVersion,
        servers: Vec<BackendServer>,
        /// Time since the list was last known to be the newest, in milliseconds.
        age_ms: Option<u64>,
    },
    /// The difference between the requester's list of backend servers and a newer one.
    ServerChanges {
        list: ListFingerprint,
        delta: ListDelta,
        /// Time since the list was last known to be the newest, in milliseconds.
        age_ms: Option<u64>,
    },
    /// Nothing newer.
    NothingNewer,
    /// There is a newer body, which these peers have too; empty while only the responding
    /// instance has it.
    Elsewhere(Vec<SocketAddr>),
    /// The connection to the server is open.
    Connected,
    /// There is no connection to the server.
    NotConnected(TunnelRefusal),
}
