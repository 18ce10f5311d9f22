//! The members that are known, and what they said last.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::InstanceId;

use super::Capacity;
use super::DoubtedServers;
use super::Echo;
use super::Heartbeat;
use super::HolderSeen;
use super::LoadEntry;
use super::MemberSeen;
use super::MembersOf;
use super::ServerLoad;
use super::capacity::Standing;
use super::peer::OutSeen;
use super::peer::Peer;
use super::peer::is_within;
use crate::millis::millis;
use crate::serving::PropagationBudget;
use crate::serving::ServerKey;

/// How long a silent member's load counts. Several heartbeats to its own
/// failure domain fit in, and four of a head's.
pub(super) const LOAD_KEPT: Duration = Duration::from_millis(1_200);
/// How long a silent holder of the lease counts as one; two heartbeats to
/// other failure domains fit in.
const HOLDER_KEPT: Duration = Duration::from_millis(1_400);
/// How long a member that nobody hears counts as there, and how much longer for
/// each member: they are told of in turn, so that the word on each is the older the
/// more there are.
const MEMBER_KEPT: Duration = Duration::from_secs(5);
const MEMBER_KEPT_EACH: Duration = Duration::from_millis(50);
/// The longest that it does.
const MEMBER_KEPT_LONGEST: Duration = Duration::from_secs(25);
/// Within which time a peer tells of each server that doesn't answer it, where it tells
/// them in turn: some turns of a head.
const OUT_TOLD_WITHIN: Duration = Duration::from_secs(3);
/// How long an address that nobody heard is written to, and counts as one of
/// those that share budgets.
const ADDRESS_KEPT: Duration = Duration::from_secs(30);

/// The members by address, as one of them knows them.
#[derive(Clone, Debug)]
pub struct PeerTable {
    pub(super) own: SocketAddr,
    /// What this instance can carry of its domain's duties.
    capacity: Capacity,
    pub(super) home: DomainId,
    pub(super) peers: BTreeMap<SocketAddr, Peer>,
    /// The holder of the lease and when it was last known to hold it.
    holder: Option<(InstanceId, Instant)>,
    /// What other domains have under way, as their speakers told last.
    pub(super) far_loads: BTreeMap<DomainId, (Vec<LoadEntry>, Instant)>,
    /// What the instance itself has under way, as it last told.
    pub(super) own_loads: BTreeMap<ServerKey, ServerLoad>,
    /// The same when a head's sums last came.
    pub(super) own_at_sums: BTreeMap<ServerKey, ServerLoad>,
}

impl PeerTable {
    /// Nobody known, for an instance at an address in a domain.
    #[must_use]
    pub const fn new(own: SocketAddr, home: DomainId) -> Self {
        Self {
            own,
            capacity: Capacity::LEAST,
            home,
            peers: BTreeMap::new(),
            holder: None,
            far_loads: BTreeMap::new(),
            own_loads: BTreeMap::new(),
            own_at_sums: BTreeMap::new(),
        }
    }

    /// What the instance can carry of its domain's duties.
    #[must_use]
    pub const fn capacity(mut self, capacity: Capacity) -> Self {
        self.capacity = capacity;
        self
    }

    /// The instance's own place in line for its domain's duties.
    pub(super) const fn standing(&self) -> Standing {
        Standing::new(self.capacity, self.own)
    }

    /// Learns of an address that may be a member's.
    pub fn learn(&mut self, addr: SocketAddr, now: Instant) {
        if addr != self.own {
            self.peers.entry(addr).or_insert(Peer::unheard(now));
        }
    }

    /// What the instance itself has under way, as it tells others now.
    pub fn tell_own(&mut self, loads: &[LoadEntry]) {
        let loads = loads.iter();
        self.own_loads = loads.map(|entry| (entry.server, entry.load())).collect();
    }

    /// Takes another member's word on who is there.
    fn learn_members(&mut self, told: &[MembersOf], now: Instant) {
        for (domain, member) in told
            .iter()
            .flat_map(|of| of.members.iter().map(move |member| (&of.domain, member)))
        {
            let age = Duration::from_millis(u64::from(member.age_tenths_s) * 100);
            let Some(seen_at) = now.checked_sub(age).filter(|_| age < ADDRESS_KEPT) else {
                continue;
            };
            if member.addr == self.own {
                continue;
            }
            let peer = self.peers.entry(member.addr);
            let peer = peer.or_insert(Peer::unheard(seen_at));
            peer.seen_at = peer.seen_at.max(seen_at);
            peer.domain.get_or_insert_with(|| domain.clone());
            if peer.heard_at.is_none() {
                peer.capacity = peer.capacity.max(member.capacity);
            }
        }
    }

