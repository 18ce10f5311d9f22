//! Membership of a site, adoption of configurations, and sharing of engine polls.
//!
//! | part | question it answers |
//! |---|---|
//! | [`MemberTable`] | which instances are live, by their heartbeats? |
//! | [`HeartbeatPlan`] | which peers get a heartbeat in this round? |
//! | [`ask_reason`] | does this instance poll an engine itself? |
//! | [`ConfigAdopter`] | is an offered configuration newer and valid? |
//!
//! A suspicion only decides where to send; correctness doesn't depend on it.

mod adopt;
mod ask;
mod plan;
mod table;

pub use adopt::Adopted;
pub use adopt::ConfigAdopter;
pub use ask::AskInput;
pub use ask::AskReason;
pub use ask::ask_interval;
pub use ask::ask_reason;
pub use ask::engine_tag;
pub use ask::info_tag;
pub use ask::others_allowed;
pub use plan::HeartbeatPlan;
pub use plan::PeerTarget;
pub use plan::home_of;
pub use table::HeartbeatFault;
pub use table::Member;
pub use table::MemberState;
pub use table::MemberTable;
