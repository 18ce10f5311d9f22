//! Links to backend servers: how connections to them are opened.

mod connector;

pub use connector::ConnectFuture;
pub use connector::ServerConnector;
pub use connector::ServerStream;
pub use connector::TcpConnector;
