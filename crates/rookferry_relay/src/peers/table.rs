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
use crate::event_log::millis;
use crate::load::ServerLoad;

/// How long a silent member's load counts. Several heartbeats to its own
/// failure domain fit in.
const LOAD_KEPT: Duration = Duration::from_millis(1_200);
/// How long a domain's loads count after its speaker was last heard; covers the
/// change from one speaker to the next.
const DOMAIN_LOADS_KEPT: Duration = Duration::from_secs(2);
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
    /// Servers that don't answer the peer.
    out: Vec<SocketAddr>,
}

impl Peer {
    /// Whether it was heard within a time.
    fn is_heard(&self, now: Instant, within: Duration) -> bool {
        is_within(self.heard_at, now, within)
    }
}

fn is_within(at: Option<Instant>, now: Instant, within: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < within)
}

/// The members by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<SocketAddr, Peer>,
    /// The holder of the lease and when it was last known to hold it.
    holder: Option<(InstanceId, Instant)>,
    /// What other domains have under way, as their speakers told last.
    domain_loads: BTreeMap<DomainId, DomainLoads>,
}

#[derive(Clone, Debug)]
struct DomainLoads {
    loads: Vec<LoadEntry>,
    heard_at: Instant,
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
            out: Vec::new(),
        });
    }

    /// Takes a heartbeat in; tells whether its member wasn't heard before, or
    /// not for long.
    pub(crate) fn heard(&mut self, from: SocketAddr, beat: &Heartbeat, now: Instant) -> bool {
        self.learn(from, now);
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        let is_known = peer.is_heard(now, MEMBER_KEPT) && peer.incarnation == beat.incarnation;
        peer.domain = Some(beat.domain.clone());
        peer.instance = Some(beat.instance.clone());
        peer.incarnation = beat.incarnation;
        peer.heard_at = Some(now);
        peer.clock = Some((beat.sent_ms, now));
        peer.config_at = beat
            .config
            .and_then(|config| now.checked_sub(Duration::from_millis(config.age_ms)));
        if beat.speaks_for_domain {
            let loads = DomainLoads {
                loads: beat.loads.clone(),
                heard_at: now,
            };
            self.domain_loads.insert(beat.domain.clone(), loads);
        } else {
            peer.loads.clone_from(&beat.loads);
        }
        if let Some(holder) = &beat.holder {
            self.note_holder(holder, now);
        }
        !is_known
    }

    /// Servers that a peer has newly lost since its last heartbeat.
    pub(crate) fn newly_out(&mut self, from: SocketAddr, out: &[SocketAddr]) -> Vec<SocketAddr> {
        let Some(peer) = self.peers.get_mut(&from) else {
            return Vec::new();
        };
        let before = std::mem::replace(&mut peer.out, out.to_vec());
        let news = out.iter().filter(|addr| !before.contains(addr));
        news.copied().collect()
    }

    /// Drops addresses that have been silent for long; tells which instances
    /// fell out of those that share budgets since the last call.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        let mut lost = Vec::new();
        for peer in self.peers.values_mut() {
            let was_heard = peer.heard_at.is_some();
            if was_heard
                && !peer.is_heard(now, MEMBER_KEPT)
                && let Some(instance) = peer.instance.take()
            {
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
        let peers = self.peers.iter();
        let heard = peers.filter(|(_, peer)| peer.is_heard(now, MEMBER_KEPT));
        heard.map(|(addr, _)| *addr).collect()
    }

    /// The clock to send back to a member.
    pub(crate) fn echo(&self, to: SocketAddr, now: Instant) -> Option<Echo> {
        let (sent_ms, at) = self.peers.get(&to)?.clock?;
        let held = now.saturating_duration_since(at);
        Some(Echo {
            sent_ms,
            held_ms: millis(held),
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
            age_ms: millis(age),
        })
    }

    /// When another member was last known to hold the lease.
    pub(crate) fn holder_at(&self) -> Option<Instant> {
        self.holder.as_ref().map(|(_, at)| *at)
    }

    /// Whether another member that holds the lease was heard of lately.
    pub(crate) fn hears_holder(&self, now: Instant) -> bool {
        is_within(self.holder_at(), now, HOLDER_KEPT)
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
        self.is_first_of(own, domain, now, |peer| {
            is_within(peer.config_at, now, bound)
        })
    }

    /// How many of the instances heard in a domain have a name before an
    /// instance's own.
    pub(crate) fn rank(&self, own: &InstanceId, domain: &DomainId, now: Instant) -> usize {
        let near = self.heard_in(domain, now);
        let names = near.filter_map(|peer| peer.instance.as_ref());
        names.filter(|name| *name < own).count()
    }

    /// Whether an instance's name is the first of those heard in a domain.
    pub(crate) fn is_first(&self, own: &InstanceId, domain: &DomainId, now: Instant) -> bool {
        self.is_first_of(own, domain, now, |_| true)
    }

    /// Whether a name is the first of the members that are heard in a domain
    /// and that `counts` lets count.
    fn is_first_of(
        &self,
        own: &InstanceId,
        domain: &DomainId,
        now: Instant,
        counts: impl Fn(&Peer) -> bool,
    ) -> bool {
        let near = self.heard_in(domain, now).filter(|peer| counts(peer));
        let mut names = near.filter_map(|peer| peer.instance.as_ref());
        names.all(|name| own < name)
    }

    /// The members that are heard in a domain.
    fn heard_in<'a>(
        &'a self,
        domain: &'a DomainId,
        now: Instant,
    ) -> impl Iterator<Item = &'a Peer> {
        let near = move |peer: &&Peer| {
            peer.domain.as_ref() == Some(domain) && peer.is_heard(now, LOAD_KEPT)
        };
        self.peers.values().filter(near)
    }

    /// Whether any member is heard.
    pub(crate) fn hears_any(&self, now: Instant) -> bool {
        self.peers
            .values()
            .any(|peer| peer.is_heard(now, LOAD_KEPT))
    }

    /// What the other members have under way at each server: those of the own
    /// domain by their own word, those of others by their speakers'.
    pub(crate) fn loads(&self, home: &DomainId, now: Instant) -> BTreeMap<SocketAddr, ServerLoad> {
        let mut loads = self.near_loads(home, now);
        let others = self.domain_loads.iter().filter(|(domain, told)| {
            *domain != home && is_within(Some(told.heard_at), now, DOMAIN_LOADS_KEPT)
        });
        for (_, told) in others {
            add_loads(&mut loads, &told.loads);
        }
        loads
    }

    /// What the other members of a domain have under way at each server.
    pub(crate) fn near_loads(
        &self,
        domain: &DomainId,
        now: Instant,
    ) -> BTreeMap<SocketAddr, ServerLoad> {
        let mut loads = BTreeMap::new();
        for peer in self.heard_in(domain, now) {
            add_loads(&mut loads, &peer.loads);
        }
        loads
    }
}

fn add_loads(loads: &mut BTreeMap<SocketAddr, ServerLoad>, entries: &[LoadEntry]) {
    for entry in entries {
        *loads.entry(entry.addr).or_default() += ServerLoad {
            requests: entry.requests,
            tokens: f64::from(entry.tokens),
        };
    }
}
