//! Which instances of the system answer, and what they say.
//!
//! Suspicion decides only where to send; no safety rests on it.

mod adopt;
mod plan;
mod table;

pub use adopt::Adopted;
pub use adopt::ConfigAdopter;
pub use plan::HeartbeatPlan;
pub use plan::PeerTarget;
pub use plan::home_of;
pub use table::HeartbeatFault;
pub use table::Member;
pub use table::MemberState;
pub use table::MemberTable;
