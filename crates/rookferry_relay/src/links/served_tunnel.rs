//! Connections to servers that this instance opens for its peers.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use metrics::counter;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use super::ServerStream;
use super::tunnel::set_tunnel_options;
use crate::relay::Relay;

/// Timeout of a connect for a peer; leaves it time to ask another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest frame, in bytes.
const FRAME_BYTES: usize = 8 * 1024;

/// Why a peer gets no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TunnelRefusal {
    /// This instance couldn't connect to the server, which may be the server's fault.
    NotReached,
    /// This instance's own path to the server is broken, and it knows no peer that
    /// reaches the service.
    PathBroken,
    /// The server isn't in this instance's list.
    NotListed,
    /// This instance serves as many tunnels as it may.
    Full,
    /// This instance is stopping.
    Stopping,
    /// This instance's own path to the server is broken; the peer at this address opens
    /// its connections to the service.
    Through(SocketAddr),
}

/// A connection that is served for a peer.
pub(crate) struct ServedTunnel {
    server: Box<dyn ServerStream>,
    _permit: OwnedSemaphorePermit,
}

impl Relay {
    /// Opens a connection to a server for a peer.
    pub(crate) async fn serve_tunnel(
        &self,
        server: ServerKey,
    ) -> Result<ServedTunnel, TunnelRefusal> {
        let opened = self.connect_for_peer(server).await;
        let outcome = match &opened {
            Ok(_) => "opened",
            Err(TunnelRefusal::NotReached) => "not_reached",
            Err(TunnelRefusal::PathBroken) => "path_broken",
            Err(TunnelRefusal::NotListed) => "not_listed",
            Err(TunnelRefusal::Full) => "full",
            Err(TunnelRefusal::Stopping) => "stopping",
            Err(TunnelRefusal::Through(_)) => "through_peer",
        };
        counter!("rookferry_served_tunnels_total", "outcome" => outcome).increment(1);
        opened
    }

    async fn connect_for_peer(&self, server: ServerKey) -> Result<ServedTunnel, TunnelRefusal> {
        if self.is_leaving() {
            return Err(TunnelRefusal::Stopping);
        }
        let view = self.view.load_full();
        let entry = view.server(server).ok_or(TunnelRefusal::NotListed)?;
        let service = &entry.service;
        let permit = self.links.served.clone().try_acquire_owned();
        let permit = permit.map_err(|_| TunnelRefusal::Full)?;
        if self.links.paths().broken(service, server).is_some() {
            let able = self.links.chooser().able_peer(service, clock::now());
            return Err(able.map_or(TunnelRefusal::PathBroken, TunnelRefusal::Through));
        }
        let connecting = self.links.connector.connect(server.addr);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let connected = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        match connected {
            Ok(stream) => {
                self.path_worked(service, server);
                Ok(ServedTunnel {
                    server: stream,
                    _permit: permit,
                })
            }
            Err(_) => Err(TunnelRefusal::NotReached),
        }
    }
}

impl ServedTunnel {
    /// Passes bytes on in both directions until one end closes or breaks off; closes
    /// both then.
    pub(crate) async fn run(self, peer: TcpStream) -> io::Result<()> {
        set_tunnel_options(&peer)?;
        let (mut from_peer, to_peer) = peer.into_split();
        let (from_server, mut to_server) = tokio::io::split(self.server);
        let frames = FramedWrite::new(to_peer, LengthDelimitedCodec::new());
        tokio::select! {
            sent = tokio::io::copy(&mut from_peer, &mut to_server) => sent.map(drop),
            sent = send_frames(from_server, frames) => sent,
        }
    }
}

/// Sends what a server sends in frames, and an empty one if it closes in order.
async fn send_frames(
    mut from_server: impl AsyncRead + Unpin,
    mut frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
) -> io::Result<()> {
    loop {
        let mut bytes = BytesMut::with_capacity(FRAME_BYTES);
        let length = from_server.read_buf(&mut bytes).await?;
        frames.send(Bytes::from(bytes)).await?;
        if length == 0 {
            return Ok(());
        }
    }
}
