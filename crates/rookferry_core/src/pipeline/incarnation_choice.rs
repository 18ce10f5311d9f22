//! Choice of one incarnation per address where several are listed.
//!
//! A previous incarnation may still be listed beside the one that took over its
//! address, and engines accept no path that has an address twice. A search that
//! keeps one path per node can therefore miss the only valid path: the path it
//! keeps may already use the address by the other incarnation. It is then
//! repeated with one incarnation per address, over all combinations.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::PipelineEngine;

/// Maximum number of combinations searched: all of them for six addresses with two
/// incarnations each.
const MAX_COMBINATIONS: usize = 64;

/// Addresses with several incarnations, and the one to use of each.
#[derive(Clone, Debug)]
pub(super) struct IncarnationChoice {
    /// Indexes of the incarnations in the list by address, the longest range first.
    incarnations: BTreeMap<SocketAddr, Vec<usize>>,
    /// Number of the combination; a mixed-radix number with a digit per address.
    combination: usize,
}

impl IncarnationChoice {
    /// The first combination; `None` if each address has one incarnation.
    pub(super) fn first(engines: &[&PipelineEngine]) -> Option<Self> {
        let mut incarnations: BTreeMap<SocketAddr, Vec<usize>> = BTreeMap::new();
        for (index, engine) in engines.iter().enumerate() {
            incarnations.entry(engine.addr()).or_default().push(index);
        }
        incarnations.retain(|_, indexes| indexes.len() > 1);
        for indexes in incarnations.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(engines[*index].held.len()));
        }
        (!incarnations.is_empty()).then_some(Self {
            incarnations,
            combination: 0,
        })
    }

    /// The next combination; `None` after the last or [`MAX_COMBINATIONS`].
    pub(super) fn next(mut self) -> Option<Self> {
        self.combination += 1;
        let combinations = self.incarnations.values().map(Vec::len);
        let combinations = combinations.fold(1, usize::saturating_mul);
        (self.combination < combinations.min(MAX_COMBINATIONS)).then_some(self)
    }

    /// Whether this combination uses the engine with an index and address.
    pub(super) fn allows(&self, index: usize, addr: SocketAddr) -> bool {
        let mut remainder = self.combination;
        for (known, indexes) in &self.incarnations {
            if *known == addr {
                return indexes[remainder % indexes.len()] == index;
            }
            remainder /= indexes.len();
        }
        true
    }
}
