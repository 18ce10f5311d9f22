//! Which engine holds which layers.
//!
//! Each failure domain whose engines suffice holds every layer by itself, so
//! that it goes on when it is cut off; the others form one group. For each
//! group the room is sought with which its fastest engines, as a chain, have
//! the most throughput for their response time: more layers an engine make
//! the chain faster, and leave less room for the requests under way.
//!
//! What is missing in a group is loaded first, onto engines that are empty or
//! whose layers others in the group hold too, the fastest first. Engines that
//! are still empty then take layers where they save the most time, or else
//! those that are held least often. Engines that hold something useful are
//! left alone: a load takes seconds and is paid for.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;

use super::AcceleratorKind;
use super::ChainStage;
use super::ModelShape;
use super::forecast;

/// Ratio between two numbers of requests that room is tried for. Room in
/// between changes no kind's number of layers by more than one.
const ROOM_STEP: f64 = 1.1;
/// The part of the most power that counts as as good. Of two rooms that are
/// equal in it the smaller one has the shorter response time, so that a lost
/// engine stops fewer requests.
const AS_GOOD: f64 = 0.95;
/// Time from one stage to the next in one failure domain: its delay, and a
/// token's activations over the engines' own links.
const HANDOVER_MS: f64 = 0.2;

/// An engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct LayoutEngine {
    /// Its name.
    pub engine: EngineId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its accelerator's kind.
    pub kind: String,
    /// The layers that it holds or is loading; `None` if it is empty.
    pub held: Option<LayerRange>,
    /// Whether an order is under way, so that it must not get another.
    pub is_busy: bool,
}

/// Layers that an engine should load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NeededPlacement {
    /// The engine.
    pub engine: EngineId,
    /// The layers.
    pub layers: LayerRange,
    /// Whether the group lacks the layers, or it is one more copy.
    pub is_missing: bool,
}

/// What a group does with room for a number of requests on each engine.
#[derive(Clone, Copy, Debug)]
struct RoomTry {
    requests: f64,
    power: f64,
    bears_a_loss: bool,
}

/// Plans what engines should load.
#[derive(Debug)]
pub struct LayoutPlanner<'a> {
    model: &'a ModelShape,
}

impl<'a> LayoutPlanner<'a> {
    /// A planner for a model.
    #[must_use]
    pub const fn new(model: &'a ModelShape) -> Self {
        Self { model }
    }

    /// The placements that are due, given the engines that are live and stay.
    #[must_use]
    pub fn plan(&self, engines: &[LayoutEngine]) -> Vec<NeededPlacement> {
        let mut held: Vec<Option<LayerRange>> = engines.iter().map(|engine| engine.held).collect();
        let mut changed = BTreeSet::new();
        let mut placements = Vec::new();
        let groups = self.groups(engines);
        for group in &groups {
            let requests = self.target(engines, group).unwrap_or(1.0);
            self.fill_gaps(
                engines,
                group,
                requests,
                &mut held,
                &mut changed,
                &mut placements,
            );
            self.add_copies(engines, group, requests, &mut held, &mut placements);
        }
        // Those of domains that don't suffice stand in for all others.
        let all: Vec<usize> = (0..engines.len()).collect();
        if let Some(requests) = self.target(engines, &all) {
            self.add_copies(engines, &all, requests, &mut held, &mut placements);
        }
        placements
    }

    /// The kind of an engine, if it can be planned with.
    fn kind(&self, engine: &LayoutEngine) -> Option<&AcceleratorKind> {
        let kind = self.model.kind(&engine.kind)?;
        self.model.is_usable(kind).then_some(kind)
    }

    /// Layers that an engine takes beside the cache for a number of requests.
    fn share(&self, engine: &LayoutEngine, requests: f64) -> u16 {
        let tokens = requests * self.model.usual_tokens();
        self.kind(engine)
            .map_or(0, |kind| self.model.layers_beside(kind, tokens))
    }

