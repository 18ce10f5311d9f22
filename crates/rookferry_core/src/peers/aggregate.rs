//! Loads of the failure domains: computed from the members' heartbeats, or from the
//! sums of a domain's aggregators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Capacity;
use super::DomainLoads;
use super::LoadEntry;
use super::PeerTable;
use super::ServerLoad;
use super::capacity::RankKey;
use super::peer::is_within;
use crate::serving::ServerKey;

/// How long an aggregator's sums count. Covers a failover: the next two members take the
/// failed aggregators for live for another 1.2 s, and then send their own sums twice.
const SUMS_TIMEOUT: Duration = Duration::from_secs(2);
/// Age from which an aggregator's sums no longer reflect the current load: one of its
/// rounds, and half of one for a late datagram.
const SUMS_STALE_AFTER: Duration = Duration::from_millis(350);
/// Upper bound of the load that peers are assumed to have added since the last sums, as
/// a fraction of the load in them. Without it requests would be refused although engines
/// have little in flight, while aggregators are late, as after a start of all instances.
const MAX_ASSUMED_GROWTH: f64 = 0.5;
/// How long another domain's loads count after the last report of its representative.
/// Covers the change to the next representative, and on a site of hundreds of instances
/// one rotation through all members of other domains.
const REMOTE_LOADS_TIMEOUT: Duration = Duration::from_secs(3);

/// The loads of a domain in one round of its aggregator, computed once for all receivers.
#[derive(Clone, Debug)]
pub struct AggregatedLoads {
    /// The peers whose loads are included, in rank order.
    included: Vec<RankKey>,
    entries: Vec<LoadEntry>,
}

impl PeerTable {
    /// The recent sums of an aggregator of the own domain, and when they were received:
    /// those with the most instances included, and the latest among equals.
    pub(super) fn sums(&self, now: Instant) -> Option<(&DomainLoads, Instant)> {
        let reported = self.live_local(now).filter_map(|(_, peer)| {
            let (sums, at) = peer.sums.as_ref()?;
            is_within(Some(*at), now, SUMS_TIMEOUT).then_some((sums, *at))
        });
        reported.max_by_key(|(sums, at)| (sums.instances, *at))
    }

    /// The load of all other instances by server. The own domain's loads are the peers'
    /// own reports or an aggregator's sums, whichever includes more instances; those of
    /// other domains are their representatives' reports.
    #[must_use]
    pub fn loads(&self, now: Instant) -> BTreeMap<ServerKey, ServerLoad> {
        let live = self.live_local(now).count();
        let sums = self.sums(now);
        let sums = sums.filter(|(sums, _)| {
            usize::try_from(sums.instances).is_ok_and(|included| included > live)
        });
        let mut loads = match sums {
            Some((sums, at)) => {
                let mut loads = BTreeMap::new();
                add_loads(&mut loads, &sums.loads);
                if !is_within(Some(at), now, SUMS_STALE_AFTER) {
                    self.add_assumed_growth(&mut loads, sums.instances);
                }
                loads
            }
            None => self.local_loads(now),
        };
        let remote = self.remote_loads.iter();
        for (_, (reported, at)) in remote {
            if is_within(Some(*at), now, REMOTE_LOADS_TIMEOUT) {
                add_loads(&mut loads, reported);
            }
        }
        loads
    }

    /// Adds the load that peers have admitted since the last sums, assuming that each
    /// admitted as much as this instance. Load pattern: the aggregators of a large domain
    /// exit under overload. All other instances see the same free capacity and would fill
    /// it many times over. With this estimate each admits only as much as it completes
    /// itself, until new sums arrive.
    fn add_assumed_growth(&self, loads: &mut BTreeMap<ServerKey, ServerLoad>, instances: u32) {
        let instances = usize::try_from(instances).unwrap_or(usize::MAX);
        for (server, own) in &self.own_loads {
            let before = self
                .own_loads_at_sums
                .get(server)
                .copied()
                .unwrap_or_default();
            let growth = (*own - before).times(instances);
            let reported = loads.entry(*server).or_default();
            *reported += growth.at_most(reported.fraction(MAX_ASSUMED_GROWTH));
        }
    }

    /// The load of the own domain's live peers by server, from their own reports.
    #[must_use]
    pub fn local_loads(&self, now: Instant) -> BTreeMap<ServerKey, ServerLoad> {
        let mut loads = BTreeMap::new();
        for (_, peer) in self.live_local(now) {
            add_loads(&mut loads, &peer.loads);
        }
        loads
    }

    /// The sums that this instance sends in one round as an aggregator. `entries` are the
    /// loads of the domain, this instance's included.
    #[must_use]
    pub fn aggregate_loads(&self, entries: Vec<LoadEntry>, now: Instant) -> AggregatedLoads {
        let live = self.live_local(now);
        let mut included: Vec<RankKey> = live.map(|(addr, peer)| peer.rank_key(addr)).collect();
        included.sort_unstable();
        AggregatedLoads { included, entries }
    }

    /// The sums for one member of the domain, without its own load.
    #[must_use]
    pub fn loads_for_member(&self, to: SocketAddr, sums: &AggregatedLoads) -> DomainLoads {
        let known = self.peers.get(&to);
        let rank_key = RankKey::new(known.map_or(Capacity::LOWEST, |peer| peer.capacity), to);
        let index = sums.included.binary_search(&rank_key);
        let member = known.filter(|_| index.is_ok());
        let mut own: BTreeMap<ServerKey, ServerLoad> = BTreeMap::new();
        add_loads(&mut own, member.map_or(&[], |member| &member.loads));
        let others = sums.entries.iter().map(|entry| {
            let own = own.get(&entry.server).copied().unwrap_or_default();
            entry.with_load(entry.load() - own)
        });
        let (Ok(before) | Err(before)) = index;
        let rank = before + usize::from(self.rank_key() < rank_key);
        let instances = sums.included.len() + 1 - usize::from(member.is_some());
        DomainLoads {
            instances: u32::try_from(instances).unwrap_or(u32::MAX),
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            loads: others.collect(),
        }
    }
}

impl AggregatedLoads {
    /// The sums for receivers in other domains.
    #[must_use]
    pub fn into_domain_loads(self) -> DomainLoads {
        DomainLoads {
            instances: u32::try_from(self.included.len() + 1).unwrap_or(u32::MAX),
            rank: 0,
            loads: self.entries,
        }
    }
}

fn add_loads(loads: &mut BTreeMap<ServerKey, ServerLoad>, entries: &[LoadEntry]) {
    for entry in entries {
        *loads.entry(entry.server).or_default() += entry.load();
    }
}
