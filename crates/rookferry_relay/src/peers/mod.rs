//! What the instances of a site tell each other.
//!
//! Heartbeats by UDP carry the version and age of the configuration, what is
//! under way at the servers, and other members. Bodies, which are larger, are
//! fetched by TCP from a peer that has a newer one. Suspicion decides only
//! whom to ask and how budgets are shared; no safety rests on it.

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