    /// Time a layer takes on a kind, its part of the handover included; none
    /// if the kind has no room for a layer.
    fn layer_cost_ms(&self, kind: &AcceleratorKind, requests: f64) -> Option<f64> {
        let tokens = requests * self.model.usual_tokens();
        let layers = self.model.layers_beside(kind, tokens);
        let pass_ms = self.model.layer_step_ms(Some(kind)) * self.model.steps_per_pass;
        (layers > 0).then(|| pass_ms + HANDOVER_MS / f64::from(layers))
    }

    /// The number of requests whose room lets a group's engines, as a chain,
    /// do best; none if they can't hold all layers even for one. Where it can
    /// be had, the engines beside the chain can stand in for its largest
    /// stage: a domain without that stays incomplete until a lost engine is
    /// back, and has its requests crowd the others.
    fn target(&self, engines: &[LayoutEngine], group: &[usize]) -> Option<f64> {
        let mut kinds: Vec<&AcceleratorKind> = group
            .iter()
            .filter_map(|index| self.kind(&engines[*index]))
            .collect();
        let tries = std::iter::successors(Some(1.0), |requests| Some(requests * ROOM_STEP));
        let tries: Vec<RoomTry> = tries
            .take_while(|requests| *requests <= self.model.max_requests.max(1.0))
            .map_while(|requests| {
                let chain = self.chain(&mut kinds, requests)?;
                Some(RoomTry {
                    requests,
                    power: forecast(self.model, &chain, requests, HANDOVER_MS).power(),
                    bears_a_loss: self.bears_a_loss(&kinds, &chain, requests),
                })
            })
            .collect();
        let needs_bearing = tries.iter().any(|room| room.bears_a_loss);
        let fit = || {
            let tries = tries.iter();
            tries.filter(|room| room.bears_a_loss || !needs_bearing)
        };
        let best = fit().map(|room| room.power).fold(0.0, f64::max);
        let as_good = fit().find(|room| room.power >= best * AS_GOOD);
        as_good.map(|room| room.requests)
    }

    /// Whether the kinds beside a chain, which are behind it in order, have
    /// room for its largest stage.
    fn bears_a_loss(
        &self,
        kinds: &[&AcceleratorKind],
        chain: &[ChainStage<'_>],
        requests: f64,
    ) -> bool {
        let tokens = requests * self.model.usual_tokens();
        let beside = kinds[chain.len()..].iter();
        let spare: u32 = beside
            .map(|kind| u32::from(self.model.layers_beside(kind, tokens)))
            .sum();
        let largest = chain.iter().map(|stage| u32::from(stage.layers)).max();
        spare >= largest.unwrap_or(0)
    }

    /// The fastest chain over engines of some kinds, each with room for a
    /// number of requests.
    fn chain<'k>(
        &self,
        kinds: &mut [&'k AcceleratorKind],
        requests: f64,
    ) -> Option<Vec<ChainStage<'k>>> {
        let cost_ms = |kind: &AcceleratorKind| self.layer_cost_ms(kind, requests);
        kinds.sort_by(|left, right| {
            let [left, right] = [left, right].map(|kind| cost_ms(kind).unwrap_or(f64::INFINITY));
            left.total_cmp(&right)
        });
        let tokens = requests * self.model.usual_tokens();
        let mut missing = self.model.layers;
        let mut stages = Vec::new();
        for kind in kinds.iter().copied() {
            let layers = self.model.layers_beside(kind, tokens).min(missing);
            if layers == 0 {
                break;
            }
            missing -= layers;
            stages.push(ChainStage { kind, layers });
        }
        (missing == 0).then_some(stages)
    }

    /// Domains that suffice by themselves, and all others together.
    fn groups(&self, engines: &[LayoutEngine]) -> Vec<Vec<usize>> {
        let mut by_domain: BTreeMap<&DomainId, Vec<usize>> = BTreeMap::new();
        for (index, engine) in engines.iter().enumerate() {
            by_domain.entry(&engine.domain).or_default().push(index);
        }
        let (mut groups, short): (Vec<_>, Vec<_>) = by_domain
            .into_values()
            .partition(|group| self.target(engines, group).is_some());
        let rest: Vec<usize> = short.into_iter().flatten().collect();
        if groups.is_empty() || self.target(engines, &rest).is_some() {
            groups.push(rest);
        }
        groups
    }

