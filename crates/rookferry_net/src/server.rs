//! A listener that gotham serves, with limits, and that can stop.
//!
//! gotham's own accept loop runs for ever and has no limits. It is run here
//! as a future that can be dropped: connections go on in tasks of their own,
//! so that a stop cuts none of them.

use std::io;
use std::net::SocketAddr;

use futures_util::future;
use gotham::handler::NewHandler;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::ConnectionLimits;
use crate::ConnectionTable;
use crate::connection::GuardedStream;
use crate::connection::too_many;

/// A bound listener.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    limits: ConnectionLimits,
    connections: ConnectionTable,
}

impl Server {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// If it can't be bound.
    pub async fn bind(addr: SocketAddr, limits: ConnectionLimits) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(addr).await?,
            limits,
            connections: ConnectionTable::new(),
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// If the system can't tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Its connections.
    #[must_use]
    pub const fn connections(&self) -> &ConnectionTable {
        &self.connections
    }

    /// Accepts until `stop` is ready; open connections go on after that.
    pub async fn serve<H: NewHandler + 'static>(self, router: H, stop: impl Future<Output = ()>) {
        let Self {
            listener,
            limits,
            connections,
        } = self;
        let wrap = move |stream| future::ready(guard(&connections, limits, stream));
        tokio::select! {
            () = stop => {}
            never = gotham::bind_server(listener, router, wrap) => never,
        }
    }
}

fn guard(
    connections: &ConnectionTable,
    limits: ConnectionLimits,
    stream: TcpStream,
) -> Result<GuardedStream, ()> {
    // Answers are small and latency counts.
    let _ = stream.set_nodelay(true);
    if connections.open() >= limits.max_connections {
        let _ = stream.try_write(&too_many());
        return Err(());
    }
    connections.add(stream, limits).map_err(drop)
}
