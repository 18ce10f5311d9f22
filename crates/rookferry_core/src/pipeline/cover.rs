//! The cheapest way through a range of layers.
//!
//! Positions between layers and failure domains are the nodes; an engine leads
//! from any position within its range to a later one. Only positions at which
//! some engine's range starts or ends are looked at, since cutting elsewhere
//! gains nothing.
//!
//! Load pattern: each try of each request searches, over all engines of the
//! site, on an eighth of a core. Of the engines of a domain that lead from one
//! position to another only the cheapest few are gone on with.

use std::collections::BTreeSet;

use rookferry_wire::DomainId;
use rookferry_wire::LayerRange;

use super::PipelineEngine;

/// Engines kept of those that lead from one position to another in a domain:
/// the cheapest, and two that stand in where a path has used it already. A path
/// that could need more goes back to an engine that it left three times.
const KEPT: usize = 3;

/// What an engine adds to a path's expected time a token.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineCost {
    /// Once, for taking it in.
    pub(super) entry_ms: f64,
    /// For each layer that it runs.
    pub(super) layer_ms: f64,
}

/// What a path pays to go from one failure domain to another.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrossingCost {
    /// Before the first layer.
    pub(super) first_ms: f64,
    /// Between two layers.
    pub(super) later_ms: f64,
}

impl CrossingCost {
    /// The cost where the next layer is at a position.
    pub(super) const fn before(&self, position: u16) -> f64 {
        if position == 0 {
            self.first_ms
        } else {
            self.later_ms
        }
    }
}

/// A part of a way: an engine's place in the list, and the layer its part ends
/// at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Part {
    pub(super) engine: usize,
    pub(super) end: u16,
}

/// One engine of the search.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    engine: usize,
    domain: usize,
    cost: EngineCost,
}

/// The best way to a node so far.
#[derive(Clone, Copy, Debug)]
struct Reached {
    cost_ms: f64,
    /// Its last part; none where the search starts.
    last: Option<Link>,
}

/// An engine, and the node that it leads from.
#[derive(Clone, Copy, Debug)]
struct Link {
    engine: usize,
    from: usize,
}

/// An engine that leads to a position, and its cost without a crossing.
type Step = (f64, usize);

/// A search over the engines that may be used.
pub(super) struct Cover<'a> {
    engines: &'a [&'a PipelineEngine],
    /// Positions that are looked at, in order: the first layer of the range to
    /// the end of its last.
    cuts: Vec<u16>,
    /// Failure domains, in order.
    domains: Vec<&'a DomainId>,
    /// Engines that hold the layer behind each cut, in order.
    holders: Vec<Vec<Candidate>>,
    /// By cut and domain.
    reached: Vec<Option<Reached>>,
    crossing: CrossingCost,
}

