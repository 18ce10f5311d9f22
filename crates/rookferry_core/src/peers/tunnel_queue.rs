//! The peers that are asked for one connection, and when.
//!
//! One peer is asked first, as it usually has the connection. Each time it turns out that
//! those asked may not, twice as many follow at once, so that all are asked within a small
//! part of a request's latency objective.

use std::net::SocketAddr;

/// Most peers that are asked at the same time after a failure, and that are added at a
/// time when some don't respond.
const MAX_AT_A_TIME: usize = 4;
/// Peers that are asked because others refer to them.
const MAX_REFERRALS: usize = 4;

/// The peers to ask, the next one first.
#[derive(Clone, Debug)]
pub struct TunnelQueue {
    waiting: Vec<SocketAddr>,
    /// All that were asked or referred to, and this instance itself.
    known: Vec<SocketAddr>,
    referrals: usize,
    at_a_time: usize,
}

impl TunnelQueue {
    /// Peers in the order in which they are asked, and this instance's own address.
    #[must_use]
    pub fn new(mut peers: Vec<SocketAddr>, own: SocketAddr) -> Self {
        peers.reverse();
        Self {
            waiting: peers,
            known: vec![own],
            referrals: 0,
            at_a_time: 1,
        }
    }

    /// The peer that is asked first.
    pub fn first(&mut self) -> impl Iterator<Item = SocketAddr> + use<> {
        self.take(1)
    }

    /// Puts a peer that reaches the service first, if it wasn't asked.
    pub fn refer_to(&mut self, peer: SocketAddr) {
        if self.known.contains(&peer) || self.referrals == MAX_REFERRALS {
            return;
        }
        self.referrals += 1;
        self.waiting.retain(|waiting| *waiting != peer);
        self.waiting.push(peer);
    }

    /// The peers to ask after one has failed and others still may respond.
    pub fn after_failure(&mut self, calls: usize) -> impl Iterator<Item = SocketAddr> + use<> {
        self.widen();
        self.take(self.at_a_time.saturating_sub(calls))
    }

    /// The peers to ask besides those that don't respond.
    pub fn after_silence(&mut self) -> impl Iterator<Item = SocketAddr> + use<> {
        let asked = self.take(self.at_a_time);
        self.widen();
        asked
    }

    fn widen(&mut self) {
        self.at_a_time = (self.at_a_time * 2).min(MAX_AT_A_TIME);
    }

    fn take(&mut self, count: usize) -> std::vec::IntoIter<SocketAddr> {
        let rest = self.waiting.len().saturating_sub(count);
        let mut next = self.waiting.split_off(rest);
        next.reverse();
        self.known.extend(&next);
        next.into_iter()
    }
}
