//! Chooses the peers that are asked to open connections for this instance.
//!
//! Load pattern: most instances of a domain, or all, lose their links at once and ask the
//! few instances that have theirs. Each asker spreads its tunnels over the peers by how
//! many it has through each, its own failure domain first. As the instances of a domain
//! may fail together, peers of the other domains follow early; those that reach no server
//! of the service are asked last for a time, and so are the rest of their domain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use rookferry_wire::DomainId;
use rookferry_wire::ServiceId;

use super::TunnelPeer;
use crate::serving::ServerKey;

/// Cost of a peer in another failure domain, in open tunnels.
const REMOTE_COST: usize = 4;
/// Cost of a peer that doesn't report itself whether it reaches the servers, in open
/// tunnels.
const UNCONFIRMED_COST: usize = 8;
/// The same where another peer of its domain has reached the service lately.
const LIKELY_COST: usize = 1;
/// How long a peer's answers about a service count.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Servers of a service that a peer doesn't reach, from which it counts as cut off from
/// the service although it has reached others lately.
const CUT_OFF_FROM: usize = 2;
/// Peers of a domain that are cut off from a service, and none that reaches it, from which
/// the others of the domain are expected to be cut off as well.
const DOMAIN_CUT_OFF_FROM: usize = 2;

/// What a peer's last answers say of its own path to a service, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// Nothing speaks against it.
    Able,
    /// Others of its domain are cut off, and none is known to reach the service.
    Doubtful,
    /// It is cut off.
    CutOff,
}

/// A peer's answers about one service.
#[derive(Clone, Debug, Default)]
struct PeerAnswers {
    opened_at: Option<Instant>,
    /// Servers that it didn't reach since it opened a connection, and when it last said so.
    unreached: BTreeSet<ServerKey>,
    unreached_at: Option<Instant>,
}

/// What the answers of peers say of the paths from their domains to one service.
#[derive(Clone, Debug)]
struct DomainPaths {
    /// Domains of peers that reach the service, without those in which several don't.
    reaching: BTreeSet<DomainId>,
    /// Domains in which several peers don't and none is known to.
    cut_off: BTreeSet<DomainId>,
}

/// The tunnels of an instance, by peer, and the peers that failed.
#[derive(Clone, Debug, Default)]
pub struct TunnelChooser {
    open: BTreeMap<SocketAddr, usize>,
    avoided: BTreeMap<SocketAddr, Instant>,
    answers: BTreeMap<ServiceId, BTreeMap<SocketAddr, PeerAnswers>>,
}

fn is_recent(at: Option<Instant>, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < ANSWER_TIMEOUT)
}

impl PeerAnswers {
    fn is_cut_off(&self, now: Instant) -> bool {
        // A peer that reaches some servers may be right that another one is gone.
        let is_server_at_fault =
            is_recent(self.opened_at, now) && self.unreached.len() < CUT_OFF_FROM;
        is_recent(self.unreached_at, now) && !is_server_at_fault
    }

    fn is_recent(&self, now: Instant) -> bool {
        is_recent(self.opened_at.max(self.unreached_at), now)
    }
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

    /// Records that a peer reached a server of a service.
    pub fn reached(&mut self, service: &ServiceId, peer: SocketAddr, now: Instant) {
        let answers = self.answers_of(service, peer, now);
        *answers = PeerAnswers {
            opened_at: Some(now),
            ..PeerAnswers::default()
        };
    }

    /// Records that a peer doesn't reach a server of a service.
    pub fn unreached(
        &mut self,
        service: &ServiceId,
        peer: SocketAddr,
        server: ServerKey,
        now: Instant,
    ) {
        let answers = self.answers_of(service, peer, now);
        answers.unreached_at = Some(now);
        if answers.unreached.len() < CUT_OFF_FROM {
            answers.unreached.insert(server);
        }
    }

    /// Records that a peer is cut off from a service by what it says itself.
    pub fn cut_off(&mut self, service: &ServiceId, peer: SocketAddr, now: Instant) {
        let answers = self.answers_of(service, peer, now);
        answers.unreached_at = Some(now);
        answers.opened_at = None;
    }

    /// The answers of a peer, those that no longer count dropped.
    fn answers_of(
        &mut self,
        service: &ServiceId,
        peer: SocketAddr,
        now: Instant,
    ) -> &mut PeerAnswers {
        let of_service = self.answers.entry(service.clone()).or_default();
        of_service.retain(|_, answers| answers.is_recent(now));
        of_service.entry(peer).or_default()
    }

