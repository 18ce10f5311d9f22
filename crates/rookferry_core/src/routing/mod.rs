//! Request routing: from labels to a route, and from a route to a chain of engines or
//! to an instance of a service.
//!
//! The inputs are the active configuration, a snapshot of the engines and measurements
//! of each. Entry instances call this for each request; nothing here does I/O.

mod affinity;
mod candidate;
mod chooser;
mod engine;
mod fleet;
mod graph;
mod search;
mod service;
mod stats;
mod table;

pub use affinity::PrefixIndex;
pub use affinity::prefix_hash;
pub use candidate::Candidate;
pub use candidate::CandidateVerdict;
pub use chooser::ChainChooser;
pub use chooser::ChainRequest;
pub use chooser::ChosenChain;
pub use chooser::ExpectedFinish;
pub use chooser::LeastOutstanding;
pub use chooser::RandomChain;
pub use chooser::RoundRobin;
pub use chooser::chooser_for;
pub use engine::Engine;
pub use engine::EngineState;
pub use fleet::Fleet;
pub use graph::LayerGraph;
pub use service::ServiceInstance;
pub use service::choose_service;
pub use stats::EngineStats;
pub use table::EvaluatedRoute;
pub use table::RouteChoice;
pub use table::RoutingTable;
