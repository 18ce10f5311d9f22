//! Shortest-path search over a range of layers.
//!
//! A node of the graph is a layer boundary together with the failure domain of
//! the engine before it. An engine is an edge from any boundary within its range
//! to any later one. Only boundaries at which some engine's range starts or ends
//! are nodes, since splitting elsewhere gains nothing. Nodes are visited in the
//! order of the layers, and each keeps its cheapest path only.
//!
//! A path may use an address only once, so the search skips edges whose address the
//! path to their node already uses. It may therefore miss a path whose start is a
//! more expensive one to that node.
//!
//! Load pattern: every try of every request runs a search over all engines of
//! the site, on an eighth of a core. To bound its time, only the cheapest few
//! engines of a domain are kept for each pair of boundaries.

use std::collections::BTreeSet;

use rookferry_wire::DomainId;
use rookferry_wire::LayerRange;

use super::PipelineEngine;

/// Number of engines of a domain that are kept for each pair of boundaries: the
/// cheapest, and two alternatives for paths that already use it. Only a path that
/// returns three times to an engine that it left could need more.
const KEPT: usize = 3;

/// What an engine adds to the cost of a path, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineCost {
    /// Once per stage.
    pub(super) entry_ms: f64,
    /// Per layer that it runs.
    pub(super) layer_ms: f64,
}

/// What a change of the failure domain adds to the cost of a path, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrossingCost {
    /// Before the first layer.
    pub(super) first_ms: f64,
    /// Between two layers.
    pub(super) later_ms: f64,
}

impl CrossingCost {
    /// The cost of a change right before the layer at `position`.
    pub(super) const fn before(&self, position: u16) -> f64 {
        if position == 0 {
            self.first_ms
        } else {
            self.later_ms
        }
    }
}

/// One stage of a search result: the engine's index in the list, and the end of its
/// layers, exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Part {
    pub(super) engine: usize,
    pub(super) end: u16,
}

/// A usable engine, with the index of its domain.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    engine: usize,
    domain: usize,
    cost: EngineCost,
}

/// The cheapest path found so far from the start to a node.
#[derive(Clone, Copy, Debug)]
struct Reached {
    cost_ms: f64,
    /// Last edge of the path; `None` for the start.
    last: Option<Link>,
}

/// An engine, and the node that its edge starts from.
#[derive(Clone, Copy, Debug)]
struct Link {
    engine: usize,
    from: usize,
}

/// Cost of an edge without the domain change, and its engine's index.
type Step = (f64, usize);

/// State of one search.
pub(super) struct Cover<'a> {
    engines: &'a [&'a PipelineEngine],
    /// Layer boundaries of the graph in order, from the start of the range to its end.
    cuts: Vec<u16>,
    /// Failure domains, sorted.
    domains: Vec<&'a DomainId>,
    /// By boundary: the engines that hold the layer after it.
    holders: Vec<Vec<Candidate>>,
    /// By node, see `node`.
    reached: Vec<Option<Reached>>,
    crossing: CrossingCost,
}

impl<'a> Cover<'a> {
    /// Creates a search that starts in the domain `home` and uses the engines for
    /// which `is_usable`, called with an index and its engine, returns true.
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

    /// The stages of the cheapest path through the range; `None` if there is none.
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

    /// Relaxes the edges from a boundary: those of the engines that hold the next layer.
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

    /// The cheapest edges from a boundary to each node after it, by the node's offset
    /// from the first node of the next boundary.
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

    /// Whether the path to a node uses the address of an engine, by this or another
    /// incarnation: engines accept no path that has an address twice.
    fn uses(&self, node: usize, engine: usize) -> bool {
        let addr = self.engines[engine].addr();
        self.way_back(node)
            .any(|link| self.engines[link.engine].addr() == addr)
    }

    /// The edges of the path to a node, last one first.
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

    /// Index of the node of a boundary and a domain.
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

/// Boundaries at which the layers of usable engines start or end, clamped to a range.
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

/// Inserts an edge if it is among the cheapest; of equal ones the earlier stays first.
fn keep(kept: &mut [Option<Step>; KEPT], step: Step) {
    let is_cheaper = |known: &Option<Step>| known.is_none_or(|known| step.0 < known.0);
    let Some(place) = kept.iter().position(is_cheaper) else {
        return;
    };
    kept[place..].rotate_right(1);
    kept[place] = Some(step);
}