    /// Takes a heartbeat in; tells whether its member wasn't heard before, or
    /// not for long.
    pub fn heard(&mut self, from: SocketAddr, beat: &Heartbeat, now: Instant) -> bool {
        self.learn_members(&beat.members, now);
        if from == self.own {
            return false;
        }
        let is_near = beat.domain == self.home;
        let peer = self.peers.entry(from).or_insert(Peer::unheard(now));
        let is_known = peer.instance.is_some() && peer.incarnation == beat.incarnation;
        peer.domain = Some(beat.domain.clone());
        peer.instance = Some(beat.instance.clone());
        peer.incarnation = beat.incarnation;
        peer.capacity = beat.capacity;
        peer.heard_at = Some(now);
        peer.seen_at = now;
        peer.clock = Some((beat.sent_ms, now));
        peer.config_version = beat.config.map(|config| config.version);
        peer.store_at = beat
            .store_age_ms
            .and_then(|age_ms| now.checked_sub(Duration::from_millis(age_ms)));
        if is_near {
            peer.loads.clone_from(&beat.loads);
            if let Some(sums) = &beat.domain_loads {
                peer.sums = Some((sums.clone(), now));
                self.own_at_sums.clone_from(&self.own_loads);
            }
        } else if let Some(told) = &beat.domain_loads {
            let loads = (told.loads.clone(), now);
            self.far_loads.insert(beat.domain.clone(), loads);
        }
        if let Some(holder) = &beat.holder {
            self.note_holder(holder, now);
        }
        !is_known
    }

    /// Servers that a peer has newly lost, by its heartbeat.
    ///
    /// A server counts as answering the peer again once a heartbeat that names all of
    /// them lacks it. Where the peer names them in turn, it does once it wasn't named for
    /// some turns.
    pub fn newly_out(
        &mut self,
        from: SocketAddr,
        beat: &Heartbeat,
        now: Instant,
    ) -> Vec<ServerKey> {
        let Some(peer) = self.peers.get_mut(&from) else {
            return Vec::new();
        };
        let is_whole = usize::try_from(beat.out_count).is_ok_and(|count| count <= beat.out.len());
        let kept = if is_whole {
            Duration::ZERO
        } else {
            OUT_TOLD_WITHIN
        };
        let mut news = Vec::new();
        for server in &beat.out {
            let seen = peer.out.entry(*server).or_insert_with(|| {
                news.push(*server);
                OutSeen {
                    since: now,
                    told_at: now,
                }
            });
            seen.told_at = now;
        }
        peer.out
            .retain(|_, seen| now.saturating_duration_since(seen.told_at) <= kept);
        news
    }

    /// The servers that members of the own domain have trouble with.
    #[must_use]
    pub fn doubted(&self, now: Instant) -> DoubtedServers {
        let mut doubted = DoubtedServers::default();
        for (_, peer) in self.heard_near(now) {
            for (server, seen) in &peer.out {
                doubted.add(*server, seen.since);
            }
        }
        doubted
    }

