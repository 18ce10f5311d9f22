//! Shortest-path search over a range of layers.
//!
//! A node of the graph is a layer boundary together with the failure domain of
//! the engine before it. An engine is an edge from any boundary within its range
//! to any later one. Only boundaries at which some engine's range starts or ends
//! are nodes, since splitting elsewhere gains nothing. Nodes are visited in the
//! order of the layers, and only the cheapest path to each is stored.
//!
//! A path may use an address only once, so the search skips edges whose address the
//! path to their node already uses. It can therefore miss a path that reaches some
//! node by other engines than the cheapest ones.
//!
//! Load pattern: each attempt of a request runs a search over all engines of the site, on
//! an eighth of a core, so its cost is bounded: only the cheapest few engines of a domain
//! are kept for each pair of boundaries.

use std::collections::BTreeSet;

use rookferry_wire::DomainId;
use rookferry_wire::LayerRange;

use super::PipelineEngine;

/// Number of engines of a domain that are kept for each pair of boundaries: the
/// cheapest, and two alternatives for paths that already use it. Only a path that would
/// return three times to engines that it has left could need a fourth. A cheaper path may
/// be missed if the path to the first boundary already uses the addresses of all three.
const MAX_PARALLEL_EDGES: usize = 3;

/// What an engine adds to the cost of a path, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineCost {
    /// Once per stage.
    pub(super) stage_ms: f64,
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
pub(super) struct Segment {
    pub(super) engine: usize,
    pub(super) end: u16,
}

/// A usable engine, with the index of its domain.
#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: usize,
    domain: usize,
    cost: EngineCost,
}

/// The cheapest path found so far from the start to a node.
#[derive(Clone, Copy, Debug)]
struct BestPath {
    cost_ms: f64,
    /// Last edge of the path; `None` for the start.
    last_edge: Option<Edge>,
}

/// An engine, and the node that its edge starts from.
#[derive(Clone, Copy, Debug)]
struct Edge {
    engine: usize,
    from: usize,
}

/// Cost of an edge without the domain change, and its engine's index.
type CandidateEdge = (f64, usize);

/// State of one search.
pub(super) struct PathSearch<'a> {
    engines: &'a [&'a PipelineEngine],
    /// Layer boundaries of the graph in order, from the start of the range to its end.
    boundaries: Vec<u16>,
    /// Failure domains, sorted.
    domains: Vec<&'a DomainId>,
    /// By boundary: the engines that hold the layer after it.
    holders: Vec<Vec<Holder>>,
    /// By node, see `node`.
    best_paths: Vec<Option<BestPath>>,
    crossing: CrossingCost,
}

