//! Whom to send heartbeats, within a budget of bytes.
//!
//! Within the own failure domain each instance hears each other in full. Of
//! every other domain one instance a round is told, in turn, and one in its
//! own domain passes on what it heard by its own heartbeats' versions. The
//! interval grows with the domain so that the bytes a second stay bounded.

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::net::SocketAddr;
use std::time::Duration;

use rookferry_wire::DomainId;
use rookferry_wire::InstanceId;

/// The shortest time between rounds.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// The longest; well below the silence after which members are suspected.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// A peer that may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Its name.
    pub instance: InstanceId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Where it takes datagrams.
    pub addr: SocketAddr,
}

/// Chooses targets round by round.
#[derive(Clone, Debug)]
pub struct HeartbeatPlan {
    own_domain: DomainId,
    budget_bytes_per_s: u32,
    round: u64,
}

impl HeartbeatPlan {
    /// A plan for an instance of a domain.
    #[must_use]
    pub const fn new(own_domain: DomainId, budget_bytes_per_s: u32) -> Self {
        Self {
            own_domain,
            budget_bytes_per_s,
            round: 0,
        }
    }

    /// The targets of the next round.
    pub fn next_round<'a>(&mut self, peers: &'a [PeerTarget]) -> Vec<&'a PeerTarget> {
        self.round += 1;
        let mut far: BTreeMap<&DomainId, Vec<&PeerTarget>> = BTreeMap::new();
        let mut targets = Vec::new();
        for peer in peers {
            if peer.failure_domain == self.own_domain {
                targets.push(peer);
            } else {
                far.entry(&peer.failure_domain).or_default().push(peer);
            }
        }
        for members in far.values() {
            let turn = usize::try_from(self.round).unwrap_or(0) % members.len();
            targets.push(members[turn]);
        }
        targets
    }

    /// The time until the next round, for a number of datagrams of a size.
    #[must_use]
    pub fn interval(&self, targets: usize, datagram_bytes: usize) -> Duration {
        let bytes = (targets * datagram_bytes) as f64;
        let interval = Duration::from_secs_f64(bytes / f64::from(self.budget_bytes_per_s.max(1)));
        interval.clamp(MIN_INTERVAL, MAX_INTERVAL)
    }
}

/// The one of `instances` that a name belongs to, by rendezvous hashing: when
/// an instance comes or goes, only the names that were its own move.
#[must_use]
pub fn home_of<'a>(name: &str, instances: &'a [InstanceId]) -> Option<&'a InstanceId> {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    instances
        .iter()
        .max_by_key(|instance| hasher.hash_one((name, instance)))
}
