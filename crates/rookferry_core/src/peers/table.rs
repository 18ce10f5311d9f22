//! The known instances of a site and the last report of each.
//!
//! Input are received heartbeats and the time. Output are the live instances, their
//! rank order in the own failure domain, and what own heartbeats advertise about them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::InstanceId;

use super::Capacity;
use super::DomainMembers;
use super::Echo;
use super::Heartbeat;
use super::HolderObservation;
use super::LoadEntry;
use super::MemberObservation;
use super::ServerLoad;
use super::SuspectedServers;
use super::capacity::RankKey;
use super::peer::KnownStore;
use super::peer::Peer;
use super::peer::UnresponsiveReport;
use super::peer::is_within;
use crate::millis::millis;
use crate::serving::PropagationBudget;
use crate::serving::ServerKey;

/// Silence after which a peer is no longer live and its load no longer counts. Covers
/// several heartbeats within a failure domain, and four of an aggregator's.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Age up to which a report of the lease's holder counts; covers two heartbeats to
/// other failure domains.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time after which a member counts as lost if no instance received a heartbeat from it,
/// and the extension for each known member: members are advertised in rotation, so that
/// with more of them the reports on each are older.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(5);
const MEMBER_TIMEOUT_PER_MEMBER: Duration = Duration::from_millis(50);
/// Upper bound of that time.
const MAX_MEMBER_TIMEOUT: Duration = Duration::from_secs(25);
/// How long a server counts as unresponsive after a peer last listed it, where the peer
/// lists such servers in rotation; covers several rotations of an aggregator.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which an address is dropped if no instance received a heartbeat from it.
/// Until then it gets heartbeats and counts among the instances that share budgets.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// One instance's view of all others, by peer address.
#[derive(Clone, Debug)]
pub struct PeerTable {
    pub(super) own_addr: SocketAddr,
    /// Capacity of this instance for the duties of its domain.
    capacity: Capacity,
    pub(super) own_domain: DomainId,
    pub(super) peers: BTreeMap<SocketAddr, Peer>,
    /// The lease's holder, and when it was last known to hold the lease.
    holder: Option<(InstanceId, Instant)>,
    /// Loads of other domains, as their representatives last reported.
    pub(super) remote_loads: BTreeMap<DomainId, (Vec<LoadEntry>, Instant)>,
    /// Own loads, as last sent to peers.
    pub(super) own_loads: BTreeMap<ServerKey, ServerLoad>,
    /// Own loads at the time when an aggregator's sums were last received.
    pub(super) own_loads_at_sums: BTreeMap<ServerKey, ServerLoad>,
}

impl PeerTable {
    /// An empty table for the instance that listens at `own_addr` in `own_domain`.
    #[must_use]
    pub const fn new(own_addr: SocketAddr, own_domain: DomainId) -> Self {
        Self {
            own_addr,
            capacity: Capacity::LOWEST,
            own_domain,
            peers: BTreeMap::new(),
            holder: None,
            remote_loads: BTreeMap::new(),
            own_loads: BTreeMap::new(),
            own_loads_at_sums: BTreeMap::new(),
        }
    }

    /// Sets the capacity of this instance for the duties of its domain.
    #[must_use]
    pub const fn capacity(mut self, capacity: Capacity) -> Self {
        self.capacity = capacity;
        self
    }

    /// The instance's own sort key in the rank order of its domain.
    pub(super) const fn rank_key(&self) -> RankKey {
        RankKey::new(self.capacity, self.own_addr)
    }

    /// Adds an address that may belong to an instance, such as a configured seed.
    pub fn add_address(&mut self, addr: SocketAddr, now: Instant) {
        if addr != self.own_addr {
            self.peers
                .entry(addr)
                .or_insert(Peer::without_heartbeat(now));
        }
    }

    /// Sets the own loads, as sent to peers now.
    pub fn set_own_loads(&mut self, loads: &[LoadEntry]) {
        let loads = loads.iter();
        self.own_loads = loads.map(|entry| (entry.server, entry.load())).collect();
    }

