//! What a failure domain has under way, as its members hear it and as its
//! heads sum it for them.

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

/// How long a head's sums count: until the next two act as heads, which count
/// the former as there for 1.2 s, and have told theirs twice.
const SUMS_KEPT: Duration = Duration::from_secs(2);
/// The age from which a head's sums say nothing of what the others do now: one
/// of its rounds, and half of one for a late datagram.
const BLIND_AFTER: Duration = Duration::from_millis(350);
/// The most that others are taken to have let in since, as a part of what they
/// had: an engine with little under way is no reason to turn anybody away while
/// heads are late, as after a start of all.
const MOST_GROWTH: f64 = 0.5;
/// How long another domain's loads count after its speaker was last heard;
/// covers the change from one speaker to the next, and a turn through all of
/// the members of other domains on a site of hundreds.
const FAR_LOADS_KEPT: Duration = Duration::from_secs(3);

/// What a domain has under way in one round of its head, put together once for
/// all its members.
#[derive(Clone, Debug)]
pub struct DomainSums {
    /// The members whose loads are in it, in line.
    heard: Vec<Standing>,
    entries: Vec<LoadEntry>,
}

impl PeerTable {
    /// A head's word on what the own domain has under way: of those that are
    /// fresh, one with the most instances in it.
    pub(super) fn sums(&self, now: Instant) -> Option<(&DomainLoads, Instant)> {
        let told = self.heard_near(now).filter_map(|(_, peer)| {
            let (sums, at) = peer.sums.as_ref()?;
            is_within(Some(*at), now, SUMS_KEPT).then_some((sums, *at))
        });
        told.max_by_key(|(sums, at)| (sums.instances, *at))
    }

    /// What the other members have under way at each server: those of the own
    /// domain by their own word or a head's, whichever has more instances in
    /// it, and those of others by their speakers'.
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
            None => self.near_loads(now),
        };
        let far = self.far_loads.iter();
        for (_, (told, at)) in far {
            if is_within(Some(*at), now, FAR_LOADS_KEPT) {
                add_loads(&mut loads, told);
            }
        }
        loads
    }

    /// Adds what others have taken in since the last sums if each did as this
    /// instance. Load pattern: the heads of a large domain end under overload. All
    /// others see the same room left and fill it many times over; so each takes in
    /// no more than ends of its own until it is told again.
    fn add_alike(&self, loads: &mut BTreeMap<ServerKey, ServerLoad>, instances: u32) {
        let instances = usize::try_from(instances).unwrap_or(usize::MAX);
        for (server, own) in &self.own_loads {
            let before = self.own_at_sums.get(server).copied().unwrap_or_default();
            let alike = (*own - before).times(instances);
            let told = loads.entry(*server).or_default();
            *told += alike.at_most(told.part(MOST_GROWTH));
        }
    }

    /// What the other members of the own domain have under way at each server,
    /// by their own word.
    #[must_use]
    pub fn near_loads(&self, now: Instant) -> BTreeMap<ServerKey, ServerLoad> {
        let mut loads = BTreeMap::new();
        for (_, peer) in self.heard_near(now) {
            add_loads(&mut loads, &peer.loads);
        }
        loads
    }

    /// What this instance, as a head, tells of in one round; `entries` is what
    /// the domain has under way, this instance included.
    #[must_use]
    pub fn domain_sums(&self, entries: Vec<LoadEntry>, now: Instant) -> DomainSums {
        let heard = self.heard_near(now);
        let mut heard: Vec<Standing> = heard.map(|(addr, peer)| peer.standing(addr)).collect();
        heard.sort_unstable();
        DomainSums { heard, entries }
    }

    /// What a member of the domain is told of it: all less its own.
    #[must_use]
    pub fn sums_for(&self, to: SocketAddr, sums: &DomainSums) -> DomainLoads {
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

impl DomainSums {
    /// The same, for other domains.
    #[must_use]
    pub fn into_loads(self) -> DomainLoads {
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
