//! The members that are heard, and what they said last.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;

use super::message::Echo;
use super::message::Heartbeat;
use super::message::HolderSeen;
use super::message::LoadEntry;
use crate::load::ServerLoad;

/// How long a silent member's load counts. Several heartbeats to its own
/// failure domain fit in.
const LOAD_KEPT: Duration = Duration::from_millis(1_200);
/// How long a silent holder of the lease counts as one; two heartbeats to
/// other failure domains fit in.
const HOLDER_KEPT: Duration = Duration::from_millis(1_400);
/// How long a silent member counts as one of those that share budgets.
const MEMBER_KEPT: Duration = Duration::from_secs(5);
/// How long an address that never answered, or fell silent, is written to.
const ADDRESS_KEPT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Peer {
    domain: Option<DomainId>,
    instance: Option<InstanceId>,
    incarnation: Incarnation,
    heard_at: Option<Instant>,
    known_since: Instant,
    /// The peer's clock as last received, and when.
    clock: Option<(u64, Instant)>,
    /// When the peer's configuration was known to be the newest, by its word.
    config_at: Option<Instant>,
    loads: Vec<LoadEntry>,
}

/// What became of a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Heard {
    /// A member that wasn't heard before, or not for long.
    pub(crate) is_new: bool,
}

/// The members by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<SocketAddr, Peer>,
    /// The holder of the lease and when it was last known to hold it.
    holder: Option<(InstanceId, Instant)>,
}

impl PeerTable {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Learns of an address that may be a member's.
    pub(crate) fn learn(&mut self, addr: SocketAddr, now: Instant) {
        self.peers.entry(addr).or_insert(Peer {
            domain: None,
            instance: None,
            incarnation: 0,
            heard_at: None,
            known_since: now,
            clock: None,
            config_at: None,
            loads: Vec::new(),
        });
    }

