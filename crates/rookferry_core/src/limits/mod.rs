//! The requests a second that a server takes of all instances together.
//!
//! | part | question it answers |
//! |---|---|
//! | [`ServerLimits`] | which limit did a server name last, to any instance? |
//! | [`PermitGranter`] | may a request be sent to it now? |
//! | [`PermitBook`] | what does an instance keep of what it asked and sent? |
//!
//! A share for each instance doesn't add up: hundreds of them with one request
//! at hand are far over a limit of a few a second, and an equal part each is of
//! no use to anybody. So one instance, the granter, counts for all, and the
//! others ask it for a permit right before they send. It is the one of the
//! server's failure domain that a rendezvous hash names
//! ([`PeerTable::permit_granters`]); nobody is elected, and nothing is kept but
//! in memory. While views differ there may be two, of which only the one on the
//! larger side grants all that the limit allows ([`PeerTable::permit_share`]).
//!
//! [`PeerTable::permit_granters`]: crate::PeerTable::permit_granters
//! [`PeerTable::permit_share`]: crate::PeerTable::permit_share

mod book;
mod granter;
mod permit;
mod rate;
mod words;

pub use book::PermitBook;
pub use granter::PermitGranter;
pub use permit::Permit;
pub use permit::PermitAnswer;
pub use permit::PermitAsk;
pub use permit::PermitRefusal;
pub use rate::RequestRate;
pub use words::LimitChange;
pub use words::LimitSeen;
pub use words::ServerLimits;
