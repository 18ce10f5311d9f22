//! Opens connections to backend servers: the border between the relay and the network.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// Timeout for a connect; covers the retransmission of one lost packet.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged before the
/// connection counts as dead. The other end may be silent for a second or more and go on,
/// and retransmissions are up to twice as late.
pub(super) const TCP_USER_TIMEOUT_MS: u32 = 3_000;

/// An open connection to a backend server.
pub trait ServerStream: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + 'static> ServerStream for T {}

/// A connection that is being opened. Fails with `ConnectionRefused` if nothing listens
/// at the address.
pub type ConnectFuture<'a> =
    Pin<Box<dyn Future<Output = io::Result<Box<dyn ServerStream>>> + Send + 'a>>;

/// Opens connections to backend servers.
pub trait ServerConnector: Send + Sync + 'static {
    /// Opens a connection to a server; the caller bounds the time.
    fn connect(&self, addr: SocketAddr) -> ConnectFuture<'_>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl ServerConnector for TcpConnector {
    fn connect(&self, addr: SocketAddr) -> ConnectFuture<'_> {
        Box::pin(async move {
            let stream = TcpStream::connect(addr).await?;
            stream.set_nodelay(true)?;
            rustix::net::sockopt::set_tcp_user_timeout(&stream, TCP_USER_TIMEOUT_MS)?;
            let stream: Box<dyn ServerStream> = Box::new(stream);
            Ok(stream)
        })
    }
}
