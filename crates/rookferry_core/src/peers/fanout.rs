//! To whom an instance writes in a round.
//!
//! Load pattern: hundreds of instances, each with a few requests under way at
//! engines that all of its failure domain use. What others have under way must
//! be known within a few tenths of a second, or all choose the same engines.

use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::PeerTable;

/// Most other instances in a domain in which each writes to all: their word is
/// fresher than by a head, and costs a small instance too much where there are more.
pub(super) const MESH_MEMBERS: usize = 24;
/// Instances that gather the loads of a larger domain; the second stands in
/// without delay when the first ends.
const HEADS: usize = 2;
/// Rounds between a head's heartbeats to its domain. With two heads each
/// member hears the sums as often as there are rounds.
const HEAD_ROUNDS: u32 = 2;
/// Members of its domain, drawn anew each round, that an instance writes to
/// besides the heads, so that all are heard now and then whoever the heads are.
const DRAWN_NEAR: usize = 1;
/// The same of one that has just started and hears no heads yet, besides those that
/// would be by what it was told. Where each wrote to all of its domain until it heard
/// them, a start of all would cost the square of its size.
const NEAR_AT_START: usize = 8;
/// Rounds between heartbeats to members of other domains.
const FAR_ROUNDS: u32 = 4;
/// The same for the instance that speaks for its domain. What a domain has
/// under way at another's engines must be known there before they are full.
const SPEAKER_ROUNDS: u32 = 2;
/// Most members of other domains that an instance of a small domain, or one
/// that looks for its domain's others, writes to in one round.
const FAR_MEMBERS: usize = 8;
/// The same in a domain with heads, which pass on what one of them hears.
const FAR_MEMBERS_BESIDE_HEADS: usize = 1;
/// The same for a speaker, in turn: hundreds are told within a second or so.
const SPEAKER_FAR_MEMBERS: usize = 64;

/// A round of heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    /// Its number.
    pub number: u32,
    /// Whether news brought it forward, which all are told at once.
    pub has_news: bool,
    /// Whether the instance is old enough to know whether it is the first.
    pub may_speak: bool,
    /// Whether it has just started and looks for the others of its domain.
    pub is_joining: bool,
}

/// Whom to write to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Members of the own domain.
    pub near: Vec<SocketAddr>,
    /// Members of the own domain that are told its sums as well.
    pub near_with_sums: Vec<SocketAddr>,
    /// Members of other domains.
    pub far: Vec<SocketAddr>,
    /// Members of other domains that are told the domain's loads as well.
    pub far_with_loads: Vec<SocketAddr>,
}

/// Decides whom an instance writes to.
#[derive(Clone, Debug, Default)]
pub struct Fanout {
    /// The place among the members of other domains to go on from.
    far_from: usize,
}

impl Fanout {
    /// Before the first round.
    #[must_use]
    pub const fn new() -> Self {
        Self { far_from: 0 }
    }

    /// Whom to write to in a round.
    pub fn round<R: Rng + ?Sized>(
        &mut self,
        table: &PeerTable,
        round: Round,
        now: Instant,
        rng: &mut R,
    ) -> Targets {
        let mut targets = Targets::default();
        let near: Vec<SocketAddr> = table.near().collect();
        let is_mesh = near.len() <= MESH_MEMBERS;
        if is_mesh {
            targets.near = near;
        } else {
            Self::add_near(&mut targets, near, table, round, now, rng);
        }
        let far: Vec<SocketAddr> = table.far().collect();
        let speaks = round.may_speak && !round.is_joining && table.is_first(now);
        if speaks && round.number.is_multiple_of(SPEAKER_ROUNDS) {
            targets.far_with_loads = self.next_far(&far);
        } else if round.is_joining || (speaks && round.has_news) {
            targets.far = far.sample(rng, FAR_MEMBERS).copied().collect();
        } else if !speaks && round.number.is_multiple_of(FAR_ROUNDS) {
            let most = if is_mesh {
                FAR_MEMBERS
            } else {
                FAR_MEMBERS_BESIDE_HEADS
            };
            targets.far = far.sample(rng, most).copied().collect();
        }
        targets
    }

    /// In a domain with heads: the heads, and a few others; a head writes to
    /// all.
    fn add_near<R: Rng + ?Sized>(
        targets: &mut Targets,
        near: Vec<SocketAddr>,
        table: &PeerTable,
        round: Round,
        now: Instant,
        rng: &mut R,
    ) {
        let before = table.first_before(HEADS, now);
        let is_head = before.len() < HEADS;
        if is_head && !round.may_speak && !round.has_news {
            // It hasn't heard the heads yet, and isn't one because of that.
            targets.near = near.sample(rng, NEAR_AT_START).copied().collect();
            targets.near.extend(table.first_known(HEADS));
            targets.near.sort_unstable();
            targets.near.dedup();
            return;
        }
        if is_head && (round.has_news || round.number.is_multiple_of(HEAD_ROUNDS)) {
            targets.near_with_sums = near;
            return;
        }
        let drawn = near.sample(rng, DRAWN_NEAR).copied();
        let drawn: Vec<_> = drawn.filter(|addr| !before.contains(addr)).collect();
        targets.near = before;
        targets.near.extend(drawn);
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
