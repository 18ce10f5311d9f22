//! Links to backend servers: how connections to them are opened.
//!
//! A connection is opened directly, or through a peer: the peer opens it and passes bytes
//! on in both directions. Everything above, such as the choice of a server, permits,
//! retries and repairs, is the same on both ways. An instance goes through peers while its
//! own path to a server is broken. Whether the server has exited is never concluded from
//! the own path alone.

mod asked_peers;
mod connector;
mod dial;
mod exit_check;
mod link_table;
mod monitor;
mod path_state;
mod served_tunnel;
mod tunnel;

pub(crate) use connector::CONNECT_TIMEOUT;
pub use connector::ConnectFuture;
pub use connector::ServerConnector;
pub use connector::ServerStream;
pub use connector::TcpConnector;
pub(crate) use dial::OpenedStream;
pub(crate) use dial::Way;
pub(crate) use link_table::LinkTable;
pub(crate) use monitor::monitor_paths;
pub(crate) use served_tunnel::ServedTunnel;
pub(crate) use served_tunnel::TunnelRefusal;
