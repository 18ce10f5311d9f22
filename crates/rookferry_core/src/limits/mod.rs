//! Site-wide rate limits of servers, in requests per second of all instances together.
//!
//! | part | question it answers |
//! |---|---|
//! | [`ServerLimits`] | which limit did a server last state, to any instance? |
//! | [`PermitGranter`] | may a request be sent to a server now? |
//! | [`PermitTracker`] | which permits was this instance refused, and what did it send without? |
//!
//! A fixed share per instance doesn't work: hundreds of instances with one pending
//! request each are far over a limit of a few requests per second, and an equal share of
//! such a limit is useless to each of them. So one instance, the granter, counts the
//! requests of all, and the others request a permit from it right before they send. A
//! rendezvous hash chooses it among the instances of the server's failure domain
//! ([`PeerTable::permit_granters`]), without an election and with state in memory only.
//! While the instances' views differ there may be two granters, of which only the one on
//! the larger side grants the full limit ([`PeerTable::permit_share`]).
//!
//! [`PeerTable::permit_granters`]: crate::PeerTable::permit_granters
//! [`PeerTable::permit_share`]: crate::PeerTable::permit_share

mod granter;
mod permit;
mod rate;
mod server_limits;
mod tracker;

pub use granter::PermitGranter;
pub use permit::Permit;
pub use permit::PermitAnswer;
pub use permit::PermitRefusal;
pub use permit::PermitRequest;
pub use rate::RequestRate;
pub use server_limits::LimitChange;
pub use server_limits::LimitObservation;
pub use server_limits::ServerLimits;
pub use tracker::PermitTracker;