    /// Takes a heartbeat in.
    pub(crate) fn heard(&mut self, from: SocketAddr, beat: &Heartbeat, now: Instant) -> Heard {
        self.learn(from, now);
        let Some(peer) = self.peers.get_mut(&from) else {
            return Heard::default();
        };
        let is_recent = peer
            .heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < MEMBER_KEPT);
        let is_same = peer.incarnation == beat.incarnation;
        peer.domain = Some(beat.domain.clone());
        peer.instance = Some(beat.instance.clone());
        peer.incarnation = beat.incarnation;
        peer.heard_at = Some(now);
        peer.clock = Some((beat.sent_ms, now));
        peer.config_at = beat
            .config
            .and_then(|config| now.checked_sub(Duration::from_millis(config.age_ms)));
        peer.loads.clone_from(&beat.loads);
        if let Some(holder) = &beat.holder {
            self.note_holder(holder, now);
        }
        Heard {
            is_new: !(is_recent && is_same),
        }
    }

    /// Drops addresses that have been silent for long; tells which instances
    /// fell out of those that share budgets since the last call.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        let mut lost = Vec::new();
        for peer in self.peers.values_mut() {
            let is_silent = peer
                .heard_at
                .is_some_and(|at| now.saturating_duration_since(at) >= MEMBER_KEPT);
            if is_silent && let Some(instance) = peer.instance.take() {
                lost.push(instance);
            }
        }
        self.peers.retain(|_, peer| {
            let seen_at = peer.heard_at.unwrap_or(peer.known_since);
            now.saturating_duration_since(seen_at) < ADDRESS_KEPT
        });
        lost
    }

    /// All addresses, and whether each is in a domain, as far as known.
    pub(crate) fn addresses(&self, home: &DomainId) -> Vec<(SocketAddr, bool)> {
        let peers = self.peers.iter();
        peers
            .map(|(addr, peer)| (*addr, peer.domain.as_ref() == Some(home)))
            .collect()
    }

    /// How many addresses are known.
    pub(crate) fn known(&self) -> usize {
        self.peers.len()
    }

    /// How many of them are in a domain, as far as heard.
    pub(crate) fn near(&self, domain: &DomainId) -> usize {
        let peers = self.peers.values();
        peers
            .filter(|peer| peer.domain.as_ref() == Some(domain))
            .count()
    }

    /// Members heard lately.
    pub(crate) fn members(&self, now: Instant) -> Vec<SocketAddr> {
        let heard = self.peers.iter().filter(|(_, peer)| {
            peer.heard_at
                .is_some_and(|at| now.saturating_duration_since(at) < MEMBER_KEPT)
        });
        heard.map(|(addr, _)| *addr).collect()
    }

    /// The clock to send back to a member.
    pub(crate) fn echo(&self, to: SocketAddr, now: Instant) -> Option<Echo> {
        let (sent_ms, at) = self.peers.get(&to)?.clock?;
        let held = now.saturating_duration_since(at);
        Some(Echo {
            sent_ms,
            held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
        })
    }

    fn note_holder(&mut self, holder: &HolderSeen, now: Instant) {
        let Some(at) = now.checked_sub(Duration::from_millis(holder.age_ms)) else {
            return;
        };
        if self
            .holder
            .as_ref()
            .is_none_or(|(_, known_at)| *known_at < at)
        {
            self.holder = Some((holder.instance.clone(), at));
        }
    }

    /// The holder of the lease that was last heard of.
    pub(crate) fn holder(&self, now: Instant) -> Option<HolderSeen> {
        let (instance, at) = self.holder.as_ref()?;
        let age = now.saturating_duration_since(*at);
        Some(HolderSeen {
            instance: instance.clone(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// When another member was last known to hold the lease.
    pub(crate) fn holder_at(&self) -> Option<Instant> {
        self.holder.as_ref().map(|(_, at)| *at)
    }

    /// Whether another member that holds the lease was heard of lately.
    pub(crate) fn hears_holder(&self, now: Instant) -> bool {
        self.holder_at()
            .is_some_and(|at| now.saturating_duration_since(at) < HOLDER_KEPT)
    }

    /// Whether an instance asks the store for its domain: the first by name of
    /// those whose configuration was confirmed within `bound`.
    pub(crate) fn asks_store(
        &self,
        own: &InstanceId,
        domain: &DomainId,
        now: Instant,
        bound: Duration,
    ) -> bool {
        let informed = self.peers.values().filter(|peer| {
            let is_recent = |at: Instant, kept| now.saturating_duration_since(at) < kept;
            peer.domain.as_ref() == Some(domain)
                && peer.heard_at.is_some_and(|at| is_recent(at, LOAD_KEPT))
                && peer.config_at.is_some_and(|at| is_recent(at, bound))
        });
        let mut names = informed.filter_map(|peer| peer.instance.as_ref());
        names.all(|name| own < name)
    }

    /// Whether an instance's name is the first of those heard in a domain.
    pub(crate) fn is_first(&self, own: &InstanceId, domain: &DomainId, now: Instant) -> bool {
        let heard = self.peers.values().filter(|peer| {
            peer.domain.as_ref() == Some(domain)
                && peer
                    .heard_at
                    .is_some_and(|at| now.saturating_duration_since(at) < LOAD_KEPT)
        });
        let mut names = heard.filter_map(|peer| peer.instance.as_ref());
        names.all(|name| own < name)
    }

    /// What members have under way at each server.
    pub(crate) fn loads(&self, now: Instant) -> BTreeMap<SocketAddr, ServerLoad> {
        let mut loads: BTreeMap<SocketAddr, ServerLoad> = BTreeMap::new();
        for peer in self.peers.values() {
            let is_recent = peer
                .heard_at
                .is_some_and(|at| now.saturating_duration_since(at) < LOAD_KEPT);
            if !is_recent {
                continue;
            }
            for entry in &peer.loads {
                let load = loads.entry(entry.addr).or_default();
                load.requests += entry.requests;
                load.tokens += f64::from(entry.tokens);
            }
        }
        loads
    }
}
