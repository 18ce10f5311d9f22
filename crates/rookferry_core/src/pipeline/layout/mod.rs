//! Which engine holds which layers.
//!
//! Each failure domain whose engines suffice holds every layer by itself, so
//! that it goes on when it is cut off; the others form one group. For each
//! group the room is sought with which its fastest engines, as a chain, carry
//! the most requests a second, while pauses keep to the routes' objective:
//! more layers an engine make the chain faster, and leave less room for the
//! requests under way.
//!
//! What is missing in a group is loaded first, onto engines that are empty or
//! whose layers others in the group hold too, the fastest first. Engines that
//! are still empty then take layers where they save the most time, or else
//! those that are held least often. Where engines were lost and some layers
//! have far less room than the others, copies are moved there. Engines that
//! hold something useful are left alone otherwise: a load takes seconds and
//! is paid for.

mod arrivals;
mod balance;
mod census;
mod draft;
mod engine;
mod holdings;
mod planner;
mod retile;
mod room;

pub use arrivals::Arrivals;
pub use census::FleetCensus;
pub use engine::LayoutEngine;
pub use engine::NeededPlacement;
pub use planner::LayoutPlanner;
