//! Which part of each long list a round of heartbeats advertises.
//!
//! A list that is too long is divided into batches, one for each turn of a few rounds. If
//! heartbeats are shortened as well, only a part of the batch is sent. The batch is then
//! retained for as many turns as it has parts, or those left out would never be sent.

use std::collections::BTreeMap;

use super::HeartbeatCut;
use super::HeartbeatList;
use super::heartbeat_fitter::PARTS;

/// Rounds for which the same part of a list too long for one heartbeat is advertised: an
/// aggregator sends to its domain in every second round.
const ROUNDS_PER_TURN: u32 = 2;
/// Turns for which batches are retained after a list was last shortened: four batches.
/// Loads vary from round to round, so not every heartbeat needs to be shortened, and
/// switching each time would skip parts.
const RETAINED_TURNS: usize = 4 * PARTS;

/// The rotation of the lists in an instance's heartbeats.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatRotation {
    round: u32,
    /// The turn in which a list was last shortened.
    shortened_in: BTreeMap<HeartbeatList, usize>,
}

impl HeartbeatRotation {
    /// The rotation before the first round.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            round: 0,
            shortened_in: BTreeMap::new(),
        }
    }

    /// Begins the next round, and returns its number.
    pub const fn next_round(&mut self) -> u32 {
        self.round = self.round.wrapping_add(1);
        self.round
    }

    /// The part that is sent of a list that is shortened.
    #[must_use]
    pub fn part(&self) -> usize {
        self.turn() % PARTS
    }

    /// Index of the batch that is advertised of a list.
    #[must_use]
    pub fn batch(&self, list: HeartbeatList) -> usize {
        self.retained_batch(list).unwrap_or_else(|| self.turn())
    }

    /// Index of the batch that is retained for several turns; none while the list isn't
    /// shortened.
    pub(super) fn retained_batch(&self, list: HeartbeatList) -> Option<usize> {
        let turn = self.turn();
        let since = turn.checked_sub(*self.shortened_in.get(&list)?)?;
        (since <= RETAINED_TURNS).then_some(turn / PARTS)
    }

    /// Records what was left out of a heartbeat in this round.
    pub fn record_cuts(&mut self, cuts: &[HeartbeatCut]) {
        let turn = self.turn();
        let lists = cuts.iter().map(|cut| (cut.list, turn));
        self.shortened_in.extend(lists);
    }

    fn turn(&self) -> usize {
        usize::try_from(self.round / ROUNDS_PER_TURN).unwrap_or_default()
    }
}
