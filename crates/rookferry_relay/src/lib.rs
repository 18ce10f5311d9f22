//! The request path in front of engines that forward pipelines themselves.
//!
//! An instance is a [`Node`]. It keeps what the site's store says of
//! configuration and backend servers, lets callers' requests in, sends them
//! on along paths that run every layer once and in order, looks after those
//! paths while streams run, and, one instance at a time, orders engines to
//! hold layers.
//!
//! What outside systems speak is behind two traits: [`SiteStore`] for the
//! platform's store, [`ServerProtocol`] for headers and calls of backend
//! servers. Decisions are in `rookferry_core`, without sockets and clocks.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod broken_runs;
mod door;
mod engines;
mod event_log;
mod events;
mod exchange;
mod front;
mod liveness;
mod load;
mod mutex;
mod node;
mod opener;
mod path_keeper;
mod peers;
mod permits;
mod placement;
mod plain;
mod pool;
mod probe;
mod protocol;
mod quarantine;
mod quarantine_sync;
mod readiness;
mod refusal;
mod relay;
mod request;
mod restarts;
mod retries;
mod server_loss;
mod server_states;
mod settings;
mod store;
mod stream;
mod sync;
mod tracked_store;
mod upstream;
mod view;

pub use event_log::EVENTS;
pub use node::Node;
pub use node::NodeAddrs;
pub use node::StartError;
pub use protocol::CallerHead;
pub use protocol::EngineCall;
pub use protocol::EngineReport;
pub use protocol::FormatError;
pub use protocol::HeaderNames;
pub use protocol::ServerProtocol;
pub use settings::BoundSettings;
pub use settings::ListenSettings;
pub use settings::MachineSettings;
pub use settings::RelaySettings;
pub use settings::SettingsError;
pub use store::SiteStore;
pub use store::StoreError;
pub use store::StoreFuture;
pub use store::StoreResponse;