impl<'a> PathSearch<'a> {
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
        let boundaries = boundaries(engines, range, &usable);
        let mut domains = BTreeSet::from([home]);
        domains.extend(usable.iter().map(|index| &engines[*index].domain));
        let mut search = Self {
            engines,
            holders: vec![Vec::new(); boundaries.len()],
            best_paths: vec![None; boundaries.len() * domains.len()],
            boundaries,
            domains: domains.into_iter().collect(),
            crossing,
        };
        for index in usable {
            search.add_holder(index, cost(engines[index]));
        }
        let start = search.node(0, search.domain_index(home));
        search.best_paths[start] = Some(BestPath {
            cost_ms: 0.0,
            last_edge: None,
        });
        search
    }

    fn add_holder(&mut self, engine: usize, cost: EngineCost) {
        let PipelineEngine { domain, held, .. } = self.engines[engine];
        let holder = Holder {
            engine,
            domain: self.domain_index(domain),
            cost,
        };
        let first = self
            .boundaries
            .partition_point(|boundary| *boundary < held.start);
        let end = self
            .boundaries
            .partition_point(|boundary| *boundary < held.end);
        for holders in &mut self.holders[first..end.max(first)] {
            holders.push(holder);
        }
    }

    /// The stages of the cheapest path through the range; `None` if there is none.
    pub(super) fn cheapest(mut self) -> Option<Vec<Segment>> {
        let last = self.boundaries.len().saturating_sub(1);
        for boundary in 0..last {
            self.relax(boundary);
        }
        let end_nodes = self.nodes_at(last);
        let end_nodes = end_nodes.filter_map(|node| Some((node, self.best_paths[node]?.cost_ms)));
        let (best, _) = end_nodes.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
        Some(self.segments(best))
    }

    /// Relaxes the edges from a boundary: those of the engines that hold the next layer.
    fn relax(&mut self, boundary: usize) {
        if self
            .nodes_at(boundary)
            .all(|node| self.best_paths[node].is_none())
        {
            return;
        }
        let candidate_edges = self.candidate_edges(boundary);
        for from in self.nodes_at(boundary) {
            let Some(state) = self.best_paths[from] else {
                continue;
            };
            for (offset, parallel_edges) in candidate_edges.iter().enumerate() {
                let to_domain = offset % self.domains.len();
                let to = self.node(boundary + 1, 0) + offset;
                let kept_edges = parallel_edges.iter().flatten();
                let edge = kept_edges
                    .copied()
                    .find(|(_, engine)| !self.uses(from, *engine));
                let Some((edge_ms, engine)) = edge else {
                    continue;
                };
                let crossing_cost_ms =
                    self.crossing_cost_ms(boundary, from % self.domains.len(), to_domain);
                let cost_ms = state.cost_ms + crossing_cost_ms + edge_ms;
                if self.best_paths[to].is_none_or(|best| cost_ms < best.cost_ms) {
                    let last_edge = Some(Edge { engine, from });
                    self.best_paths[to] = Some(BestPath { cost_ms, last_edge });
                }
            }
        }
    }

    /// The cheapest edges from a boundary to each node after it, by the node's offset
    /// from the first node of the next boundary.
    fn candidate_edges(&self, boundary: usize) -> Vec<[Option<CandidateEdge>; MAX_PARALLEL_EDGES]> {
        let position = self.boundaries[boundary];
        let later = &self.boundaries[boundary + 1..];
        let mut candidate_edges =
            vec![[None; MAX_PARALLEL_EDGES]; later.len() * self.domains.len()];
        for holder in &self.holders[boundary] {
            let end = self.engines[holder.engine].held.end;
            let within = later.iter().take_while(|boundary| **boundary <= end);
            for (ahead, boundary) in within.enumerate() {
                let layers = f64::from(boundary - position);
                let cost_ms = holder.cost.stage_ms + layers * holder.cost.layer_ms;
                let offset = ahead * self.domains.len() + holder.domain;
                insert_cheapest(&mut candidate_edges[offset], (cost_ms, holder.engine));
            }
        }
        candidate_edges
    }

    fn crossing_cost_ms(&self, boundary: usize, from: usize, to: usize) -> f64 {
        if from == to {
            return 0.0;
        }
        self.crossing.before(self.boundaries[boundary])
    }

    /// Whether the path to a node uses the address of an engine, by this or another
    /// incarnation: engines accept no path that has an address twice.
    fn uses(&self, node: usize, engine: usize) -> bool {
        let addr = self.engines[engine].addr();
        self.edges_to(node)
            .any(|edge| self.engines[edge.engine].addr() == addr)
    }

    /// The edges of the path to a node, last one first.
    fn edges_to(&self, node: usize) -> impl Iterator<Item = Edge> {
        let last_edge = |node: usize| self.best_paths[node].and_then(|best| best.last_edge);
        std::iter::successors(last_edge(node), move |edge| last_edge(edge.from))
    }

    fn segments(&self, node: usize) -> Vec<Segment> {
        let mut end = node;
        let segments = self.edges_to(node).map(|edge| {
            let ended = std::mem::replace(&mut end, edge.from);
            Segment {
                engine: edge.engine,
                end: self.boundaries[ended / self.domains.len()],
            }
        });
        let mut segments: Vec<Segment> = segments.collect();
        segments.reverse();
        segments
    }

    /// Index of the node of a boundary and a domain.
    fn node(&self, boundary: usize, domain: usize) -> usize {
        boundary * self.domains.len() + domain
    }

    fn nodes_at(&self, boundary: usize) -> std::ops::Range<usize> {
        self.node(boundary, 0)..self.node(boundary + 1, 0)
    }

    fn domain_index(&self, domain: &DomainId) -> usize {
        self.domains.partition_point(|known| *known < domain)
    }
}

/// Boundaries at which the layers of usable engines start or end, clamped to a range.
fn boundaries(engines: &[&PipelineEngine], range: LayerRange, usable: &[usize]) -> Vec<u16> {
    let mut boundaries = vec![range.start, range.end];
    for index in usable {
        let held = engines[*index].held;
        boundaries.push(held.start.clamp(range.start, range.end));
        boundaries.push(held.end.clamp(range.start, range.end));
    }
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}

/// Inserts an edge if it is among the cheapest; of equal ones the earlier stays first.
fn insert_cheapest(
    parallel_edges: &mut [Option<CandidateEdge>; MAX_PARALLEL_EDGES],
    edge: CandidateEdge,
) {
    let is_cheaper = |known: &Option<CandidateEdge>| known.is_none_or(|known| edge.0 < known.0);
    let Some(position) = parallel_edges.iter().position(is_cheaper) else {
        return;
    };
    parallel_edges[position..].rotate_right(1);
    parallel_edges[position] = Some(edge);
}