impl<'a> Cover<'a> {
    /// A search from a domain over those engines that `is_usable`.
    pub(super) fn new(
        engines: &'a [&'a PipelineEngine],
        range: LayerRange,
        home: &'a DomainId,
        crossing: CrossingCost,
        is_usable: impl Fn(usize, &PipelineEngine) -> bool,
        cost: impl Fn(&PipelineEngine) -> EngineCost,
    ) -> Self {
        let usable: Vec<usize> = (0..engines.len())
            .filter(|index| is_usable(*index, engines[*index]))
            .collect();
        let cuts = cuts(engines, range, &usable);
        let mut domains = BTreeSet::from([home]);
        domains.extend(usable.iter().map(|index| &engines[*index].domain));
        let mut cover = Self {
            engines,
            holders: vec![Vec::new(); cuts.len()],
            reached: vec![None; cuts.len() * domains.len()],
            cuts,
            domains: domains.into_iter().collect(),
            crossing,
        };
        for index in usable {
            cover.add_holder(index, cost(engines[index]));
        }
        let start = cover.node(0, cover.domain_place(home));
        cover.reached[start] = Some(Reached {
            cost_ms: 0.0,
            last: None,
        });
        cover
    }

    fn add_holder(&mut self, engine: usize, cost: EngineCost) {
        let PipelineEngine { domain, held, .. } = self.engines[engine];
        let candidate = Candidate {
            engine,
            domain: self.domain_place(domain),
            cost,
        };
        let first = self.cuts.partition_point(|cut| *cut < held.start);
        let behind = self.cuts.partition_point(|cut| *cut < held.end);
        for holders in &mut self.holders[first..behind.max(first)] {
            holders.push(candidate);
        }
    }

    /// The parts of the cheapest way through the range.
    pub(super) fn cheapest(mut self) -> Option<Vec<Part>> {
        let last = self.cuts.len().saturating_sub(1);
        for cut in 0..last {
            self.extend(cut);
        }
        let ends = self.nodes_at(last);
        let ends = ends.filter_map(|node| Some((node, self.reached[node]?.cost_ms)));
        let (best, _) = ends.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
        Some(self.parts(best))
    }

    /// Goes on from a position by the engines that hold the next layer.
    fn extend(&mut self, cut: usize) {
        if self.nodes_at(cut).all(|node| self.reached[node].is_none()) {
            return;
        }
        let steps = self.steps(cut);
        for from in self.nodes_at(cut) {
            let Some(state) = self.reached[from] else {
                continue;
            };
            for (place, kept) in steps.iter().enumerate() {
                let to_domain = place % self.domains.len();
                let to = self.node(cut + 1, 0) + place;
                let unused = kept.iter().flatten();
                let step = unused
                    .copied()
                    .find(|(_, engine)| !self.uses(from, *engine));
                let Some((step_ms, engine)) = step else {
                    continue;
                };
                let crossing_ms = self.crossing_ms(cut, from % self.domains.len(), to_domain);
                let cost_ms = state.cost_ms + crossing_ms + step_ms;
                if self.reached[to].is_none_or(|best| cost_ms < best.cost_ms) {
                    let last = Some(Link { engine, from });
                    self.reached[to] = Some(Reached { cost_ms, last });
                }
            }
        }
    }

    /// The cheapest engines from a position to each later node.
    fn steps(&self, cut: usize) -> Vec<[Option<Step>; KEPT]> {
        let position = self.cuts[cut];
        let later = &self.cuts[cut + 1..];
        let mut steps = vec![[None; KEPT]; later.len() * self.domains.len()];
        for candidate in &self.holders[cut] {
            let end = self.engines[candidate.engine].held.end;
            let within = later.iter().take_while(|cut| **cut <= end);
            for (ahead, cut) in within.enumerate() {
                let layers = f64::from(cut - position);
                let cost_ms = candidate.cost.entry_ms + layers * candidate.cost.layer_ms;
                let place = ahead * self.domains.len() + candidate.domain;
                keep(&mut steps[place], (cost_ms, candidate.engine));
            }
        }
        steps
    }

    fn crossing_ms(&self, cut: usize, from: usize, to: usize) -> f64 {
        if from == to {
            return 0.0;
        }
        self.crossing.before(self.cuts[cut])
    }

    /// Whether the way to a node uses an engine, or another start at its
    /// address: engines take no path that names an address twice.
    fn uses(&self, node: usize, engine: usize) -> bool {
        let addr = self.engines[engine].addr();
        self.way_back(node)
            .any(|link| self.engines[link.engine].addr() == addr)
    }

    /// The way to a node, its last part first.
    fn way_back(&self, node: usize) -> impl Iterator<Item = Link> {
        let last = |node: usize| self.reached[node].and_then(|reached| reached.last);
        std::iter::successors(last(node), move |link| last(link.from))
    }

    fn parts(&self, node: usize) -> Vec<Part> {
        let mut end = node;
        let parts = self.way_back(node).map(|link| {
            let ended = std::mem::replace(&mut end, link.from);
            Part {
                engine: link.engine,
                end: self.cuts[ended / self.domains.len()],
            }
        });
        let mut parts: Vec<Part> = parts.collect();
        parts.reverse();
        parts
    }

    fn node(&self, cut: usize, domain: usize) -> usize {
        cut * self.domains.len() + domain
    }

    fn nodes_at(&self, cut: usize) -> std::ops::Range<usize> {
        self.node(cut, 0)..self.node(cut + 1, 0)
    }

    fn domain_place(&self, domain: &DomainId) -> usize {
        self.domains.partition_point(|known| *known < domain)
    }
}

/// Where ranges start or end, within a range.
fn cuts(engines: &[&PipelineEngine], range: LayerRange, usable: &[usize]) -> Vec<u16> {
    let mut cuts = vec![range.start, range.end];
    for index in usable {
        let held = engines[*index].held;
        cuts.push(held.start.clamp(range.start, range.end));
        cuts.push(held.end.clamp(range.start, range.end));
    }
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// Keeps a step among the cheapest; of equal ones the earlier.
fn keep(kept: &mut [Option<Step>; KEPT], step: Step) {
    let is_cheaper = |known: &Option<Step>| known.is_none_or(|known| step.0 < known.0);
    let Some(place) = kept.iter().position(is_cheaper) else {
        return;
    };
    kept[place..].rotate_right(1);
    kept[place] = Some(step);
}
