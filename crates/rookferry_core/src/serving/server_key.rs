//! Identity of one start of a backend server.
//!
//! A server may restart under its name, at the same address or another, and an address
//! may be taken over by another server. The new process has none of the former one's
//! state. So all state about a server (its load, when it last answered, what it refused)
//! is stored under this key, and peers report on servers by it: a late report about the
//! former process doesn't affect the new one.

use std::net::SocketAddr;

use rookferry_wire::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// The key of one start of a backend server.
///
/// It contains a hash of the name and the start, since heartbeats carry a key for each
/// server in use: 12 bytes instead of some 30. The hash is a byte array, since an integer
/// of this size would be encoded in five bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey {
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// A hash of its name and incarnation, which distinguishes successive servers at one
    /// address.
    start_hash: [u8; 4],
}

impl ServerKey {
    /// The key of a server that started as `incarnation`; `None` if each start has a name
    /// of its own.
    #[must_use]
    pub fn new(addr: SocketAddr, id: &str, incarnation: Option<Incarnation>) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(id.as_bytes());
        if let Some(incarnation) = incarnation {
            // Names contain no zero byte, so it separates the name from the incarnation.
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
