//! Plans what engines should load, step by step on a draft.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rookferry_wire::DomainId;
use rookferry_wire::LayerRange;

use super::super::ModelShape;
use super::LayoutEngine;
use super::NeededPlacement;
use super::balance;
use super::draft::Draft;
use super::draft::MoveLoss;
use super::holdings::Holdings;
use super::holdings::LayerCopies;
use super::retile::retile;
use super::room::RoomSearch;

/// The part of the room aimed at below which a layer holds its whole group
/// back, so that a copy from elsewhere is worth a load.
const TIGHT_PART: f64 = 0.5;

/// Plans what engines should load.
#[derive(Debug)]
pub struct LayoutPlanner<'a> {
    model: &'a ModelShape,
    longest_pause: Option<Duration>,
}

/// Engines that hold all layers among themselves.
#[derive(Debug)]
struct Group {
    engines: Vec<usize>,
    /// Requests that each of them should have room for.
    requests: f64,
}

impl<'a> LayoutPlanner<'a> {
    /// A planner for a model.
    #[must_use]
    pub const fn new(model: &'a ModelShape) -> Self {
        Self {
            model,
            longest_pause: None,
        }
    }

    /// The longest pause between two events of a stream that is in time.
    #[must_use]
    pub const fn with_longest_pause(mut self, pause: Duration) -> Self {
        self.longest_pause = Some(pause);
        self
    }

    /// The placements that are due, given the engines that are live and stay.
    #[must_use]
    pub fn plan(&self, engines: &[LayoutEngine]) -> Vec<NeededPlacement> {
        let mut draft = Draft::new(engines, self.model);
        for group in self.groups(&draft) {
            self.fill_gaps(&mut draft, &group);
            let mut holdings = Holdings::new(&draft, &group.engines);
            self.add_copies(&mut draft, &mut holdings, &group);
            self.relieve(&mut draft, &holdings, &group);
        }
        // Those of domains that don't suffice stand in for all others.
        let all = (0..engines.len()).collect();
        if let Some(all) = self.group(&draft, all) {
            let mut holdings = Holdings::new(&draft, &all.engines);
            self.add_copies(&mut draft, &mut holdings, &all);
        }
        draft.into_placements()
    }

