//! Membership and load exchange between the instances of a site, as `rookferry_relay`
//! runs it.
//!
//! | part | question it answers |
//! |---|---|
//! | [`Heartbeat`] | what does one instance report to another? |
//! | [`PeerTable`] | which instances are live, and what does each have in flight? |
//! | [`Fanout`] | which peers get a heartbeat in this round? |
//! | [`HeartbeatFitter`] | what is left out of a heartbeat that is too long? |
//! | [`HeartbeatRotation`] | which part of a long list is advertised now? |
//! | [`SuspectedServers`] | which servers do other instances report as unresponsive? |
//! | [`PeerTable::permit_granters`] | which instance grants the permits of a limited server? |
//! | [`BodySource`] | which peer gets a new configuration from which? |
//!
//! In a small failure domain each instance sends to all others. In a larger one
//! the traffic would grow with the square of the instances, so two of them, the
//! aggregators, collect the load of each and send the sums to all. There is no
//! election: an instance that receives heartbeats from fewer than two members
//! ranked before it acts as an aggregator. Two instances that can't reach each
//! other may both act; correctness doesn't depend on which ones do.

mod aggregate;
mod assumed_load;
mod body_source;
mod capacity;
mod fanout;
mod heartbeat_fitter;
mod heartbeat_list;
mod heartbeat_rotation;
mod load;
mod member_cursor;
mod message;
mod peer;
mod permits;
mod suspected;
mod table;
mod tunnel_chooser;
mod tunnel_peers;
mod tunnel_queue;

pub use aggregate::AggregatedLoads;
pub use assumed_load::AssumedLoad;
pub use body_source::BodyOffer;
pub use body_source::BodySource;
pub use capacity::Capacity;
pub use fanout::Fanout;
pub use fanout::Round;
pub use fanout::Targets;
pub use heartbeat_fitter::EncodedSize;
pub use heartbeat_fitter::HeartbeatCut;
pub use heartbeat_fitter::HeartbeatFitter;
pub use heartbeat_fitter::ShortenedHeartbeat;
pub use heartbeat_list::HeartbeatList;
pub use heartbeat_rotation::HeartbeatRotation;
pub use load::LoadEntry;
pub use load::ReportObservation;
pub use load::ServerLoad;
pub use member_cursor::MemberCursor;
pub use message::ConfigState;
pub use message::DomainLoads;
pub use message::DomainMembers;
pub use message::Echo;
pub use message::Heartbeat;
pub use message::HolderObservation;
pub use message::ListState;
pub use message::MemberObservation;
pub use message::StoreState;
pub use suspected::ProbeRole;
pub use suspected::SuspectedServers;
pub use table::PeerTable;
pub use tunnel_chooser::TunnelChooser;
pub use tunnel_peers::TunnelPeer;
pub use tunnel_queue::TunnelQueue;
