//! Which instances of the system answer, and what they say.
//!
//! Suspicion decides only where to send; no safety rests on it.

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
