//! Choice of heartbeat targets within a budget of bytes per second.
//!
//! In each round all instances of the own failure domain get a heartbeat. Of each other
//! domain as many get one, in rotation, as the budget of the shortest round allows, and
//! at least one. The interval grows with the bytes sent, so that the rate stays bounded.

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::net::SocketAddr;
use std::time::Duration;

use rookferry_wire::DomainId;
use rookferry_wire::InstanceId;

/// Shortest time between rounds.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between rounds. Heartbeats carry the interval, so that receivers adapt
/// their timeouts.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// A peer that may get a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// The peer's name.
    pub instance: InstanceId,
    /// The peer's failure domain.
    pub failure_domain: DomainId,
    /// Address for its datagrams.
    pub addr: SocketAddr,
}

/// Chooses the targets of each round, and the time to the next.
#[derive(Clone, Debug)]
pub struct HeartbeatPlan {
    own_domain: DomainId,
    budget_bytes_per_s: u32,
    round: u64,
}

impl HeartbeatPlan {
    /// A plan for an instance of a domain, with a budget in bytes per second.
    #[must_use]
    pub const fn new(own_domain: DomainId, budget_bytes_per_s: u32) -> Self {
        Self {
            own_domain,
            budget_bytes_per_s,
            round: 0,
        }
    }

    /// The targets of the next round, for datagrams of `datagram_bytes`.
    pub fn next_round<'a>(
        &mut self,
        peers: &'a [PeerTarget],
        datagram_bytes: usize,
    ) -> Vec<&'a PeerTarget> {
        self.round += 1;
        let mut remote: BTreeMap<&DomainId, Vec<&PeerTarget>> = BTreeMap::new();
        let mut targets = Vec::new();
        for peer in peers {
            if peer.failure_domain == self.own_domain {
                targets.push(peer);
            } else {
                remote.entry(&peer.failure_domain).or_default().push(peer);
            }
        }
        let per_domain = self.remote_per_domain(targets.len(), remote.len(), datagram_bytes);
        for members in remote.values() {
            let per_domain = per_domain.min(members.len());
            let first = usize::try_from(self.round).unwrap_or(0) * per_domain;
            targets.extend((0..per_domain).map(|offset| members[(first + offset) % members.len()]));
        }
        targets
    }

    /// Number of members of each other domain that the budget of the shortest round
    /// allows, at least one.
    fn remote_per_domain(&self, local: usize, domains: usize, datagram_bytes: usize) -> usize {
        let bytes = u128::from(self.budget_bytes_per_s) * MIN_INTERVAL.as_millis() / 1_000;
        let fitting = usize::try_from(bytes).unwrap_or(0) / datagram_bytes.max(1);
        (fitting.saturating_sub(local) / domains.max(1)).max(1)
    }

    /// The time until the next round after `targets` datagrams of `datagram_bytes`.
    #[must_use]
    pub fn interval(&self, targets: usize, datagram_bytes: usize) -> Duration {
        let bytes = (targets * datagram_bytes) as f64;
        let interval = Duration::from_secs_f64(bytes / f64::from(self.budget_bytes_per_s.max(1)));
        interval.clamp(MIN_INTERVAL, MAX_INTERVAL)
    }
}

/// The one of `instances` that a name is assigned to, by rendezvous hashing: when an
/// instance joins or leaves, only its own names are reassigned. None without instances.
#[must_use]
pub fn rendezvous_owner<'a>(name: &str, instances: &'a [InstanceId]) -> Option<&'a InstanceId> {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    instances
        .iter()
        .max_by_key(|instance| hasher.hash_one((name, instance)))
}
