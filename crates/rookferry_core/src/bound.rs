//! Upper bound on the throughput of a pool: the maximum flow of tokens over its layer
//! graph, given the rate of each engine.
//!
//! Experiments compare the measured throughput with it.

use std::collections::BTreeMap;

use petgraph::algo::ford_fulkerson;
use petgraph::graph::DiGraph;
use petgraph::graph::NodeIndex;
use rookferry_wire::LayerRange;

/// An engine and its maximum rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RatedEngine {
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Tokens per second that it can pass through them, its link included.
    pub tokens_per_s: u64,
}

/// Maximum tokens per second that the engines can generate together; 0 if they form no
/// chain over all layers.
///
/// ```
/// use rookferry_core::RatedEngine;
/// use rookferry_core::throughput_bound;
/// use rookferry_wire::LayerRange;
///
/// let engine = |start, end, tokens_per_s| RatedEngine {
///     layers: LayerRange { start, end },
///     tokens_per_s,
/// };
/// let engines = [engine(0, 4, 100), engine(4, 8, 60), engine(4, 8, 70)];
/// assert_eq!(throughput_bound(8, &engines), 100);
/// ```
#[must_use]
pub fn throughput_bound(layers: u16, engines: &[RatedEngine]) -> u64 {
    let mut graph: DiGraph<(), u64> = DiGraph::new();
    let nodes: Vec<NodeIndex> = (0..=layers).map(|_| graph.add_node(())).collect();
    for (range, rate) in rates_by_layers(engines) {
        let start = usize::from(range.start);
        let end = usize::from(range.end);
        if range.is_empty() || end >= nodes.len() {
            continue;
        }
        graph.add_edge(nodes[start], nodes[end], rate);
    }
    let (flow, _) = ford_fulkerson(&graph, nodes[0], nodes[usize::from(layers)]);
    flow
}

/// Summed rate per layer range; engines with the same range form one edge.
fn rates_by_layers(engines: &[RatedEngine]) -> BTreeMap<LayerRange, u64> {
    let mut rates = BTreeMap::new();
    for engine in engines {
        *rates.entry(engine.layers).or_default() += engine.tokens_per_s;
    }
    rates
}
