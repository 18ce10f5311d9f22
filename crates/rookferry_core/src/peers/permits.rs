//! Choice of the instance that grants the permits of a server with a limit, and the
//! fraction of the limit that it may grant.
//!
//! Decides from the peer table alone: instances with the same view choose the same
//! granter, by rendezvous hashing over the addresses.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;

use super::PeerTable;
use super::fanout::MAX_MESH_PEERS;
use super::peer::Peer;
use super::peer::is_within;
use super::table::LOAD_TIMEOUT;
use crate::serving::ServerKey;

/// Age up to which an instance that any instance received a heartbeat from counts as
/// live, where not all instances exchange heartbeats directly. On the largest sites some
/// reports are older; a permit request to the wrong instance is then redirected.
const LIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Age up to which an own received heartbeat counts on a small site; covers two
/// heartbeats to other domains.
const RECEIVED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Fraction of its share that a side of a network partition grants if it may be the
/// smaller one. Together with the larger side's full limit that exceeds the limit by a
/// quarter at most.
const MINORITY_SHARE: f64 = 0.5;

impl PeerTable {
    /// The instances that may grant permits for a server of a failure domain; the first
    /// one is the granter. They are the live ones of the domain, or of the whole site
    /// where no instance of the domain is known. While the domain's instances are only
    /// silent, no others replace them, since they may still grant on the other side of a
    /// partition.
    #[must_use]
    pub fn permit_granters(
        &self,
        server: ServerKey,
        domain: &DomainId,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut granters = if self.known_in(domain) > 0 {
            self.live_in(domain, now)
        } else {
            self.live(now)
        };
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        granters.sort_by_cached_key(|addr| std::cmp::Reverse(hasher.hash_one((server, addr))));
        granters
    }

    /// The fraction of a limit, 0 to 1, that this instance may grant: all of it while it
    /// is connected to the majority of the known instances, less while the others may
    /// form another side of a partition that grants as well.
    #[must_use]
    pub fn permit_share(&self, domain: &DomainId, now: Instant) -> f64 {
        let (live, known) = if *domain == self.own_domain {
            (self.live_local_instances(now), self.known_in(domain))
        } else {
            (self.live(now).len(), self.known_instances())
        };
        let is_larger_side =
            live * 2 > known || live * 2 == known && self.receives_from_majority(now);
        if is_larger_side {
            return 1.0;
        }
        MINORITY_SHARE * live as f64 / known.max(1) as f64
    }

    /// Number of live instances of the own domain, this one included: its live peers, or
    /// the count in an aggregator's sums where that is higher.
    fn live_local_instances(&self, now: Instant) -> usize {
        let live = self.live_local(now).count();
        let summed = self.sums(now).map_or(0, |(sums, _)| sums.instances);
        let live = live.max(usize::try_from(summed).unwrap_or(0)) + 1;
        live.min(self.local_instances())
    }

    /// Whether this instance receives heartbeats from the majority of a small site, where
    /// all instances exchange them. On a large site that isn't known soon enough.
    fn receives_from_majority(&self, now: Instant) -> bool {
        let live = self.peers.values();
        let live = live
            .filter(|peer| peer.received_within(now, RECEIVED_TIMEOUT))
            .count()
            + 1;
        self.peers.len() <= MAX_MESH_PEERS && live * 2 > self.known_instances()
    }

    /// Number of known instances, this one included. Leaves out addresses of unknown
    /// domain, where there may be no instance.
    fn known_instances(&self) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| peer.domain.is_some()).count() + 1
    }

    /// Number of known instances of one domain, this one included if it is in it.
    fn known_in(&self, domain: &DomainId) -> usize {
        let peers = self.peers.values();
        let known = peers.filter(|peer| peer.domain.as_ref() == Some(domain));
        known.count() + usize::from(*domain == self.own_domain)
    }

    /// The live instances of a domain, this one included if it is in it.
    fn live_in(&self, domain: &DomainId, now: Instant) -> Vec<SocketAddr> {
        let is_own = *domain == self.own_domain;
        // In a small domain all instances exchange heartbeats several times a second.
        let is_mesh = is_own && self.local().count() <= MAX_MESH_PEERS;
        let is_live = |peer: &Peer| {
            if is_mesh {
                return peer.received_within(now, LOAD_TIMEOUT);
            }
            is_within(Some(peer.seen_at), now, LIVE_TIMEOUT)
        };
        let peers = self.peers.iter();
        let live = peers
            .filter(|(_, peer)| peer.domain.as_ref() == Some(domain))
            .filter(|(_, peer)| is_live(peer));
        let own = is_own.then_some(self.own_addr);
        live.map(|(addr, _)| *addr).chain(own).collect()
    }

    /// The live instances of all domains, this one included.
    fn live(&self, now: Instant) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let live = peers.filter(|(_, peer)| {
            peer.domain.is_some() && is_within(Some(peer.seen_at), now, LIVE_TIMEOUT)
        });
        let others = live.map(|(addr, _)| *addr);
        others.chain(std::iter::once(self.own_addr)).collect()
    }
}
