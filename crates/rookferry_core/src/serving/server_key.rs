//! Which process is meant: a server's name, and its start.
//!
//! A server may start again under its name, at the same address or another,
//! and an address may be taken over by another server. The new process holds
//! and knows nothing of before. So all that is believed of a server (its load,
//! its signs of life, what it refused) is kept by this key, and instances tell
//! each other of servers by it: news of the former process, however late, is
//! about the former key and says nothing of the new one.

use std::net::SocketAddr;

use rookferry_wire::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// One start of a backend server.
///
/// Of the name and the start it holds a hash, since heartbeats carry a key for
/// each server in use: 12 bytes in place of some 30. As bytes, since a whole
/// number of its size would take five.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey {
    /// Where it listens.
    pub addr: SocketAddr,
    /// A hash of its name and incarnation; tells apart those that had the
    /// address one after the other.
    start_hash: [u8; 4],
}

impl ServerKey {
    /// The start of a server of a name; without an incarnation, each start has
    /// a name of its own.
    #[must_use]
    pub fn new(addr: SocketAddr, id: &str, incarnation: Option<Incarnation>) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(id.as_bytes());
        if let Some(incarnation) = incarnation {
            // Names don't hold a zero byte, so no name runs into a start.
            hasher.update([0]);
            hasher.update(incarnation.to_be_bytes());
        }
        let hash = hasher.finalize();
        Self {
            addr,
            start_hash: [hash[0], hash[1], hash[2], hash[3]],
        }
    }
}