    fn fill_gaps(
        &self,
        engines: &[LayoutEngine],
        group: &[usize],
        requests: f64,
        held: &mut [Option<LayerRange>],
        changed: &mut BTreeSet<usize>,
        placements: &mut Vec<NeededPlacement>,
    ) {
        while let Some(gap) = first_gap(self.model.layers, group, held) {
            let candidate = self.candidate(engines, group, held, changed, requests);
            let filled = candidate.map(|index| {
                let share = self.share(&engines[index], requests);
                (index, self.range_from(gap, share))
            });
            let filled = filled.or_else(|| self.widened(engines, group, held, changed, gap));
            let Some((index, layers)) = filled else {
                return;
            };
            held[index] = Some(layers);
            changed.insert(index);
            placements.push(NeededPlacement {
                engine: engines[index].engine.clone(),
                layers,
                is_missing: true,
            });
        }
    }

    /// The best engine to fill a gap: an empty one before one that others
    /// stand in for, then the fastest. On a site whose slowest kind is a third
    /// as fast as the next and has more memory, filling by memory took twice
    /// the time a token.
    fn candidate(
        &self,
        engines: &[LayoutEngine],
        group: &[usize],
        held: &[Option<LayerRange>],
        changed: &BTreeSet<usize>,
        requests: f64,
    ) -> Option<usize> {
        let free = group.iter().copied().filter(|index| {
            !engines[*index].is_busy
                && !changed.contains(index)
                && (held[*index].is_none() || is_redundant(*index, group, held))
        });
        let costs = free.filter_map(|index| {
            let kind = self.kind(&engines[index])?;
            Some((index, self.layer_cost_ms(kind, requests)?))
        });
        let best = costs.min_by(|(left, left_ms), (right, right_ms)| {
            let is_taken = |index: usize| held[index].is_some();
            is_taken(*left)
                .cmp(&is_taken(*right))
                .then(left_ms.total_cmp(right_ms))
                .then(left.cmp(right))
        });
        best.map(|(index, _)| index)
    }

