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
use super::capacity::Standing;
use super::peer::is_within;
use crate::serving::ServerKey;

/// How long an aggregator's sums count. Covers a failover: the next two members take the
/// failed aggregators for live for another 1.2 s, and then send their own sums twice.
const SUMS_KEPT: Duration = Duration::from_secs(2);
/// Age from which an aggregator's sums no longer reflect the current load: one of its
/// rounds, and half of one for a late datagram.
const BLIND_AFTER: Duration = Duration::from_millis(350);
/// Upper bound of the load that peers are assumed to have added since the last sums, as
/// a fraction of the load in them. Without it requests would be refused although engines
/// have little in flight, while aggregators are late, as after a start of all instances.
const MOST_GROWTH: f64 = 0.5;
/// How long another domain's loads count after the last report of its representative.
/// Covers the change to the next representative, and on a site of hundreds of instances
/// one rotation through all members of other domains.
const FAR_LOADS_KEPT: Duration = Duration::from_secs(3);

/// The loads of a domain in one round of its aggregator, computed once for all receivers.
#[derive(Clone, Debug)]
pub struct AggregatedLoads {
    /// The peers whose loads are included, in rank order.
    heard: Vec<Standing>,
    entries: Vec<LoadEntry>,
}

impl PeerTable {
    /// The recent sums of an aggregator of the own domain, and when they were received:
    /// those with the most instances included, and the latest among equals.
    pub(super) fn sums(&self, now: Instant) -> Option<(&DomainLoads, Instant)> {
        let told = self.heard_near(now).filter_map(|(_, peer)| {
            let (sums, at) = peer.sums.as_ref()?;
            is_within(Some(*at), now, SUMS_KEPT).then_some((sums, *at))
        });
        told.max_by_key(|(sums, at)| (sums.instances, *at))
    }

    /// The load of all other instances by server. The own domain's loads are the peers'
    /// own reports or an aggregator's sums, whichever includes more instances; those of
    /// other domains are their representatives' reports.
    #[must_use]
    pub fn loads(&self, now: Instant) -> BTreeMap<ServerKey, ServerLoad> {
        let heard = self.heard_near(now).count();
        let sums = self.sums(now);
        let sums = sums
            .filter(|(sums, _)| usize::try_from(sums.instances).is_ok_and(|in_it| in_it > heard));
        let mut loads = match sums {
            Some((sums, at)) => {
                let mut loads = BTreeMap::new();
                add_loads(&mut loads, &sums.loads);
                if !is_within(Some(at), now, BLIND_AFTER) {
                    self.add_alike(&mut loads, sums.instances);
                }
                loads
            }
            None => self.local_loads(now),
        };
        let far = self.far_loads.iter();
        for (_, (told, at)) in far {
            if is_within(Some(*at), now, FAR_LOADS_KEPT) {
                add_loads(&mut loads, told);
            }
        }
        loads
    }

    /// Adds the load that peers have admitted since the last sums, assuming that each
    /// admitted as much as this instance. Load pattern: the aggregators of a large domain
    /// exit under overload. All other instances see the same free capacity and would fill
    /// it many times over. With this estimate each admits only as much as it completes
    /// itself, until new sums arrive.
    fn add_alike(&self, loads: &mut BTreeMap<ServerKey, ServerLoad>, instances: u32) {
        let instances = usize::try_from(instances).unwrap_or(usize::MAX);
        for (server, own) in &self.own_loads {
            let before = self.own_at_sums.get(server).copied().unwrap_or_default();
            let alike = (*own - before).times(instances);
            let told = loads.entry(*server).or_default();
            *told += alike.at_most(told.part(MOST_GROWTH));
        }
    }

    /// The load of the own domain's live peers by server, from their own reports.
    #[must_use]
    pub fn local_loads(&self, now: Instant) -> BTreeMap<ServerKey, ServerLoad> {
        let mut loads = BTreeMap::new();
        for (_, peer) in self.heard_near(now) {
            add_loads(&mut loads, &peer.loads);
        }
        loads
    }

    /// The sums that this instance sends in one round as an aggregator. `entries` are the
    /// loads of the domain, this instance's included.
    #[must_use]
    pub fn aggregate_loads(&self, entries: Vec<LoadEntry>, now: Instant) -> AggregatedLoads {
        let heard = self.heard_near(now);
        let mut heard: Vec<Standing> = heard.map(|(addr, peer)| peer.standing(addr)).collect();
        heard.sort_unstable();
        AggregatedLoads { heard, entries }
    }

    /// The sums for one member of the domain, without its own load.
    #[must_use]
    pub fn loads_for_member(&self, to: SocketAddr, sums: &AggregatedLoads) -> DomainLoads {
        let known = self.peers.get(&to);
        let standing = Standing::new(known.map_or(Capacity::LEAST, |peer| peer.capacity), to);
        let place = sums.heard.binary_search(&standing);
        let member = known.filter(|_| place.is_ok());
        let mut own: BTreeMap<ServerKey, ServerLoad> = BTreeMap::new();
        add_loads(&mut own, member.map_or(&[], |member| &member.loads));
        let others = sums.entries.iter().map(|entry| {
            let own = own.get(&entry.server).copied().unwrap_or_default();
            entry.with_load(entry.load() - own)
        });
        let (Ok(before) | Err(before)) = place;
        let rank = before + usize::from(self.standing() < standing);
        let instances = sums.heard.len() + 1 - usize::from(member.is_some());
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
            instances: u32::try_from(self.heard.len() + 1).unwrap_or(u32::MAX),
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
