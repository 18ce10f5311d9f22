//! Chooses the peers that are asked to open connections for this instance.
//!
//! Load pattern: most instances of a domain lose their links at once, and all ask the few
//! that have theirs. Each asker spreads its tunnels over the peers by how many it has
//! through each, its own failure domain first, and leaves those alone that just failed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

use super::TunnelPeer;

/// Cost of a peer in another failure domain, in open tunnels.
const REMOTE_COST: usize = 4;
/// Cost of a peer that doesn't report itself whether it reaches the servers, in open
/// tunnels.
const UNCONFIRMED_COST: usize = 8;

/// The tunnels of an instance, by peer, and the peers that failed.
#[derive(Clone, Debug, Default)]
pub struct TunnelChooser {
    open: BTreeMap<SocketAddr, usize>,
    avoided: BTreeMap<SocketAddr, Instant>,
}

impl TunnelChooser {
    /// No tunnels.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a tunnel through a peer, from the time it is asked for one.
    pub fn opened(&mut self, peer: SocketAddr) {
        *self.open.entry(peer).or_default() += 1;
    }

    /// Counts the end of a tunnel.
    pub fn closed(&mut self, peer: SocketAddr) {
        if let Some(open) = self.open.get_mut(&peer) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&peer);
            }
        }
    }

    /// Whether there is a tunnel through a peer.
    #[must_use]
    pub fn uses(&self, peer: SocketAddr) -> bool {
        self.open.contains_key(&peer)
    }

    /// Leaves a peer alone for a time.
    pub fn avoid(&mut self, peer: SocketAddr, time: Duration, now: Instant) {
        self.avoided.retain(|_, until| *until > now);
        let until = self.avoided.entry(peer).or_insert(now);
        *until = (*until).max(now + time);
    }

    /// The peers to ask, the best first; at most `most`.
    #[must_use]
    pub fn choose(
        &self,
        peers: Vec<TunnelPeer>,
        most: usize,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let is_avoided = |addr| self.avoided.get(&addr).is_some_and(|until| *until > now);
        let usable = peers.into_iter().filter(|peer| !is_avoided(peer.addr));
        let mut ranked: Vec<(usize, u32, SocketAddr)> = usable
            .map(|peer| (self.cost(&peer), random.random(), peer.addr))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(most);
        ranked.into_iter().map(|(_, _, addr)| addr).collect()
    }

    fn cost(&self, peer: &TunnelPeer) -> usize {
        let open = self.open.get(&peer.addr).copied().unwrap_or(0);
        let distance = if peer.is_local { 0 } else { REMOTE_COST };
        let doubt = if peer.is_confirmed {
            0
        } else {
            UNCONFIRMED_COST
        };
        open + distance + doubt
    }
}
