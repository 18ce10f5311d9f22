//! Membership of a site, adoption of configurations, and sharing of engine polls, as
//! `rookferry_entry` runs them.
//!
//! | part | question it answers |
//! |---|---|
//! | [`MemberTable`] | which instances are live, by their heartbeats? |
//! | [`HeartbeatPlan`] | which peers get a heartbeat in this round? |
//! | [`poll_reason`] | does this instance poll an engine itself? |
//! | [`ConfigAdopter`] | is an offered configuration newer and valid? |
//!
//! A suspicion only decides where to send; correctness doesn't depend on it.

mod adopt;
mod plan;
mod poll;
mod table;

pub use adopt::AdoptOutcome;
pub use adopt::ConfigAdopter;
pub use plan::HeartbeatPlan;
pub use plan::PeerTarget;
pub use plan::rendezvous_owner;
pub use poll::PollInput;
pub use poll::PollReason;
pub use poll::engine_tag;
pub use poll::extra_polls_allowed;
pub use poll::info_tag;
pub use poll::poll_interval;
pub use poll::poll_reason;
pub use table::HeartbeatError;
pub use table::Member;
pub use table::MemberState;
pub use table::MemberTable;