    /// Drops addresses that nobody has heard for long; tells which instances
    /// have fallen silent to all since the last call.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_seen = |peer: &Peer, within| is_within(Some(peer.seen_at), now, within);
        let kept = self.member_kept();
        let peers = self.peers.values_mut();
        let silent = peers.filter(|peer| !is_seen(peer, kept));
        let silent = silent.filter_map(|peer| peer.instance.take()).collect();
        self.peers.retain(|_, peer| is_seen(peer, ADDRESS_KEPT));
        silent
    }

    fn member_kept(&self) -> Duration {
        let members = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let kept = MEMBER_KEPT + MEMBER_KEPT_EACH.saturating_mul(members);
        kept.min(MEMBER_KEPT_LONGEST)
    }

    /// Addresses in the own domain, in order.
    pub fn near(&self) -> impl Iterator<Item = SocketAddr> {
        self.addresses(|domain| domain == Some(&self.home))
    }

    /// Addresses in other domains, and those of which it isn't known.
    pub fn far(&self) -> impl Iterator<Item = SocketAddr> {
        self.addresses(|domain| domain != Some(&self.home))
    }

    fn addresses(
        &self,
        is_in: impl Fn(Option<&DomainId>) -> bool,
    ) -> impl Iterator<Item = SocketAddr> {
        let peers = self.peers.iter();
        peers
            .filter(move |(_, peer)| is_in(peer.domain.as_ref()))
            .map(|(addr, _)| *addr)
    }

    /// How many instances there are, this one included, heard or told of.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// How many of them are in the own domain.
    #[must_use]
    pub fn near_instances(&self) -> usize {
        self.near().count() + 1
    }

    /// Some of the members: at most `most`, from place `from` of all on, and
    /// again from the first after the last.
    #[must_use]
    pub fn members(&self, from: usize, most: usize, now: Instant) -> Vec<MembersOf> {
        let count = self.peers.len();
        let start = from.checked_rem(count).unwrap_or(0);
        let window = self.peers.iter().cycle().skip(start).take(most.min(count));
        let mut told: BTreeMap<&DomainId, Vec<MemberSeen>> = BTreeMap::new();
        for (addr, peer) in window {
            if let Some(domain) = &peer.domain {
                let members = told.entry(domain).or_default();
                members.push(peer.seen(*addr, now));
            }
        }
        let told = told.into_iter();
        told.map(|(domain, members)| MembersOf {
            domain: domain.clone(),
            members,
        })
        .collect()
    }

    /// The members of a domain, at most `most`.
    #[must_use]
    pub fn members_in(&self, domain: &DomainId, most: usize, now: Instant) -> MembersOf {
        let peers = self.peers.iter();
        let members = peers.filter(|(_, peer)| peer.domain.as_ref() == Some(domain));
        MembersOf {
            domain: domain.clone(),
            members: members
                .take(most)
                .map(|(addr, peer)| peer.seen(*addr, now))
                .collect(),
        }
    }

    /// The clock to send back to a member.
    #[must_use]
    pub fn echo(&self, to: SocketAddr, now: Instant) -> Option<Echo> {
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
    #[must_use]
    pub fn holder(&self, now: Instant) -> Option<HolderSeen> {
        let (instance, at) = self.holder.as_ref()?;
        let age = now.saturating_duration_since(*at);
        Some(HolderSeen {
            instance: instance.clone(),
            age_ms: millis(age),
        })
    }

    /// When another member was last known to hold the lease.
    #[must_use]
    pub fn holder_at(&self) -> Option<Instant> {
        self.holder.as_ref().map(|(_, at)| *at)
    }

    /// Whether another member that holds the lease was heard of lately.
    #[must_use]
    pub fn hears_holder(&self, now: Instant) -> bool {
        is_within(self.holder_at(), now, HOLDER_KEPT)
    }

    /// Whether this instance reads the store for its domain: the first of those that
    /// were heard lately, and knew what the store has.
    #[must_use]
    pub fn reads_store(&self, budget: PropagationBudget, now: Instant) -> bool {
        let (kept, bound) = (budget.reader_timeout(), budget.max_report_age());
        let mut before = self.heard_before(now);
        before.all(|(_, peer)| !(peer.is_heard(now, kept) && is_within(peer.store_at, now, bound)))
    }

    /// How old what this instance knows may grow before it reads the store itself.
    #[must_use]
    pub fn reliance(&self, budget: PropagationBudget, now: Instant) -> Duration {
        budget.max_report_age() + budget.rank_delay(self.rank(now))
    }

    /// Whether a member of the domain has a newer configuration than a version.
    #[must_use]
    pub fn has_newer_config(&self, version: u64, now: Instant) -> bool {
        let mut near = self.heard_near(now);
        near.any(|(_, peer)| peer.config_version > Some(version))
    }

    /// How many of the domain's instances stand before this one: those that it
    /// hears, or more by the word of one that hears all.
    #[must_use]
    pub fn rank(&self, now: Instant) -> usize {
        let heard = self.heard_before(now).count();
        let told = self.sums(now).map_or(0, |(sums, _)| sums.rank);
        heard.max(usize::try_from(told).unwrap_or(0))
    }

    /// The first `most` members of the domain in line by what is known of them, heard or
    /// told of.
    pub(super) fn first_known(&self, most: usize) -> Vec<SocketAddr> {
        let near = self.known_near();
        first_in_line(near, most)
    }

    fn known_near(&self) -> impl Iterator<Item = Standing> {
        let peers = self.peers.iter();
        let near = peers.filter(|(_, peer)| peer.domain.as_ref() == Some(&self.home));
        near.map(|(addr, peer)| peer.standing(*addr))
    }

    /// How many instances of the domain stand before this one by what is known of
    /// them, heard or told of.
    #[must_use]
    pub fn known_before(&self) -> usize {
        let own = self.standing();
        self.known_near().filter(|known| *known < own).count()
    }

    /// Whether this instance is the first of those it hears in its domain.
    #[must_use]
    pub fn is_first(&self, now: Instant) -> bool {
        self.heard_before(now).next().is_none()
    }

    /// The members that are heard in the own domain, in order.
    pub(super) fn heard_near(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        let near = move |(_, peer): &(&SocketAddr, &Peer)| {
            peer.domain.as_ref() == Some(&self.home) && peer.is_heard(now, LOAD_KEPT)
        };
        let peers = self.peers.iter();
        peers.filter(near).map(|(addr, peer)| (*addr, peer))
    }

    /// Those of them before this instance in line.
    fn heard_before(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        let own = self.standing();
        self.heard_near(now)
            .filter(move |(addr, peer)| peer.standing(*addr) < own)
    }

    /// The first `most` members that are heard in the own domain before this
    /// instance in line.
    pub(super) fn first_before(&self, most: usize, now: Instant) -> Vec<SocketAddr> {
        let before = self.heard_before(now);
        first_in_line(before.map(|(addr, peer)| peer.standing(addr)), most)
    }

    /// Whether any member of the own domain is heard.
    #[must_use]
    pub fn hears_near(&self, now: Instant) -> bool {
        self.heard_near(now).next().is_some()
    }

    /// Whether any member is heard.
    #[must_use]
    pub fn hears_any(&self, now: Instant) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.is_heard(now, LOAD_KEPT))
    }
}

/// The addresses of the first `most` of some members in line.
fn first_in_line(members: impl Iterator<Item = Standing>, most: usize) -> Vec<SocketAddr> {
    let mut members: Vec<Standing> = members.collect();
    members.sort_unstable();
    members.truncate(most);
    members.into_iter().map(Standing::addr).collect()
}
