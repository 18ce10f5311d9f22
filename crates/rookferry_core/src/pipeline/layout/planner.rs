//! Planner for the layers that engines should load.
//!
//! Each step changes a draft of the layout, on which the next step builds. An
//! engine gets one order per plan at most.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rookferry_wire::DomainId;
use rookferry_wire::LayerRange;

use super::super::ModelShape;
use super::LayoutEngine;
use super::NeededPlacement;
use super::balance;
use super::capacity::CapacitySearch;
use super::draft::Draft;
use super::draft::MoveLoss;
use super::holdings::Holdings;
use super::holdings::LayerCopies;
use super::retile::retile;

/// Fraction of a group's target cache below which a layer limits the throughput of the
/// whole group, so that moving a copy there is worth a load.
const BOTTLENECK_FRACTION: f64 = 0.5;

/// Plans which layers engines should load.
#[derive(Debug)]
pub struct LayoutPlanner<'a> {
    model: &'a ModelShape,
    longest_pause: Option<Duration>,
}

/// Engines that together hold all layers.
#[derive(Debug)]
struct Group {
    engines: Vec<usize>,
    /// Number of requests that each of them reserves cache for.
    requests: f64,
}

impl<'a> LayoutPlanner<'a> {
    /// Creates a planner for a model, without a limit on pauses.
    #[must_use]
    pub const fn new(model: &'a ModelShape) -> Self {
        Self {
            model,
            longest_pause: None,
        }
    }

    /// Sets the longest pause between two events of a stream that meets the objective.
    #[must_use]
    pub const fn with_longest_pause(mut self, pause: Duration) -> Self {
        self.longest_pause = Some(pause);
        self
    }

    /// The loads that are needed. `engines` are all that are live and not leaving.
    #[must_use]
    pub fn plan(&self, engines: &[LayoutEngine]) -> Vec<NeededPlacement> {
        let mut draft = Draft::new(engines, self.model);
        for group in self.groups(&draft) {
            self.fill_gaps(&mut draft, &group);
            let mut holdings = Holdings::new(&draft, &group.engines);
            self.add_copies(&mut draft, &mut holdings, &group);
            self.relieve_bottleneck(&mut draft, &holdings, &group);
        }
        // Engines that are still empty, such as those of domains that can't hold all
        // layers, get copies for the whole site.
        let all = (0..engines.len()).collect();
        if let Some(all) = self.group(&draft, all) {
            let mut holdings = Holdings::new(&draft, &all.engines);
            self.add_copies(&mut draft, &mut holdings, &all);
        }
        draft.into_placements()
    }

