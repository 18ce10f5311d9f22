//! Peers that may open connections to servers for an instance that can't.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::ServiceId;

use super::PeerTable;
use super::table::LOAD_TIMEOUT;

/// Age up to which another instance's report of a peer counts if the peer sends this one
/// no heartbeats; instances of other domains send them to a few only.
const SEEN_WITHIN: Duration = Duration::from_secs(5);

/// A peer that may be asked to open a connection to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelPeer {
    /// Its address for connections of peers.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether that is the own one.
    pub is_local: bool,
    /// Whether it reports itself that it reaches the service.
    pub is_confirmed: bool,
}

impl PeerTable {
    /// The peers that may reach a service's servers: all that are alive, without those
    /// that report that they don't reach them or that they are stopping.
    #[must_use]
    pub fn tunnel_peers(&self, service: &ServiceId, now: Instant) -> Vec<TunnelPeer> {
        let peers = self.peers.iter().filter_map(|(addr, peer)| {
            let domain = peer.domain.as_ref()?;
            let is_confirmed = peer.received_within(now, LOAD_TIMEOUT);
            let is_seen = now.saturating_duration_since(peer.seen_at) < SEEN_WITHIN;
            let is_able = !peer.is_leaving && !peer.unreached.contains(service);
            (is_seen && is_able).then_some(TunnelPeer {
                addr: *addr,
                domain: domain.clone(),
                is_local: *domain == self.own_domain,
                is_confirmed,
            })
        });
        peers.collect()
    }
}