    const fn rooms(&self) -> RoomSearch<'a> {
        RoomSearch {
            model: self.model,
            longest_pause: self.longest_pause,
        }
    }

    /// Engines as a group, if they can hold all layers.
    fn group(&self, draft: &Draft<'_>, engines: Vec<usize>) -> Option<Group> {
        let kinds = engines.iter().filter_map(|index| draft.kind(*index));
        let requests = self.rooms().best(kinds.collect())?;
        Some(Group { engines, requests })
    }

    /// Domains that suffice by themselves, and all others together.
    fn groups(&self, draft: &Draft<'_>) -> Vec<Group> {
        let mut by_domain: BTreeMap<&DomainId, Vec<usize>> = BTreeMap::new();
        for (index, engine) in draft.engines.iter().enumerate() {
            by_domain.entry(&engine.domain).or_default().push(index);
        }
        let mut groups = Vec::new();
        let mut rest = Vec::new();
        for engines in by_domain.into_values() {
            match self.group(draft, engines.clone()) {
                Some(group) => groups.push(group),
                None => rest.extend(engines),
            }
        }
        match self.group(draft, rest.clone()) {
            Some(group) => groups.push(group),
            None if groups.is_empty() => groups.push(Group {
                engines: rest,
                requests: 1.0,
            }),
            None => {}
        }
        groups
    }

    fn share(&self, draft: &Draft<'_>, index: usize, requests: f64) -> u16 {
        let kind = draft.kind(index);
        kind.map_or(0, |kind| self.rooms().share(kind, requests))
    }

    fn fill_gaps(&self, draft: &mut Draft<'_>, group: &Group) {
        while let Some(gap) = draft.first_gap(&group.engines) {
            let filled = self.candidate(draft, group).map(|index| {
                let share = self.share(draft, index, group.requests);
                (index, self.range_from(gap, share))
            });
            let filled = filled.or_else(|| {
                let widened = self.widened(draft, group, gap);
                widened.filter(|(_, layers)| layers.covers(gap))
            });
            if let Some((index, layers)) = filled {
                draft.order(index, layers, true);
                continue;
            }
            let tiles = retile(draft, &group.engines, |index| {
                self.share(draft, index, group.requests)
            });
            if let Some(tiles) = tiles {
                for (index, layers) in tiles {
                    draft.order(index, layers, true);
                }
                return;
            }
            let Some((index, layers)) = self.widened(draft, group, gap) else {
                return;
            };
            draft.order(index, layers, true);
        }
    }

    /// The best engine to fill a gap: an empty one before one that others
    /// stand in for, one that no slower one would stand in for before one that
    /// would be missed, then the fastest. Moving the fastest engine of a domain
    /// to another engine's layers only moves the slow part, and its load takes
    /// the longest. On a site whose slowest kind is a third as fast as the next
    /// and has more memory, filling by memory took twice the time a token.
    fn candidate(&self, draft: &Draft<'_>, group: &Group) -> Option<usize> {
        let free = group.engines.iter().copied();
        let free = free.filter(|index| draft.is_free(*index));
        let ranked = free.filter_map(|index| {
            let loss = draft.move_loss(&group.engines, index);
            let cost_ms = self
                .rooms()
                .layer_cost_ms(draft.kind(index)?, group.requests)?;
            (loss < MoveLoss::Layers).then_some((index, loss, cost_ms))
        });
        let best = ranked.min_by(
            |(left, left_loss, left_ms), (right, right_loss, right_ms)| {
                left_loss
                    .cmp(right_loss)
                    .then(left_ms.total_cmp(right_ms))
                    .then(left.cmp(right))
            },
        );
        best.map(|(index, _, _)| index)
    }

    /// An engine next to a gap, and its range with as much of the gap as fits
    /// beside room for one request: of these the one that keeps the most room.
    /// Less room is better than none of the layers.
    fn widened(
        &self,
        draft: &Draft<'_>,
        group: &Group,
        gap: LayerRange,
    ) -> Option<(usize, LayerRange)> {
        let free = group.engines.iter().copied();
        let free = free.filter(|index| draft.is_free(*index));
        let wider = free.filter_map(|index| {
            let own = draft.held(index)?;
            let most = self.share(draft, index, 1.0);
            let more = most.saturating_sub(own.len()).min(gap.len());
            let range = match own {
                _ if more == 0 => return None,
                own if own.end == gap.start => LayerRange {
                    start: own.start,
                    end: own.end + more,
                },
                own if own.start == gap.end => LayerRange {
                    start: own.start - more,
                    end: own.end,
                },
                _ => return None,
            };
            Some((index, range))
        });
        wider.max_by(|(left, left_range), (right, right_range)| {
            let left_tokens = draft.room_tokens(*left, *left_range);
            let right_tokens = draft.room_tokens(*right, *right_range);
            left_tokens.total_cmp(&right_tokens)
        })
    }

    /// A range of a length from where a gap starts; moved back where it would
    /// end behind the last layer.
    fn range_from(&self, gap: LayerRange, share: u16) -> LayerRange {
        let end = (gap.start + share).min(self.model.layers);
        LayerRange {
            start: end.saturating_sub(share),
            end,
        }
    }

    /// Gives empty engines layers, the fastest engine first.
    fn add_copies<'e>(&self, draft: &mut Draft<'e>, holdings: &mut Holdings<'e>, group: &Group) {
        let engines = group.engines.iter().copied();
        let mut empty: Vec<usize> = engines
            .filter(|index| draft.held(*index).is_none() && draft.is_free(*index))
            .filter(|index| self.share(draft, *index, group.requests) > 0)
            .collect();
        empty.sort_by(|left, right| {
            let [left_ms, right_ms] = [left, right].map(|index| draft.layer_step_ms(*index));
            left_ms.total_cmp(&right_ms)
        });
        for index in empty {
            let share = self.share(draft, index, group.requests);
            let layers = match self.tight_layer(holdings, group) {
                Some(tight) => self.relieving(holdings, tight, share),
                None => self.copy(draft, holdings, index, share),
            };
            holdings.add(draft, index, layers);
            draft.order(index, layers, false);
        }
    }

    /// The layer with the least room in a group, if it holds the others back.
    fn tight_layer(&self, holdings: &Holdings<'_>, group: &Group) -> Option<u16> {
        let aim = group.requests * self.model.usual_tokens();
        let (least, tokens) = holdings.tightest()?;
        (tokens < aim * TIGHT_PART).then_some(least)
    }

    /// The range of a length that has a layer in it, and otherwise those on
    /// which the group has the least room.
    fn relieving(&self, holdings: &Holdings<'_>, tight: u16, share: u16) -> LayerRange {
        let scarcity: Vec<f64> = (0..self.model.layers)
            .map(|layer| 1.0 / holdings.room_tokens(layer).max(1.0))
            .collect();
        let sum = |start: u16| -> f64 {
            let range = usize::from(start)..usize::from(start + share);
            scarcity[range].iter().sum()
        };
        let last = self.model.layers.saturating_sub(share).min(tight);
        let starts = (tight + 1).saturating_sub(share).min(last)..=last;
        let best = starts.max_by(|left, right| {
            let by_room = sum(*left).total_cmp(&sum(*right));
            by_room.then(Reverse(left).cmp(&Reverse(right)))
        });
        let start = best.unwrap_or(0);
        LayerRange {
            start,
            end: start + share,
        }
    }

    /// Moves one copy to where a lost engine's neighbours were widened until
    /// they had next to no room: a domain that held all layers with room for
    /// ten requests turned away most of its callers.
    /// Where none can be spared, the border to a neighbour is moved.
    fn relieve(&self, draft: &mut Draft<'_>, holdings: &Holdings<'_>, group: &Group) {
        let Some(tight) = self.tight_layer(holdings, group) else {
            return;
        };
        if let Some((index, layers)) = self.moved_copy(draft, holdings, group, tight) {
            draft.order(index, layers, false);
        } else if let Some((index, layers)) = balance::shift(draft, &group.engines, tight) {
            draft.order(index, layers, false);
        }
    }

    /// A copy that can be spared elsewhere, and its range around a layer.
    fn moved_copy(
        &self,
        draft: &Draft<'_>,
        holdings: &Holdings<'_>,
        group: &Group,
        tight: u16,
    ) -> Option<(usize, LayerRange)> {
        let before_tokens = holdings.room_tokens(tight);
        let copies = group.engines.iter().copied().filter(|index| {
            let holds_tight = draft.held(*index).is_some_and(|own| own.contains(tight));
            let loss = draft.move_loss(&group.engines, *index);
            draft.is_free(*index) && !holds_tight && loss == MoveLoss::Copy
        });
        // Not one whose own layers would be as tight without it.
        let spared = copies.filter(|index| {
            let Some(own) = draft.held(*index) else {
                return false;
            };
            let own_tokens = draft.room_tokens(*index, own);
            (own.start..own.end).all(|layer| {
                let left_tokens = holdings.room_tokens(layer) - own_tokens;
                left_tokens > before_tokens * 2.0
            })
        });
        let best = spared.min_by(|left, right| {
            let [left_ms, right_ms] = [left, right].map(|index| draft.layer_step_ms(*index));
            left_ms.total_cmp(&right_ms).then(left.cmp(right))
        });
        let index = best?;
        let share = self.share(draft, index, group.requests);
        (share > 0).then(|| (index, self.relieving(holdings, tight, share)))
    }

    /// The range of a length that an empty engine should hold: where it saves
    /// its domain the most time a step, and of those equal in that, where
    /// layers are held least, first in its domain, then on the whole site.
    fn copy(
        &self,
        draft: &Draft<'_>,
        holdings: &Holdings<'_>,
        own: usize,
        share: u16,
    ) -> LayerRange {
        let own_ms = draft.layer_step_ms(own);
        let engines = draft.engines.len();
        let copies: Vec<LayerCopies> = holdings.copies(&draft.engines[own].domain);
        let range = |start: u16| &copies[usize::from(start)..usize::from(start + share)];
        let saved_ms = |start: u16| -> f64 {
            let saved = range(start).iter().map(|copies| copies.saved_ms(own_ms));
            saved.sum()
        };
        let held = |start: u16| -> usize {
            let weighted = range(start).iter();
            let weighted = weighted.map(|copies| copies.in_domain * engines + copies.on_site);
            weighted.sum()
        };
        let starts = 0..=self.model.layers.saturating_sub(share);
        let best = starts.min_by(|left, right| {
            let by_time = saved_ms(*right).total_cmp(&saved_ms(*left));
            by_time.then_with(|| held(*left).cmp(&held(*right)))
        });
        let start = best.unwrap_or(0);
        LayerRange {
            start,
            end: start + share,
        }
    }
}
