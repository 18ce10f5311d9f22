//! Pipelines that engines forward themselves, along a path named by the router.
//!
//! An engine holds a range of layers. A [`PipelinePath`] names the engines
//! that a request passes and the part of the layers that each runs; it can
//! only be made if the parts cover every layer once and in order.
//! [`PathFinder`] chooses paths and replaces the lost parts of paths in use.
//! [`LayoutPlanner`] decides which engine holds which layers, by what
//! [`forecast`] expects of a chain of engines.

mod cover;
mod engine;
mod finder;
mod forecast;
mod layout;
mod model;
mod path;
mod start_choice;

pub use engine::PipelineEngine;
pub use finder::FullestStage;
pub use finder::NoPath;
pub use finder::PathFinder;
pub use forecast::ChainForecast;
pub use forecast::ChainStage;
pub use forecast::forecast;
pub use layout::Arrivals;
pub use layout::FleetCensus;
pub use layout::LayoutEngine;
pub use layout::LayoutPlanner;
pub use layout::NeededPlacement;
pub use model::AcceleratorKind;
pub use model::ModelShape;
pub use path::MAX_STAGES;
pub use path::PathFault;
pub use path::PathStage;
pub use path::PipelinePath;
