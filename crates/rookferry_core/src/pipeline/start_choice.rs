//! Which start is meant where several are listed at one address.
//!
//! A former start may be listed beside the one that took its address, and engines take
//! no path that names an address twice. A search that keeps one way to each position
//! can so be led past the only path: its way there has used the address by the start
//! that isn't needed. Then it goes on with one start an address, in all combinations.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::PipelineEngine;

/// Most combinations that are searched: all of them for six addresses with two starts.
const MAX_COMBINATIONS: usize = 64;

/// The addresses with several starts, and the start that is meant at each.
#[derive(Clone, Debug)]
pub(super) struct StartChoice {
    /// By address: the places of its starts in the list, the longest range first.
    starts: BTreeMap<SocketAddr, Vec<usize>>,
    combination: usize,
}

impl StartChoice {
    /// The first choice among some engines; `None` if each address has one start.
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

    /// The next choice, until all have been taken or there are too many.
    pub(super) fn next(mut self) -> Option<Self> {
        self.combination += 1;
        let combinations = self.starts.values().map(Vec::len);
        let combinations = combinations.fold(1, usize::saturating_mul);
        (self.combination < combinations.min(MAX_COMBINATIONS)).then_some(self)
    }

    /// Whether the engine at a place in the list may be used by this choice.
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
