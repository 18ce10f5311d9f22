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
pub(super) const MESH_MEMBERS: usize = 24;
/// Aggregators of a larger domain; with two of them the failure of one causes no delay.
const HEADS: usize = 2;
/// Rounds between an aggregator's heartbeats to its domain. With two aggregators each
/// member gets sums once a round on average.
const HEAD_ROUNDS: u32 = 2;
/// Random members of the domain that get a heartbeat in a round besides the aggregators,
/// so that each member is occasionally received by others whichever the aggregators are.
const DRAWN_NEAR: usize = 1;
/// The same for an instance that has just started and received nothing from aggregators
/// yet, besides those that it expects to be aggregators by the advertised members. Sending
/// to the whole domain until then would make a simultaneous start of all instances cost
/// the square of their number.
const NEAR_AT_START: usize = 8;
/// Rounds between an instance's heartbeats to members of other domains.
const FAR_ROUNDS: u32 = 4;
/// The same for the representative of a domain. A domain's load at another domain's
/// engines must be known there before they are full.
const SPEAKER_ROUNDS: u32 = 2;
/// Most members of other domains that get a heartbeat in one round from an instance of a
/// small domain, or from one that is joining.
const FAR_MEMBERS: usize = 8;
/// The same in a domain with aggregators, which forward what each of them receives.
const FAR_MEMBERS_BESIDE_HEADS: usize = 1;
/// The same for a representative, in rotation: reaches hundreds of members within about
/// a second.
const SPEAKER_FAR_MEMBERS: usize = 64;

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
    far_from: usize,
}

impl Fanout {
    /// The state before the first round.
    #[must_use]
    pub const fn new() -> Self {
        Self { far_from: 0 }
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
        let near: Vec<SocketAddr> = table.local().collect();
        let is_mesh = near.len() <= MESH_MEMBERS;
        if is_mesh {
            targets.local = near;
        } else {
            Self::add_near(&mut targets, near, table, round, now, rng);
        }
        let far: Vec<SocketAddr> = table.remote().collect();
        let speaks = round.is_rank_known && !round.is_joining && table.is_first_ranked(now);
        if speaks && round.number.is_multiple_of(SPEAKER_ROUNDS) {
            targets.remote_with_loads = self.next_far(&far);
        } else if round.is_joining || (speaks && round.has_changes) {
            targets.remote = far.sample(rng, FAR_MEMBERS).copied().collect();
        } else if !speaks && round.number.is_multiple_of(FAR_ROUNDS) {
            let most = if is_mesh {
                FAR_MEMBERS
            } else {
                FAR_MEMBERS_BESIDE_HEADS
            };
            targets.remote = far.sample(rng, most).copied().collect();
        }
        targets
    }

    /// Adds the local targets in a domain with aggregators: an aggregator sends to all
    /// members, the others to the aggregators and a few random members.
    fn add_near<R: Rng + ?Sized>(
        targets: &mut Targets,
        near: Vec<SocketAddr>,
        table: &PeerTable,
        round: Round,
        now: Instant,
        rng: &mut R,
    ) {
        let before = table.first_ranked_before(HEADS, now);
        let is_head = before.len() < HEADS;
        if is_head && !round.is_rank_known && !round.has_changes {
            // It lacks heartbeats of the aggregators only because it has just started.
            targets.local = near.sample(rng, NEAR_AT_START).copied().collect();
            targets.local.extend(table.first_ranked_known(HEADS));
            targets.local.sort_unstable();
            targets.local.dedup();
            return;
        }
        if is_head && (round.has_changes || round.number.is_multiple_of(HEAD_ROUNDS)) {
            targets.local_with_loads = near;
            return;
        }
        let drawn = near.sample(rng, DRAWN_NEAR).copied();
        let drawn: Vec<_> = drawn.filter(|addr| !before.contains(addr)).collect();
        targets.local = before;
        targets.local.extend(drawn);
    }

    fn next_far(&mut self, far: &[SocketAddr]) -> Vec<SocketAddr> {
        let count = SPEAKER_FAR_MEMBERS.min(far.len());
        let start = self.far_from.checked_rem(far.len()).unwrap_or(0);
        self.far_from = start + count;
        far.iter()
            .cycle()
            .skip(start)
            .take(count)
            .copied()
            .collect()
    }
}
