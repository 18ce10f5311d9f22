//! Which engine holds which layers.
//!
//! Each failure domain whose engines suffice holds every layer by itself, so
//! that it goes on when it is cut off; the others form one group. What is
//! missing in a group is loaded first, onto engines that are empty or whose
//! layers others in the group hold too. Engines that are still empty then
//! take the layers that the whole site holds least often. Engines that hold
//! something useful are left alone: a load takes seconds and is paid for.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;

use super::ModelShape;

/// Requests that an engine should have cache for, in the order in which they
/// are tried: a domain with few engines keeps fewer requests, so that it
/// still holds every layer. The first is the peak of a domain's share at the
/// published rates (about 25 requests a second for two to three seconds), and
/// half of another one.
const CACHED_REQUESTS: [f64; 6] = [90.0, 45.0, 20.0, 10.0, 5.0, 1.0];

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
        for group in self.groups(engines) {
            self.fill_gaps(engines, &group, &mut held, &mut changed, &mut placements);
        }
        self.add_copies(engines, &mut held, &mut placements);
        placements
    }

    /// Layers that an engine takes beside the cache for a number of requests.
    fn share(&self, engine: &LayoutEngine, requests: f64) -> u16 {
        let Some(kind) = self.model.kind(&engine.kind) else {
            return 0;
        };
        let tokens = requests * self.model.usual_tokens;
        self.model.layers_beside(kind, tokens)
    }

    /// The largest cache target at which a group's engines hold all layers.
    fn target(&self, engines: &[LayoutEngine], group: &[usize]) -> Option<f64> {
        CACHED_REQUESTS.into_iter().find(|requests| {
            let sum: u32 = group
                .iter()
                .map(|index| u32::from(self.share(&engines[*index], *requests)))
                .sum();
            sum >= u32::from(self.model.layers)
        })
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
        held: &mut [Option<LayerRange>],
        changed: &mut BTreeSet<usize>,
        placements: &mut Vec<NeededPlacement>,
    ) {
        let requests = self.target(engines, group).unwrap_or(0.0);
        while let Some(gap) = first_gap(self.model.layers, group, held) {
            let candidate = self.candidate(engines, group, held, changed, requests);
            let Some(index) = candidate else {
                return;
            };
            let share = self.share(&engines[index], requests);
            let layers = self.range_from(gap, share);
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
    /// stand in for, a larger share before a smaller one.
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
                && self.share(&engines[*index], requests) > 0
                && (held[*index].is_none() || is_redundant(*index, group, held))
        });
        free.max_by_key(|index| {
            let is_empty = held[*index].is_none();
            let share = self.share(&engines[*index], requests);
            (is_empty, share, std::cmp::Reverse(*index))
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

    /// Gives empty engines the layers that are held least often.
    fn add_copies(
        &self,
        engines: &[LayoutEngine],
        held: &mut [Option<LayerRange>],
        placements: &mut Vec<NeededPlacement>,
    ) {
        for (index, engine) in engines.iter().enumerate() {
            let share = self.share(engine, CACHED_REQUESTS[0]);
            if held[index].is_some() || engine.is_busy || share == 0 {
                continue;
            }
            let layers = self.rarest(engines, engine, held, share);
            held[index] = Some(layers);
            placements.push(NeededPlacement {
                engine: engine.engine.clone(),
                layers,
                is_missing: false,
            });
        }
    }

    /// The range of a length whose layers are held least, first in the
    /// engine's own domain, then on the whole site.
    fn rarest(
        &self,
        engines: &[LayoutEngine],
        engine: &LayoutEngine,
        held: &[Option<LayerRange>],
        share: u16,
    ) -> LayerRange {
        let copies = |layer: u16, within: Option<&DomainId>| {
            let holders = engines.iter().zip(held).filter(|(other, range)| {
                within.is_none_or(|domain| other.domain == *domain)
                    && range.is_some_and(|range| range.contains(layer))
            });
            holders.count()
        };
        let scores: Vec<usize> = (0..self.model.layers)
            .map(|layer| {
                let site = copies(layer, None);
                let domain = copies(layer, Some(&engine.domain));
                domain * engines.len() + site
            })
            .collect();
        let starts = 0..=self.model.layers.saturating_sub(share);
        let best = starts.min_by_key(|start| {
            let from = usize::from(*start);
            scores[from..from + usize::from(share)]
                .iter()
                .sum::<usize>()
        });
        let start = best.unwrap_or(0);
        LayerRange {
            start,
            end: start + share,
        }
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
