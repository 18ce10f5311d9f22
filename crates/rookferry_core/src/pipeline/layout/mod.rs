//! Assignment of layers to engines.
//!
//! Input are the engines of a service with what they hold, and the figures of the
//! model; output are the ranges that engines should load. The holder of the placement
//! lease plans for the whole site; while there is none, instances plan for their own
//! domains.
//!
//! Each failure domain with sufficient engines holds every layer by itself, so
//! that it keeps serving when it is cut off. The engines of the other domains form
//! one group. For each group the planner chooses the number of requests that
//! engines reserve cache for: the one with which the group's fastest engines, as a
//! chain, complete the most requests per second while pauses meet the routes'
//! objective. More layers per engine make the chain faster, but leave less cache
//! for requests in flight.
//!
//! The planner then proceeds in this order:
//!
//! 1. It fills gaps: layers that no engine of the group holds go to engines that
//!    are empty or whose layers other engines of the group hold too, the fastest
//!    first.
//! 2. Engines that are still empty get the layers where they save the most time,
//!    or else those with the fewest copies.
//! 3. If lost engines left some layers with far less cache than the others, a copy
//!    is moved there.
//!
//! Other engines keep their layers, since a load takes seconds and isn't free.

mod arrivals;
mod balance;
mod capacity;
mod draft;
mod engine;
mod holdings;
mod inventory;
mod planner;
mod retile;

pub use arrivals::ArrivalTracker;
pub use engine::LayoutEngine;
pub use engine::NeededPlacement;
pub use inventory::FleetInventory;
pub use planner::LayoutPlanner;