    /// Merges the members that a peer advertises.
    fn merge_members(&mut self, advertised: &[DomainMembers], now: Instant) {
        for (domain, member) in advertised
            .iter()
            .flat_map(|of| of.members.iter().map(move |member| (&of.domain, member)))
        {
            let age = Duration::from_millis(u64::from(member.age_tenths_s) * 100);
            let Some(seen_at) = now.checked_sub(age).filter(|_| age < ADDRESS_TIMEOUT) else {
                continue;
            };
            if member.addr == self.own_addr {
                continue;
            }
            let peer = self.peers.entry(member.addr);
            let peer = peer.or_insert(Peer::without_heartbeat(seen_at));
            peer.seen_at = peer.seen_at.max(seen_at);
            peer.domain.get_or_insert_with(|| domain.clone());
            if peer.received_at.is_none() {
                peer.capacity = peer.capacity.max(member.capacity);
            }
        }
    }

    /// Records a received heartbeat. Returns whether its sender is new: unknown so far,
    /// reported as lost by [`Self::expire`], or running under a new incarnation.
    pub fn on_heartbeat(&mut self, from: SocketAddr, beat: &Heartbeat, now: Instant) -> bool {
        self.merge_members(&beat.members, now);
        if from == self.own_addr {
            return false;
        }
        let is_local = beat.domain == self.own_domain;
        let peer = self
            .peers
            .entry(from)
            .or_insert(Peer::without_heartbeat(now));
        let is_known = peer.instance.is_some() && peer.incarnation == beat.incarnation;
        peer.domain = Some(beat.domain.clone());
        peer.instance = Some(beat.instance.clone());
        peer.incarnation = beat.incarnation;
        peer.capacity = beat.capacity;
        peer.received_at = Some(now);
        peer.seen_at = now;
        peer.clock = Some((beat.sent_ms, now));
        peer.unreached.clone_from(&beat.unreached);
        peer.is_leaving = beat.is_leaving;
        peer.config_version = beat.config.map(|config| config.version);
        peer.store = beat.store.and_then(|store| {
            Some(KnownStore {
                at: now.checked_sub(Duration::from_millis(store.age_ms))?,
                reader: store.reader.unwrap_or(from),
            })
        });
        if is_local {
            peer.loads.clone_from(&beat.loads);
            if let Some(sums) = &beat.domain_loads {
                peer.sums = Some((sums.clone(), now));
                self.own_loads_at_sums.clone_from(&self.own_loads);
            }
        } else if let Some(reported) = &beat.domain_loads {
            let loads = (reported.loads.clone(), now);
            self.remote_loads.insert(beat.domain.clone(), loads);
        }
        if let Some(holder) = &beat.holder {
            self.record_holder(holder, now);
        }
        !is_known
    }

    /// Returns the servers that a peer's heartbeat lists as unresponsive for the first
    /// time.
    ///
    /// A server counts as responsive to the peer again once a complete list lacks it.
    /// Where the peer lists them in rotation, it does once it was missing from several
    /// rotations.
    pub fn newly_unresponsive(
        &mut self,
        from: SocketAddr,
        beat: &Heartbeat,
        now: Instant,
    ) -> Vec<ServerKey> {
        let Some(peer) = self.peers.get_mut(&from) else {
            return Vec::new();
        };
        let is_complete =
            usize::try_from(beat.out_count).is_ok_and(|count| count <= beat.out.len());
        let timeout = if is_complete {
            Duration::ZERO
        } else {
            UNRESPONSIVE_TIMEOUT
        };
        let mut newly_listed = Vec::new();
        for server in &beat.out {
            let report = peer.unresponsive.entry(*server).or_insert_with(|| {
                newly_listed.push(*server);
                UnresponsiveReport {
                    since: now,
                    reported_at: now,
                }
            });
            report.reported_at = now;
        }
        peer.unresponsive
            .retain(|_, report| now.saturating_duration_since(report.reported_at) <= timeout);
        newly_listed
    }

    /// The servers that live peers of the own domain report as unresponsive.
    #[must_use]
    pub fn suspected_servers(&self, now: Instant) -> SuspectedServers {
        let mut suspected = SuspectedServers::default();
        for (_, peer) in self.live_local(now) {
            for (server, report) in &peer.unresponsive {
                suspected.add(*server, report.since);
            }
        }
        suspected
    }

