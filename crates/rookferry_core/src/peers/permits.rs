//! Which instance grants the permits of a server with a limit, and what part of
//! the limit is its own.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;

use super::PeerTable;
use super::fanout::MESH_MEMBERS;
use super::peer::Peer;
use super::peer::is_within;
use super::table::LOAD_KEPT;
use crate::serving::ServerKey;

/// How long after anybody last heard an instance it counts as there, where not each
/// hears each. On the largest sites some are told of later; those who ask another
/// for that are told who grants.
const LIVE_KEPT: Duration = Duration::from_secs(5);
/// How long after its last heartbeat an instance of a small site is heard; two to
/// other domains fit in.
const HEARD_KEPT: Duration = Duration::from_millis(1_500);
/// The part of its share that a side grants which may be the smaller one of a site
/// that is cut apart. With the larger side's whole that is a quarter over the limit
/// at most.
const MINORITY_PART: f64 = 0.5;

impl PeerTable {
    /// The instances that may grant permits for a server of a failure domain, the
    /// one that does first: those of the domain, or of all where it has none. While
    /// those of the domain are only silent nobody else does: on the other side of a
    /// cut they go on granting.
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

    /// The part of a limit that this instance may grant: all where it hears most of
    /// the instances that may be there, less where others may hear each other and not
    /// it, and grant as well.
    #[must_use]
    pub fn permit_share(&self, domain: &DomainId, now: Instant) -> f64 {
        let (heard, known) = if *domain == self.home {
            (self.heard_at_home(now), self.known_in(domain))
        } else {
            (self.live(now).len(), self.known_of_all())
        };
        let is_larger = heard * 2 > known || heard * 2 == known && self.hears_most_of_all(now);
        if is_larger {
            return 1.0;
        }
        MINORITY_PART * heard as f64 / known.max(1) as f64
    }

    /// How many instances of the own domain are there, this one included: those that
    /// it hears, or more by the word of one that hears all.
    fn heard_at_home(&self, now: Instant) -> usize {
        let heard = self.heard_near(now).count();
        let summed = self.sums(now).map_or(0, |(sums, _)| sums.instances);
        let heard = heard.max(usize::try_from(summed).unwrap_or(0)) + 1;
        heard.min(self.near_instances())
    }

    /// Whether this instance hears most of a small site, where each hears each. Of a
    /// large one it isn't known soon enough who is there.
    fn hears_most_of_all(&self, now: Instant) -> bool {
        let heard = self.peers.values();
        let heard = heard.filter(|peer| peer.is_heard(now, HEARD_KEPT)).count() + 1;
        self.peers.len() <= MESH_MEMBERS && heard * 2 > self.known_of_all()
    }

    /// The instances that may be there, this one included; addresses that were never
    /// heard of in a domain may be nobody's.
    fn known_of_all(&self) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| peer.domain.is_some()).count() + 1
    }

    /// The same of one domain.
    fn known_in(&self, domain: &DomainId) -> usize {
        let peers = self.peers.values();
        let known = peers.filter(|peer| peer.domain.as_ref() == Some(domain));
        known.count() + usize::from(*domain == self.home)
    }

    /// The instances of a domain that are there.
    fn live_in(&self, domain: &DomainId, now: Instant) -> Vec<SocketAddr> {
        let is_home = *domain == self.home;
        // In a small domain each hears each, several times a second.
        let hears_each = is_home && self.near().count() <= MESH_MEMBERS;
        let is_live = |peer: &Peer| {
            if hears_each {
                return peer.is_heard(now, LOAD_KEPT);
            }
            is_within(Some(peer.seen_at), now, LIVE_KEPT)
        };
        let peers = self.peers.iter();
        let live = peers
            .filter(|(_, peer)| peer.domain.as_ref() == Some(domain))
            .filter(|(_, peer)| is_live(peer));
        let own = is_home.then_some(self.own);
        live.map(|(addr, _)| *addr).chain(own).collect()
    }

    /// All instances that are there.
    fn live(&self, now: Instant) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let live = peers.filter(|(_, peer)| {
            peer.domain.is_some() && is_within(Some(peer.seen_at), now, LIVE_KEPT)
        });
        let others = live.map(|(addr, _)| *addr);
        others.chain(std::iter::once(self.own)).collect()
    }
}
