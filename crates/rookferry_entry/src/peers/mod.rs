//! Communication with other entry instances: heartbeats over UDP, requests over
//! TCP.

mod heartbeat;
mod state;
mod tcp;

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::entry::EntryState;

pub(crate) use state::PeerState;
pub(crate) use tcp::send_request;

/// Starts sending and receiving heartbeats, and serving peers' requests.
pub(crate) fn start(
    entry: &Arc<EntryState>,
    udp: UdpSocket,
    tcp: TcpListener,
    peer_addr: SocketAddr,
) {
    let udp = Arc::new(udp);
    tokio::spawn(heartbeat::receive(entry.clone(), udp.clone()));
    tokio::spawn(heartbeat::send(entry.clone(), udp, peer_addr));
    tokio::spawn(tcp::serve(entry.clone(), tcp));
}
