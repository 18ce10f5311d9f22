//! Choice of the peers that get a heartbeat in a round.
//!
//! Load pattern: hundreds of instances, each with a few requests in flight at engines
//! that its whole failure domain uses. The others' loads must be known within a few
//! tenths of a second, or all instances choose the same engines.
//!
//! A small domain is a full mesh. In a larger one members send to the aggregators, which
//! send the domain's sums to all members. The first-ranked instance of each domain, its
//! representative, sends the domain's loads to the other domains.

use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::PeerTable;

/// Largest number of peers in a domain that is a full mesh. Direct reports are fresher
/// than an aggregator's, but with more peers they cost a small instance too much.
pub(super) const MAX_MESH_PEERS: usize = 24;
/// Aggregators of a larger domain; with two of them the failure of one causes no delay.
const AGGREGATORS: usize = 2;
/// Rounds between an aggregator's heartbeats to its domain. With two aggregators each
/// member gets sums once a round on average.
const AGGREGATOR_ROUNDS: u32 = 2;
/// Random members of the domain that get a heartbeat in a round besides the aggregators,
/// so that each member is occasionally received by others whichever the aggregators are.
const RANDOM_LOCAL: usize = 1;
/// The same for an instance that has just started and received nothing from aggregators
/// yet, besides those that it expects to be aggregators by the advertised members.
/// Sending to the whole domain until then would make a simultaneous start of all
/// instances cost the square of their number.
const RANDOM_LOCAL_AT_START: usize = 8;
/// Rounds between an instance's heartbeats to members of other domains.
const REMOTE_ROUNDS: u32 = 4;
/// The same for the representative of a domain. A domain's load at another domain's
/// engines must be known there before they are full.
const REPRESENTATIVE_ROUNDS: u32 = 2;
/// Most members of other domains that get a heartbeat in one round from an instance of a
/// small domain, or from one that is joining.
const REMOTE_PEERS: usize = 8;
/// The same in a domain with aggregators, which forward what each of them receives.
const REMOTE_PEERS_WITH_AGGREGATORS: usize = 1;
/// The same for a representative, in rotation: reaches hundreds of members within about
/// a second.
const REPRESENTATIVE_REMOTE_PEERS: usize = 64;

/// One round of heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    /// Number of the round; some targets get a heartbeat only in every few rounds.
    pub number: u32,
    /// Whether the round is sent early because of a change, which goes to all at once.
    pub has_changes: bool,
    /// Whether the instance has run long enough to know its rank in the domain.
    pub is_rank_known: bool,
    /// Whether the instance has just started and is discovering the peers of its domain.
    pub is_joining: bool,
}

/// The peer addresses that get a heartbeat in a round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Members of the own domain.
    pub local: Vec<SocketAddr>,
    /// Members of the own domain that also get the domain's summed loads.
    pub local_with_loads: Vec<SocketAddr>,
    /// Members of other domains.
    pub remote: Vec<SocketAddr>,
    /// Members of other domains that also get the own domain's summed loads.
    pub remote_with_loads: Vec<SocketAddr>,
}

/// Chooses the targets of each round.
#[derive(Clone, Debug, Default)]
pub struct Fanout {
    /// Index among the members of other domains at which the rotation continues.
    remote_index: usize,
}

impl Fanout {
    /// The state before the first round.
    #[must_use]
    pub const fn new() -> Self {
        Self { remote_index: 0 }
    }

    /// Returns the targets of a round.
    pub fn round<R: Rng + ?Sized>(
        &mut self,
        table: &PeerTable,
        round: Round,
        now: Instant,
        rng: &mut R,
    ) -> Targets {
        let mut targets = Targets::default();
        let local: Vec<SocketAddr> = table.local().collect();
        let is_mesh = local.len() <= MAX_MESH_PEERS;
        if is_mesh {
            targets.local = local;
        } else {
            Self::add_local(&mut targets, local, table, round, now, rng);
        }
        let remote: Vec<SocketAddr> = table.remote().collect();
        let is_representative =
            round.is_rank_known && !round.is_joining && table.is_first_ranked(now);
        if is_representative && round.number.is_multiple_of(REPRESENTATIVE_ROUNDS) {
            targets.remote_with_loads = self.next_remote(&remote);
        } else if round.is_joining || (is_representative && round.has_changes) {
            targets.remote = remote.sample(rng, REMOTE_PEERS).copied().collect();
        } else if !is_representative && round.number.is_multiple_of(REMOTE_ROUNDS) {
            let limit = if is_mesh {
                REMOTE_PEERS
            } else {
                REMOTE_PEERS_WITH_AGGREGATORS
            };
            targets.remote = remote.sample(rng, limit).copied().collect();
        }
        targets
    }

    /// Adds the local targets in a domain with aggregators: an aggregator sends to all
    /// members, the others to the aggregators and a few random members.
    fn add_local<R: Rng + ?Sized>(
        targets: &mut Targets,
        local: Vec<SocketAddr>,
        table: &PeerTable,
        round: Round,
        now: Instant,
        rng: &mut R,
    ) {
        let ranked_before = table.first_ranked_before(AGGREGATORS, now);
        let is_aggregator = ranked_before.len() < AGGREGATORS;
        if is_aggregator && !round.is_rank_known && !round.has_changes {
            // It lacks heartbeats of the aggregators only because it has just started.
            targets.local = local.sample(rng, RANDOM_LOCAL_AT_START).copied().collect();
            targets.local.extend(table.first_ranked_known(AGGREGATORS));
            targets.local.sort_unstable();
            targets.local.dedup();
            return;
        }
        if is_aggregator && (round.has_changes || round.number.is_multiple_of(AGGREGATOR_ROUNDS)) {
            targets.local_with_loads = local;
            return;
        }
        let random = local.sample(rng, RANDOM_LOCAL).copied();
        let random: Vec<_> = random
            .filter(|addr| !ranked_before.contains(addr))
            .collect();
        targets.local = ranked_before;
        targets.local.extend(random);
    }

    fn next_remote(&mut self, remote: &[SocketAddr]) -> Vec<SocketAddr> {
        let count = REPRESENTATIVE_REMOTE_PEERS.min(remote.len());
        let start = self.remote_index.checked_rem(remote.len()).unwrap_or(0);
        self.remote_index = start + count;
        remote
            .iter()
            .cycle()
            .skip(start)
            .take(count)
            .copied()
            .collect()
    }
}