    /// A peer that reached the service lately, for those that ask this instance; one that
    /// carries the fewest tunnels.
    #[must_use]
    pub fn able_peer(&self, service: &ServiceId, now: Instant) -> Option<SocketAddr> {
        let answers = self.answers.get(service)?.iter();
        let able = answers
            .filter(|(_, answers)| is_recent(answers.opened_at, now) && !answers.is_cut_off(now));
        let able = able.map(|(peer, _)| *peer);
        able.min_by_key(|peer| self.open.get(peer))
    }

    /// The peers to ask for a connection to a server of a service, at most `most`: the best
    /// one, then by turns the best ones of each failure domain.
    #[must_use]
    pub fn choose(
        &self,
        service: &ServiceId,
        peers: Vec<TunnelPeer>,
        most: usize,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let is_avoided = |addr| self.avoided.get(&addr).is_some_and(|until| *until > now);
        let domains = self.domain_paths(service, &peers, now);
        let usable = peers.into_iter().filter(|peer| !is_avoided(peer.addr));
        let mut ranked: Vec<(Standing, usize, u32, TunnelPeer)> = usable
            .map(|peer| {
                let standing = self.standing(service, &peer, &domains, now);
                let cost = self.cost(service, &peer, &domains, now);
                (standing, cost, random.random(), peer)
            })
            .collect();
        ranked.sort_unstable_by_key(|(standing, cost, draw, _)| (*standing, *cost, *draw));
        let mut turns: BTreeMap<DomainId, usize> = BTreeMap::new();
        let mut by_turns: Vec<(Standing, usize, SocketAddr)> = ranked
            .into_iter()
            .map(|(standing, _, _, peer)| {
                let turn = turns.entry(peer.domain).or_default();
                *turn += 1;
                (standing, *turn, peer.addr)
            })
            .collect();
        // Stable, so that the rank decides within a turn.
        by_turns.sort_by_key(|(standing, turn, _)| (*standing, *turn));
        by_turns.truncate(most);
        by_turns.into_iter().map(|(_, _, addr)| addr).collect()
    }

    fn standing(
        &self,
        service: &ServiceId,
        peer: &TunnelPeer,
        domains: &DomainPaths,
        now: Instant,
    ) -> Standing {
        if self.is_cut_off(service, peer.addr, now) {
            Standing::CutOff
        } else if domains.cut_off.contains(&peer.domain) {
            Standing::Doubtful
        } else {
            Standing::Able
        }
    }

    fn is_cut_off(&self, service: &ServiceId, peer: SocketAddr, now: Instant) -> bool {
        let answers = self.answers.get(service).and_then(|of| of.get(&peer));
        answers.is_some_and(|answers| answers.is_cut_off(now))
    }

    fn has_opened(&self, service: &ServiceId, peer: SocketAddr, now: Instant) -> bool {
        let answers = self.answers.get(service).and_then(|of| of.get(&peer));
        answers.is_some_and(|answers| is_recent(answers.opened_at, now))
    }

    fn domain_paths(&self, service: &ServiceId, peers: &[TunnelPeer], now: Instant) -> DomainPaths {
        let mut reaching = BTreeSet::new();
        let mut cut_off: BTreeMap<DomainId, usize> = BTreeMap::new();
        for peer in peers {
            if self.is_cut_off(service, peer.addr, now) {
                *cut_off.entry(peer.domain.clone()).or_default() += 1;
            } else if self.has_opened(service, peer.addr, now) {
                reaching.insert(peer.domain.clone());
            }
        }
        let (mixed, cut_off): (BTreeSet<_>, BTreeSet<_>) = cut_off
            .into_iter()
            .filter(|(_, count)| *count >= DOMAIN_CUT_OFF_FROM)
            .map(|(domain, _)| domain)
            .partition(|domain| reaching.contains(domain));
        reaching.retain(|domain| !mixed.contains(domain));
        DomainPaths { reaching, cut_off }
    }

    fn cost(
        &self,
        service: &ServiceId,
        peer: &TunnelPeer,
        domains: &DomainPaths,
        now: Instant,
    ) -> usize {
        let open = self.open.get(&peer.addr).copied().unwrap_or(0);
        let distance = if peer.is_local { 0 } else { REMOTE_COST };
        let doubt = if peer.is_confirmed || self.has_opened(service, peer.addr, now) {
            0
        } else if domains.reaching.contains(&peer.domain) {
            LIKELY_COST
        } else {
            UNCONFIRMED_COST
        };
        open + distance + doubt
    }
}
