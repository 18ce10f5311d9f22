//! Exchange of state between the instances of a site.
//!
//! Heartbeats over UDP carry the version and age of the configuration and of the server
//! list, the load in flight at each server, and the addresses of other instances. Bodies,
//! which are larger, are fetched over TCP from a peer that advertises a newer version.
//! Failure suspicion only decides which peers are contacted and how budgets are shared;
//! no safety property depends on it.

mod builder;
mod datagram_size;
mod fetch;
mod handler;
mod heartbeat;
mod message;
mod transfer;

pub(crate) use builder::advertised_ms;
pub(crate) use heartbeat::HeartbeatTask;
pub(crate) use message::PeerDatagram;
pub(crate) use message::PeerQuery;
pub(crate) use message::PeerRequest;
pub(crate) use message::PeerResponse;
pub(crate) use transfer::receive;
pub(crate) use transfer::send;
pub(crate) use transfer::serve_peers;