    const fn capacity_search(&self) -> CapacitySearch<'a> {
        CapacitySearch {
            model: self.model,
            longest_pause: self.longest_pause,
        }
    }

    /// Makes engines a group; `None` if they can't hold all layers.
    fn group(&self, draft: &Draft<'_>, engines: Vec<usize>) -> Option<Group> {
        let kinds = engines.iter().filter_map(|index| draft.kind(*index));
        let requests = self.capacity_search().best_requests(kinds.collect())?;
        Some(Group { engines, requests })
    }

    /// The domains that can hold all layers by themselves, and all others together.
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

    /// Number of layers that fit on an engine beside the cache of `requests` requests.
    fn layer_count(&self, draft: &Draft<'_>, index: usize, requests: f64) -> u16 {
        let kind = draft.kind(index);
        kind.map_or(0, |kind| self.capacity_search().layer_count(kind, requests))
    }

    /// Assigns the layers that no engine of a group holds, as far as engines are free.
    fn fill_gaps(&self, draft: &mut Draft<'_>, group: &Group) {
        while let Some(gap) = draft.first_gap(&group.engines) {
            let filled = self.gap_filler(draft, group).map(|index| {
                let layer_count = self.layer_count(draft, index, group.requests);
                (index, self.range_from(gap, layer_count))
            });
            let filled = filled.or_else(|| {
                let extension = self.extension(draft, group, gap);
                extension.filter(|(_, layers)| layers.covers(gap))
            });
            if let Some((index, layers)) = filled {
                draft.add_order(index, layers, true);
                continue;
            }
            let tiles = retile(draft, &group.engines, |index| {
                self.layer_count(draft, index, group.requests)
            });
            if let Some(tiles) = tiles {
                for (index, layers) in tiles {
                    draft.add_order(index, layers, true);
                }
                return;
            }
            let Some((index, layers)) = self.extension(draft, group, gap) else {
                return;
            };
            draft.add_order(index, layers, true);
        }
    }

    /// The best engine to fill a gap; `None` if each free one is the only holder of some
    /// layer.
    ///
    /// Prefers an empty engine, then one whose layers are held by others at least as
    /// fast, then one whose layers only slower ones hold; of these the fastest. Moving
    /// the fastest engine of a domain to other layers would leave its own layers to
    /// slower engines, and its load takes the longest. Choosing by memory instead took
    /// twice the time per token on a site whose slowest kind is a third as fast as the
    /// next and has more memory.
    fn gap_filler(&self, draft: &Draft<'_>, group: &Group) -> Option<usize> {
        let free = group.engines.iter().copied();
        let free = free.filter(|index| draft.is_free(*index));
        let ranked = free.filter_map(|index| {
            let loss = draft.move_loss(&group.engines, index);
            let cost_ms = self
                .capacity_search()
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

    /// An engine next to a gap, and its range extended by as much of the gap as fits
    /// beside the cache of one request. Of several, the one that keeps the most cache.
    /// Little cache is better than layers that no engine holds.
    fn extension(
        &self,
        draft: &Draft<'_>,
        group: &Group,
        gap: LayerRange,
    ) -> Option<(usize, LayerRange)> {
        let free = group.engines.iter().copied();
        let free = free.filter(|index| draft.is_free(*index));
        let extensions = free.filter_map(|index| {
            let own = draft.held(index)?;
            let most = self.layer_count(draft, index, 1.0);
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
        extensions.max_by(|(left, left_range), (right, right_range)| {
            let left_tokens = draft.cache_tokens(*left, *left_range);
            let right_tokens = draft.cache_tokens(*right, *right_range);
            left_tokens.total_cmp(&right_tokens)
        })
    }

    /// A range of `layer_count` layers from the start of a gap, moved back if it would
    /// end after the model's last layer.
    fn range_from(&self, gap: LayerRange, layer_count: u16) -> LayerRange {
        let end = (gap.start + layer_count).min(self.model.layers);
        LayerRange {
            start: end.saturating_sub(layer_count),
            end,
        }
    }

    /// Assigns layers to empty engines, the fastest engine first.
    fn add_copies<'e>(&self, draft: &mut Draft<'e>, holdings: &mut Holdings<'e>, group: &Group) {
        let engines = group.engines.iter().copied();
        let mut empty: Vec<usize> = engines
            .filter(|index| draft.held(*index).is_none() && draft.is_free(*index))
            .filter(|index| self.layer_count(draft, *index, group.requests) > 0)
            .collect();
        empty.sort_by(|left, right| {
            let [left_ms, right_ms] = [left, right].map(|index| draft.layer_step_ms(*index));
            left_ms.total_cmp(&right_ms)
        });
        for index in empty {
            let layer_count = self.layer_count(draft, index, group.requests);
            let layers = match self.bottleneck_layer(holdings, group) {
                Some(bottleneck) => self.relief_range(holdings, bottleneck, layer_count),
                None => self.copy_range(draft, holdings, index, layer_count),
            };
            holdings.add(draft, index, layers);
            draft.add_order(index, layers, false);
        }
    }

    /// The layer with the least cache in a group, if it limits the group.
    fn bottleneck_layer(&self, holdings: &Holdings<'_>, group: &Group) -> Option<u16> {
        let target_tokens = group.requests * self.model.mean_request_tokens();
        let (least, tokens) = holdings.least_cached_layer()?;
        (tokens < target_tokens * BOTTLENECK_FRACTION).then_some(least)
    }

    /// The range of `layer_count` layers that contains the layer `bottleneck` and
    /// otherwise the layers for which the group has the least cache.
    fn relief_range(
        &self,
        holdings: &Holdings<'_>,
        bottleneck: u16,
        layer_count: u16,
    ) -> LayerRange {
        let scarcity: Vec<f64> = (0..self.model.layers)
            .map(|layer| 1.0 / holdings.cache_tokens(layer).max(1.0))
            .collect();
        let sum = |start: u16| -> f64 {
            let range = usize::from(start)..usize::from(start + layer_count);
            scarcity[range].iter().sum()
        };
        let last = self
            .model
            .layers
            .saturating_sub(layer_count)
            .min(bottleneck);
        let starts = (bottleneck + 1).saturating_sub(layer_count).min(last)..=last;
        let best = starts.max_by(|left, right| {
            let by_cache = sum(*left).total_cmp(&sum(*right));
            by_cache.then(Reverse(left).cmp(&Reverse(right)))
        });
        let start = best.unwrap_or(0);
        LayerRange {
            start,
            end: start + layer_count,
        }
    }

    /// Moves one copy to the layer that limits the group, or shifts the boundary to a
    /// neighbour if no copy can be spared. After a loss, the neighbours of the lost
    /// engine hold more layers and have hardly any cache left: a domain that held all
    /// layers, with cache for ten requests, refused most of its callers.
    fn relieve_bottleneck(&self, draft: &mut Draft<'_>, holdings: &Holdings<'_>, group: &Group) {
        let Some(bottleneck) = self.bottleneck_layer(holdings, group) else {
            return;
        };
        if let Some((index, layers)) = self.movable_copy(draft, holdings, group, bottleneck) {
            draft.add_order(index, layers, false);
        } else if let Some((index, layers)) =
            balance::shift_boundary(draft, &group.engines, bottleneck)
        {
            draft.add_order(index, layers, false);
        }
    }

    /// The fastest engine whose copy can be spared, and its new range around the layer
    /// `bottleneck`.
    fn movable_copy(
        &self,
        draft: &Draft<'_>,
        holdings: &Holdings<'_>,
        group: &Group,
        bottleneck: u16,
    ) -> Option<(usize, LayerRange)> {
        let before_tokens = holdings.cache_tokens(bottleneck);
        let copies = group.engines.iter().copied().filter(|index| {
            let holds_bottleneck = draft
                .held(*index)
                .is_some_and(|own| own.contains(bottleneck));
            let loss = draft.move_loss(&group.engines, *index);
            draft.is_free(*index) && !holds_bottleneck && loss == MoveLoss::Copy
        });
        // Excludes copies whose own layers would have little cache left without them.
        let spared = copies.filter(|index| {
            let Some(own) = draft.held(*index) else {
                return false;
            };
            let own_tokens = draft.cache_tokens(*index, own);
            (own.start..own.end).all(|layer| {
                let left_tokens = holdings.cache_tokens(layer) - own_tokens;
                left_tokens > before_tokens * 2.0
            })
        });
        let best = spared.min_by(|left, right| {
            let [left_ms, right_ms] = [left, right].map(|index| draft.layer_step_ms(*index));
            left_ms.total_cmp(&right_ms).then(left.cmp(right))
        });
        let index = best?;
        let layer_count = self.layer_count(draft, index, group.requests);
        (layer_count > 0).then(|| (index, self.relief_range(holdings, bottleneck, layer_count)))
    }

    /// The range of `layer_count` layers that an empty engine should hold: the one that
    /// saves its domain the most time per step; of equal ones, that with the fewest
    /// copies, in its domain first, then on the whole site.
    fn copy_range(
        &self,
        draft: &Draft<'_>,
        holdings: &Holdings<'_>,
        index: usize,
        layer_count: u16,
    ) -> LayerRange {
        let own_ms = draft.layer_step_ms(index);
        let engines = draft.engines.len();
        let copies: Vec<LayerCopies> = holdings.copies(&draft.engines[index].domain);
        let range = |start: u16| &copies[usize::from(start)..usize::from(start + layer_count)];
        let saved_ms = |start: u16| -> f64 {
            let saved = range(start).iter().map(|copies| copies.saved_ms(own_ms));
            saved.sum()
        };
        let held = |start: u16| -> usize {
            let weighted = range(start).iter();
            let weighted = weighted.map(|copies| copies.in_domain * engines + copies.on_site);
            weighted.sum()
        };
        let starts = 0..=self.model.layers.saturating_sub(layer_count);
        let best = starts.min_by(|left, right| {
            let by_time = saved_ms(*right).total_cmp(&saved_ms(*left));
            by_time.then_with(|| held(*left).cmp(&held(*right)))
        });
        let start = best.unwrap_or(0);
        LayerRange {
            start,
            end: start + layer_count,
        }
    }
}