    /// Drops addresses that no instance received a heartbeat from for too long. Returns
    /// the instances that became lost since the last call.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_seen = |peer: &Peer, within| is_within(Some(peer.seen_at), now, within);
        let timeout = self.member_timeout();
        let peers = self.peers.values_mut();
        let silent = peers.filter(|peer| !is_seen(peer, timeout));
        let silent = silent.filter_map(|peer| peer.instance.take()).collect();
        self.peers.retain(|_, peer| is_seen(peer, ADDRESS_TIMEOUT));
        silent
    }

    fn member_timeout(&self) -> Duration {
        let members = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let timeout = MEMBER_TIMEOUT + MEMBER_TIMEOUT_PER_MEMBER.saturating_mul(members);
        timeout.min(MAX_MEMBER_TIMEOUT)
    }

    /// Peer addresses in the own domain, in address order.
    pub fn local(&self) -> impl Iterator<Item = SocketAddr> {
        self.addresses(|domain| domain == Some(&self.own_domain))
    }

    /// Peer addresses in other domains or in unknown ones, in address order.
    pub fn remote(&self) -> impl Iterator<Item = SocketAddr> {
        self.addresses(|domain| domain != Some(&self.own_domain))
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

    /// Number of known instances, this one included, live or advertised by peers.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// Number of known instances in the own domain, this one included.
    #[must_use]
    pub fn local_instances(&self) -> usize {
        self.local().count() + 1
    }

    /// At most `limit` members from index `from` on, wrapping around at the end.
    #[must_use]
    pub fn members(&self, from: usize, limit: usize, now: Instant) -> Vec<DomainMembers> {
        let count = self.peers.len();
        let start = from.checked_rem(count).unwrap_or(0);
        let window = self.peers.iter().cycle().skip(start).take(limit.min(count));
        let mut advertised: BTreeMap<&DomainId, Vec<MemberObservation>> = BTreeMap::new();
        for (addr, peer) in window {
            if let Some(domain) = &peer.domain {
                let members = advertised.entry(domain).or_default();
                members.push(peer.observation(*addr, now));
            }
        }
        let advertised = advertised.into_iter();
        advertised
            .map(|(domain, members)| DomainMembers {
                domain: domain.clone(),
                members,
            })
            .collect()
    }

    /// At most `limit` members of a domain, in address order.
    #[must_use]
    pub fn members_in(&self, domain: &DomainId, limit: usize, now: Instant) -> DomainMembers {
        let peers = self.peers.iter();
        let members = peers.filter(|(_, peer)| peer.domain.as_ref() == Some(domain));
        DomainMembers {
            domain: domain.clone(),
            members: members
                .take(limit)
                .map(|(addr, peer)| peer.observation(*addr, now))
                .collect(),
        }
    }

    /// The clock value to send back to a peer; none before its first heartbeat.
    #[must_use]
    pub fn echo(&self, to: SocketAddr, now: Instant) -> Option<Echo> {
        let (sent_ms, at) = self.peers.get(&to)?.clock?;
        let held = now.saturating_duration_since(at);
        Some(Echo {
            sent_ms,
            held_ms: millis(held),
        })
    }

    fn record_holder(&mut self, holder: &HolderObservation, now: Instant) {
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

    /// The last known holder of the lease, with the age of that knowledge.
    #[must_use]
    pub fn holder(&self, now: Instant) -> Option<HolderObservation> {
        let (instance, at) = self.holder.as_ref()?;
        let age = now.saturating_duration_since(*at);
        Some(HolderObservation {
            instance: instance.clone(),
            age_ms: millis(age),
        })
    }

    /// When a peer was last known to hold the lease.
    #[must_use]
    pub fn holder_known_at(&self) -> Option<Instant> {
        self.holder.as_ref().map(|(_, at)| *at)
    }

    /// Whether a peer was recently known to hold the lease.
    #[must_use]
    pub fn has_live_holder(&self, now: Instant) -> bool {
        is_within(self.holder_known_at(), now, HOLDER_TIMEOUT)
    }

    /// Whether this instance reads the store for its domain: no live instance that is
    /// ranked before it knows what one that is ranked before it has recently read. Some of
    /// those before it may only relay what this instance has read.
    #[must_use]
    pub fn is_store_reader(&self, budget: PropagationBudget, now: Instant) -> bool {
        let (timeout, max_age) = (budget.reader_timeout(), budget.max_report_age());
        let mut before = self.live_before(now);
        before.all(|(_, peer)| {
            let is_known = peer.store.is_some_and(|store| {
                is_within(Some(store.at), now, max_age) && self.is_ranked_before(store.reader)
            });
            !(is_known && peer.received_within(now, timeout))
        })
    }

    /// Whether an instance is ranked before this one; one that isn't known may be.
    fn is_ranked_before(&self, addr: SocketAddr) -> bool {
        let peer = self.peers.get(&addr);
        addr != self.own_addr && peer.is_none_or(|peer| peer.rank_key(addr) < self.rank_key())
    }

    /// Age that this instance's knowledge of the store may reach before it reads the
    /// store itself; grows with its rank.
    #[must_use]
    pub fn max_store_age(&self, budget: PropagationBudget, now: Instant) -> Duration {
        budget.max_report_age() + budget.rank_delay(self.rank(now))
    }

    /// Whether a live peer of the domain has a configuration newer than `version`.
    #[must_use]
    pub fn has_newer_config(&self, version: u64, now: Instant) -> bool {
        let mut local = self.live_local(now);
        local.any(|(_, peer)| peer.config_version > Some(version))
    }

    /// Number of the domain's instances ranked before this one: the live ones, or the
    /// count in an aggregator's sums where that is higher.
    #[must_use]
    pub fn rank(&self, now: Instant) -> usize {
        let live = self.live_before(now).count();
        let reported = self.sums(now).map_or(0, |(sums, _)| sums.rank);
        live.max(usize::try_from(reported).unwrap_or(0))
    }

    /// The first-ranked `limit` members of the domain, live or only advertised by peers.
    pub(super) fn first_ranked_known(&self, limit: usize) -> Vec<SocketAddr> {
        let local = self.known_local();
        first_ranked(local, limit)
    }

    fn known_local(&self) -> impl Iterator<Item = RankKey> {
        let peers = self.peers.iter();
        let local = peers.filter(|(_, peer)| peer.domain.as_ref() == Some(&self.own_domain));
        local.map(|(addr, peer)| peer.rank_key(*addr))
    }

    /// Number of the domain's known instances ranked before this one, live or only
    /// advertised by peers.
    #[must_use]
    pub fn known_rank(&self) -> usize {
        let own = self.rank_key();
        self.known_local().filter(|known| *known < own).count()
    }

    /// Whether no live instance of the domain is ranked before this one.
    #[must_use]
    pub fn is_first_ranked(&self, now: Instant) -> bool {
        self.live_before(now).next().is_none()
    }

    /// The live peers of the own domain, in address order.
    pub(super) fn live_local(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        let is_live_local = move |(_, peer): &(&SocketAddr, &Peer)| {
            peer.domain.as_ref() == Some(&self.own_domain)
                && peer.received_within(now, LOAD_TIMEOUT)
        };
        let peers = self.peers.iter();
        peers
            .filter(is_live_local)
            .map(|(addr, peer)| (*addr, peer))
    }

    /// The live peers of the own domain that are ranked before this instance.
    fn live_before(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        let own = self.rank_key();
        self.live_local(now)
            .filter(move |(addr, peer)| peer.rank_key(*addr) < own)
    }

    /// The first-ranked `limit` live peers of the own domain, of those ranked before this
    /// instance.
    pub(super) fn first_ranked_before(&self, limit: usize, now: Instant) -> Vec<SocketAddr> {
        let before = self.live_before(now);
        first_ranked(before.map(|(addr, peer)| peer.rank_key(addr)), limit)
    }

    /// Whether any peer of the own domain is live.
    #[must_use]
    pub fn has_live_local(&self, now: Instant) -> bool {
        self.live_local(now).next().is_some()
    }

    /// Whether any peer is live.
    #[must_use]
    pub fn has_live_peer(&self, now: Instant) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.received_within(now, LOAD_TIMEOUT))
    }
}

/// The addresses of the first-ranked `limit` members.
fn first_ranked(members: impl Iterator<Item = RankKey>, limit: usize) -> Vec<SocketAddr> {
    let mut members: Vec<RankKey> = members.collect();
    members.sort_unstable();
    members.truncate(limit);
    members.into_iter().map(RankKey::addr).collect()
}
