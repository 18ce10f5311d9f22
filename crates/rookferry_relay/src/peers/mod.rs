//! Exchange of state between the instances of a site.
//!
//! Heartbeats over UDP carry the version and age of the configuration and of the server
//! list, the load in flight at each server, and the addresses of other instances. Bodies,
//! which are larger, are fetched over TCP from a peer that advertises a newer version.
//! Failure suspicion only decides which peers are contacted and how budgets are shared;
//! no safety property depends on it.

mod compose;
mod exchange;
mod fetch;
mod heartbeat;
mod intake;
mod message;

pub(crate) use compose::told_ms;
pub(crate) use exchange::answer_peers;
pub(crate) use heartbeat::Heartbeats;
pub(crate) use message::PeerDatagram;
