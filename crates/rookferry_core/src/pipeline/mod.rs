//! Pipeline-parallel models whose engines forward activations to each other.
//!
//! An engine holds a range of layers. A [`PipelinePath`] lists the engines that
//! a request passes through and the layers that each runs; it can be
//! constructed only if the stages cover every layer once and in order. The
//! router sends the path with the request, and the engines follow it.
//!
//! - [`PathFinder`] chooses the path of a request and replaces lost stages of a
//!   path in use.
//! - [`LayoutPlanner`] decides which engine loads which layers. It rates chains
//!   of engines by [`forecast`].
//! - [`FleetInventory`] decides which of the listed engines a plan may use yet.

mod engine;
mod finder;
mod forecast;
mod incarnation_choice;
mod layout;
mod model;
mod path;
mod path_search;

pub use engine::PipelineEngine;
pub use finder::FullestStage;
pub use finder::PathFinder;
pub use finder::PathSearchError;
pub use forecast::ChainForecast;
pub use forecast::ChainStage;
pub use forecast::forecast;
pub use layout::ArrivalTracker;
pub use layout::FleetInventory;
pub use layout::LayoutEngine;
pub use layout::LayoutPlanner;
pub use layout::NeededPlacement;
pub use model::AcceleratorKind;
pub use model::ModelShape;
pub use path::MAX_STAGES;
pub use path::PathError;
pub use path::PathStage;
pub use path::PipelinePath;