    /// An engine next to a gap, and its range with as much of the gap as fits
    /// beside room for one request: of these the one that keeps the most room.
    /// Less room is better than none of the layers.
    fn widened(
        &self,
        engines: &[LayoutEngine],
        group: &[usize],
        held: &[Option<LayerRange>],
        changed: &BTreeSet<usize>,
        gap: LayerRange,
    ) -> Option<(usize, LayerRange)> {
        let wider = group.iter().copied().filter_map(|index| {
            let own = held[index].filter(|_| !engines[index].is_busy)?;
            let kind = self.kind(&engines[index])?;
            let most = self.model.layers_beside(kind, self.model.usual_tokens());
            let more = most.saturating_sub(own.len()).min(gap.len());
            let range = match own {
                _ if more == 0 || changed.contains(&index) => return None,
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
            Some((index, range, self.model.cache_tokens(kind, range.len())))
        });
        let best = wider.max_by(|(_, _, left), (_, _, right)| left.total_cmp(right));
        best.map(|(index, range, _)| (index, range))
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

    /// Gives empty engines layers that they save time on, or that are held
    /// least often.
    fn add_copies(
        &self,
        engines: &[LayoutEngine],
        group: &[usize],
        requests: f64,
        held: &mut [Option<LayerRange>],
        placements: &mut Vec<NeededPlacement>,
    ) {
        let is_free = |index: &usize| {
            let engine = &engines[*index];
            held[*index].is_none() && !engine.is_busy && self.share(engine, requests) > 0
        };
        let mut empty: Vec<usize> = group.iter().copied().filter(is_free).collect();
        empty.sort_by(|left, right| {
            let [left, right] = [left, right].map(|index| self.layer_step_ms(&engines[*index]));
            left.total_cmp(&right)
        });
        for index in empty {
            let share = self.share(&engines[index], requests);
            let layers = self.copy(engines, index, held, share);
            held[index] = Some(layers);
            placements.push(NeededPlacement {
                engine: engines[index].engine.clone(),
                layers,
                is_missing: false,
            });
        }
    }

    fn layer_step_ms(&self, engine: &LayoutEngine) -> f64 {
        self.model.layer_step_ms(self.model.kind(&engine.kind))
    }

    /// The range of a length that an empty engine should hold: where it saves
    /// its domain the most time a step, and of those equal in that, where
    /// layers are held least, first in its domain, then on the whole site.
    fn copy(
        &self,
        engines: &[LayoutEngine],
        own: usize,
        held: &[Option<LayerRange>],
        share: u16,
    ) -> LayerRange {
        let own_ms = self.layer_step_ms(&engines[own]);
        let domain = &engines[own].domain;
        let worth = |layer: u16| {
            let mut copy = LayerCopies::default();
            for (engine, range) in engines.iter().zip(held) {
                if range.is_some_and(|range| range.contains(layer)) {
                    copy.add(self.layer_step_ms(engine), engine.domain == *domain);
                }
            }
            copy
        };
        let copies: Vec<LayerCopies> = (0..self.model.layers).map(worth).collect();
        let starts = 0..=self.model.layers.saturating_sub(share);
        let best = starts.min_by(|left, right| {
            let range = |start: u16| &copies[usize::from(start)..usize::from(start + share)];
            let saved_ms = |start| range(start).iter().map(|copy| copy.saved_ms(own_ms)).sum();
            let held = |start| -> usize {
                let counts = range(start).iter();
                let weighted = counts.map(|copy| copy.in_domain * engines.len() + copy.on_site);
                weighted.sum()
            };
            let [left_ms, right_ms]: [f64; 2] = [saved_ms(*left), saved_ms(*right)];
            right_ms
                .total_cmp(&left_ms)
                .then_with(|| held(*left).cmp(&held(*right)))
        });
        let start = best.unwrap_or(0);
        LayerRange {
            start,
            end: start + share,
        }
    }
}

/// Who holds a layer already.
#[derive(Clone, Copy, Debug, Default)]
struct LayerCopies {
    /// Holders on the whole site.
    on_site: usize,
    /// Holders in the domain looked at.
    in_domain: usize,
    /// Time a step takes on the fastest of these.
    fastest_ms: f64,
}

impl LayerCopies {
    fn add(&mut self, step_ms: f64, is_in_domain: bool) {
        self.on_site += 1;
        if !is_in_domain {
            return;
        }
        self.fastest_ms = if self.in_domain == 0 {
            step_ms
        } else {
            self.fastest_ms.min(step_ms)
        };
        self.in_domain += 1;
    }

    /// What a holder with a step time saves on the layer.
    fn saved_ms(&self, step_ms: f64) -> f64 {
        (self.fastest_ms - step_ms).max(0.0)
    }
}

/// The first run of layers that nobody in a group holds.
fn first_gap(layers: u16, group: &[usize], held: &[Option<LayerRange>]) -> Option<LayerRange> {
    let is_held = |layer: u16| {
        let ranges = group.iter().filter_map(|index| held[*index]);
        ranges.into_iter().any(|range| range.contains(layer))
    };
    let start = (0..layers).find(|layer| !is_held(*layer))?;
    let end = (start..layers)
        .find(|layer| is_held(*layer))
        .unwrap_or(layers);
    Some(LayerRange { start, end })
}

/// Whether others in the group hold all that an engine holds.
fn is_redundant(index: usize, group: &[usize], held: &[Option<LayerRange>]) -> bool {
    let Some(own) = held[index] else {
        return true;
    };
    (own.start..own.end).all(|layer| {
        let others = group.iter().filter(|other| **other != index);
        others
            .filter_map(|other| held[*other])
            .any(|range| range.contains(layer))
    })
}
