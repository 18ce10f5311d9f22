//! The layer graph of a pool and model.
//!
//! Its nodes are the boundaries between layers, its edges the engines, each from the
//! start of its layer range to the end.

use std::collections::BTreeMap;

use rookferry_wire::LayerRange;

use super::Engine;
use super::EngineState;

/// The engines of one pool and model, by the first layer of their range.
///
/// Engines are given as indices into the fleet's list.
#[derive(Clone, Debug, Default)]
pub struct LayerGraph {
    layers: u16,
    by_start: BTreeMap<u16, Vec<usize>>,
}

impl LayerGraph {
    /// Builds the graph from the engines at the indices `members`; ranges that are empty
    /// or exceed the model are skipped.
    #[must_use]
    pub fn new(layers: u16, engines: &[Engine], members: impl IntoIterator<Item = usize>) -> Self {
        let mut by_start: BTreeMap<u16, Vec<usize>> = BTreeMap::new();
        for index in members {
            let range = engines[index].info.layers;
            if range.is_empty() || range.end > layers {
                continue;
            }
            by_start.entry(range.start).or_default().push(index);
        }
        Self { layers, by_start }
    }

    /// Number of the model's layers.
    #[must_use]
    pub const fn layers(&self) -> u16 {
        self.layers
    }

    /// The range of all layers.
    #[must_use]
    pub const fn all_layers(&self) -> LayerRange {
        LayerRange {
            start: 0,
            end: self.layers,
        }
    }

    /// Indices of the engines whose range starts at a layer.
    #[must_use]
    pub fn starting_at(&self, layer: u16) -> &[usize] {
        self.by_start.get(&layer).map_or(&[], Vec::as_slice)
    }

    /// Indices of all engines in the graph, by first layer.
    pub fn engines(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_start.values().flatten().copied()
    }

    /// Whether live engines form a chain over all layers.
    #[must_use]
    pub fn is_covered(&self, engines: &[Engine]) -> bool {
        let mut reached = vec![false; usize::from(self.layers) + 1];
        reached[0] = true;
        for (start, members) in &self.by_start {
            if !reached[usize::from(*start)] {
                continue;
            }
            for index in members {
                let engine = &engines[*index];
                if engine.state == EngineState::Live {
                    reached[usize::from(engine.info.layers.end)] = true;
                }
            }
        }
        reached[usize::from(self.layers)]
    }
}
