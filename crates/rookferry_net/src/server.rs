//! An HTTP listener served by gotham, with connection limits and a stop signal.
//!
//! gotham's accept loop never returns and has no limits. It runs here as a future that is
//! dropped to stop accepting. Each connection runs in its own task, so a stop closes no
//! open connection.

use std::io;
use std::net::SocketAddr;

use futures_util::future;
use gotham::handler::NewHandler;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::ConnectionLimits;
use crate::ConnectionTable;
use crate::early_response::connection_limit_response;
use crate::timed_stream::TimedStream;

/// A bound listener that is ready to serve.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    connections: ConnectionTable,
}

impl Server {
    /// Binds a listener to an address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(addr: SocketAddr, limits: ConnectionLimits) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(addr).await?,
            connections: ConnectionTable::new(limits),
        })
    }

    /// Address on which the listener is bound.
    ///
    /// # Errors
    ///
    /// If the operating system can't report the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Table of the listener's open connections.
    #[must_use]
    pub const fn connections(&self) -> &ConnectionTable {
        &self.connections
    }

    /// Accepts connections until `stop` is ready; open connections continue afterwards.
    pub async fn serve<H: NewHandler + 'static>(self, router: H, stop: impl Future<Output = ()>) {
        let Self {
            listener,
            connections,
        } = self;
        let wrap = move |stream| future::ready(admit(&connections, stream));
        tokio::select! {
            () = stop => {}
            never = gotham::bind_server(listener, router, wrap) => never,
        }
    }
}

fn admit(connections: &ConnectionTable, stream: TcpStream) -> Result<TimedStream, ()> {
    // Responses are small and latency-sensitive.
    let _ = stream.set_nodelay(true);
    if !connections.make_room() {
        let _ = stream.try_write(&connection_limit_response());
        return Err(());
    }
    connections.register(stream).map_err(drop)
}
