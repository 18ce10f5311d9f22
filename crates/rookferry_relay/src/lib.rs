//! The request path in front of engines that forward pipelines themselves.
//!
//! An instance is a [`Node`]. It caches the configuration and the list of
//! backend servers from the site's store, admits callers' requests, sends them
//! along paths that run every layer once and in order, and monitors and repairs
//! those paths while streams run. The instance that holds the lease also orders
//! engines to load layers.
//!
//! External formats are behind two traits: [`SiteStore`] for the platform's
//! store, [`ServerProtocol`] for headers and calls of backend servers. A third,
//! [`ServerConnector`], opens the connections to those. The
//! decision logic is in `rookferry_core`, which has no sockets and no clocks.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission_gate;
mod answer_meter;
mod broken_runs;
mod engines;
mod event_log;
mod event_splitter;
mod exchange;
mod links;
mod list_at_send;
mod liveness;
mod load;
mod mutex;
mod node;
mod pace_trackers;
mod path_supervisor;
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
mod request_handler;
mod restarts;
mod retries;
mod server_loss;
mod server_states;
mod settings;
mod store;
mod stream;
mod stream_opener;
mod sync;
mod tracked_store;
mod upstream;
mod view;

pub use event_log::EVENTS;
pub use links::ConnectFuture;
pub use links::ServerConnector;
pub use links::ServerStream;
pub use links::TcpConnector;
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
pub use store::ConfigRead;
pub use store::ListOptions;
pub use store::SiteStore;
pub use store::StoreConnection;
pub use store::StoreError;
pub use store::StoreFuture;
pub use store::StoreResponse;
