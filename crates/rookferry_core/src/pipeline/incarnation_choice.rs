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
pub(super) struct StartChoice {
    /// Indexes of the incarnations in the list by address, the longest range first.
    starts: BTreeMap<SocketAddr, Vec<usize>>,
    /// Number of the combination; a mixed-radix number with a digit per address.
    combination: usize,
}

impl StartChoice {
    /// The first combination; `None` if each address has one incarnation.
    pub(super) fn first(engines: &[&PipelineEngine]) -> Option<Self> {
        let mut starts: BTreeMap<SocketAddr, Vec<usize>> = BTreeMap::new();
        for (place, engine) in engines.iter().enumerate() {
            starts.entry(engine.addr()).or_default().push(place);
        }
        starts.retain(|_, places| places.len() > 1);
        for places in starts.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(engines[*place].held.len()));
        }
        (!starts.is_empty()).then_some(Self {
            starts,
            combination: 0,
        })
    }

    /// The next combination; `None` after the last or [`MAX_COMBINATIONS`].
    pub(super) fn next(mut self) -> Option<Self> {
        self.combination += 1;
        let combinations = self.starts.values().map(Vec::len);
        let combinations = combinations.fold(1, usize::saturating_mul);
        (self.combination < combinations.min(MAX_COMBINATIONS)).then_some(self)
    }

    /// Whether this combination uses the engine with an index and address.
    pub(super) fn admits(&self, place: usize, addr: SocketAddr) -> bool {
        let mut left = self.combination;
        for (known, places) in &self.starts {
            if *known == addr {
                return places[left % places.len()] == place;
            }
            left /= places.len();
        }
        true
    }
}
