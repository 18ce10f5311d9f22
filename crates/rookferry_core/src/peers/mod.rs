//! What the instances of a site tell each other, and who writes to whom.
//!
//! | part | question it answers |
//! |---|---|
//! | [`Heartbeat`] | what does one instance tell another? |
//! | [`PeerTable`] | who is there, and what has each under way? |
//! | [`Fanout`] | to whom does this instance write in this round? |
//! | [`DoubtedServers`] | which servers do others have trouble with? |
//! | [`PeerTable::permit_granters`] | who grants the permits of a server with a limit? |
//! | [`BodySource`] | who gives a new configuration on to whom? |
//!
//! In a small failure domain each instance writes to all others. In a larger
//! one that would grow with the square of the instances, so two of them, its
//! heads, gather what each has under way and tell the sums to all. Nobody is
//! elected: whoever hears fewer than two members before itself acts as a head,
//! so that two instances that can't hear each other both do, and no safety
//! rests on who does.

mod capacity;
mod doubt;
mod fanout;
mod load;
mod message;
mod peer;
mod permits;
mod source;
mod sums;
mod table;

pub use capacity::Capacity;
pub use doubt::DoubtedServers;
pub use doubt::DoubtedUse;
pub use fanout::Fanout;
pub use fanout::Round;
pub use fanout::Targets;
pub use load::LoadEntry;
pub use load::ReportSeen;
pub use load::ServerLoad;
pub use message::ConfigState;
pub use message::DomainLoads;
pub use message::Echo;
pub use message::Heartbeat;
pub use message::HolderSeen;
pub use message::ListState;
pub use message::MemberSeen;
pub use message::MembersOf;
pub use source::BodySource;
pub use source::Offer;
pub use sums::DomainSums;
pub use table::PeerTable;
