//! Who holds each layer, kept up while engines get layers.
//!
//! Load pattern: thousands of engines that start empty. Each gets its layers
//! by what all others hold by then. Looked up anew for each, a plan takes so long
//! that the planner's lease runs out and others begin the same plan; so the sums
//! are kept.

use std::collections::BTreeMap;
use std::ops::Range;

use rookferry_wire::DomainId;
use rookferry_wire::LayerRange;

use super::draft::Draft;

/// Who holds a layer, as one failure domain sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LayerCopies {
    /// Holders on the whole site.
    pub(super) on_site: usize,
    /// Holders in the domain.
    pub(super) in_domain: usize,
    /// Time a step takes on the fastest of these.
    fastest_ms: f64,
}

impl LayerCopies {
    fn add_in_domain(&mut self, step_ms: f64) {
        self.fastest_ms = if self.in_domain == 0 {
            step_ms
        } else {
            self.fastest_ms.min(step_ms)
        };
        self.in_domain += 1;
    }

    /// What a holder with a step time saves on the layer.
    pub(super) fn saved_ms(&self, step_ms: f64) -> f64 {
        (self.fastest_ms - step_ms).max(0.0)
    }
}

/// Holders and room by layer.
#[derive(Clone, Debug)]
pub(super) struct Holdings<'a> {
    /// Holders on the whole site, by layer.
    on_site: Vec<usize>,
    /// Holders in each domain, by layer.
    domains: BTreeMap<&'a DomainId, Vec<LayerCopies>>,
    /// Tokens that fit on the group's holders together, by layer.
    room_tokens: Vec<f64>,
}

impl<'a> Holdings<'a> {
    /// What the engines of a draft hold, with the room of a group's.
    pub(super) fn new(draft: &Draft<'a>, group: &[usize]) -> Self {
        let layers = usize::from(draft.layers());
        let mut holdings = Self {
            on_site: vec![0; layers],
            domains: BTreeMap::new(),
            room_tokens: vec![0.0; layers],
        };
        for index in 0..draft.engines.len() {
            if let Some(held) = draft.held(index) {
                holdings.add_copy(draft, index, held);
            }
        }
        for index in group.iter().copied() {
            if let Some(held) = draft.held(index) {
                holdings.add_room(draft, index, held);
            }
        }
        holdings
    }

    /// An empty engine of the group gets layers.
    pub(super) fn add(&mut self, draft: &Draft<'a>, index: usize, layers: LayerRange) {
        self.add_copy(draft, index, layers);
        self.add_room(draft, index, layers);
    }

    fn add_copy(&mut self, draft: &Draft<'a>, index: usize, layers: LayerRange) {
        let step_ms = draft.layer_step_ms(index);
        let domain = &draft.engines[index].domain;
        let in_domain = self.domains.entry(domain);
        let in_domain =
            in_domain.or_insert_with(|| vec![LayerCopies::default(); self.on_site.len()]);
        let held = indexes(layers, self.on_site.len());
        for copies in &mut in_domain[held.clone()] {
            copies.add_in_domain(step_ms);
        }
        for holders in &mut self.on_site[held] {
            *holders += 1;
        }
    }

    fn add_room(&mut self, draft: &Draft<'a>, index: usize, layers: LayerRange) {
        let tokens = draft.room_tokens(index, layers);
        let held = indexes(layers, self.room_tokens.len());
        for room_tokens in &mut self.room_tokens[held] {
            *room_tokens += tokens;
        }
    }

    /// Tokens that fit on a layer's holders in the group together.
    pub(super) fn room_tokens(&self, layer: u16) -> f64 {
        self.room_tokens[usize::from(layer)]
    }

    /// The layer with the least room in the group, and its tokens.
    pub(super) fn tightest(&self) -> Option<(u16, f64)> {
        let rooms = (0..).zip(self.room_tokens.iter().copied());
        rooms.min_by(|(_, left), (_, right)| left.total_cmp(right))
    }

    /// Who holds each layer, as a domain sees it.
    pub(super) fn copies(&self, domain: &DomainId) -> Vec<LayerCopies> {
        let in_domain = self.domains.get(domain);
        let copies = in_domain.cloned();
        let mut copies = copies.unwrap_or_else(|| vec![LayerCopies::default(); self.on_site.len()]);
        for (copies, on_site) in copies.iter_mut().zip(&self.on_site) {
            copies.on_site = *on_site;
        }
        copies
    }
}

/// The places of a range's layers; an engine may report some behind the last.
fn indexes(range: LayerRange, layers: usize) -> Range<usize> {
    let end = usize::from(range.end).min(layers);
    usize::from(range.start).min(end)..end
}
