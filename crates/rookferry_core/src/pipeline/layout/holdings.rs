//! Number of holders and total cache of each layer, updated incrementally.
//!
//! Load pattern: thousands of engines start empty, and the layers of each depend
//! on what all others hold by then. If the sums were computed anew for each, a
//! plan would take so long that the planner's lease expires and other instances
//! start the same plan.

use std::collections::BTreeMap;
use std::ops::Range;

use rookferry_wire::DomainId;
use rookferry_wire::LayerRange;

use super::draft::Draft;

/// The holders of a layer, from the view of one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LayerCopies {
    /// Number of holders on the whole site.
    pub(super) on_site: usize,
    /// Number of holders in the domain.
    pub(super) in_domain: usize,
    /// Step time of the fastest holder in the domain, in milliseconds.
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

    /// Milliseconds that a new holder in the domain saves per step on the layer.
    pub(super) fn saved_ms(&self, step_ms: f64) -> f64 {
        (self.fastest_ms - step_ms).max(0.0)
    }
}

/// Holders and cache by layer.
#[derive(Clone, Debug)]
pub(super) struct Holdings<'a> {
    /// Number of holders on the whole site, by layer.
    on_site: Vec<usize>,
    /// Holders in each domain, by layer.
    domains: BTreeMap<&'a DomainId, Vec<LayerCopies>>,
    /// Total cache of the group's holders in tokens, by layer.
    cache_tokens: Vec<f64>,
}

impl<'a> Holdings<'a> {
    /// Sums over what all engines of a draft hold, and over the cache of a group.
    pub(super) fn new(draft: &Draft<'a>, group: &[usize]) -> Self {
        let layers = usize::from(draft.layers());
        let mut holdings = Self {
            on_site: vec![0; layers],
            domains: BTreeMap::new(),
            cache_tokens: vec![0.0; layers],
        };
        for index in 0..draft.engines.len() {
            if let Some(held) = draft.held(index) {
                holdings.add_copy(draft, index, held);
            }
        }
        for index in group.iter().copied() {
            if let Some(held) = draft.held(index) {
                holdings.add_cache(draft, index, held);
            }
        }
        holdings
    }

    /// Adds the layers that an empty engine of the group gets.
    pub(super) fn add(&mut self, draft: &Draft<'a>, index: usize, layers: LayerRange) {
        self.add_copy(draft, index, layers);
        self.add_cache(draft, index, layers);
    }

    fn add_copy(&mut self, draft: &Draft<'a>, index: usize, layers: LayerRange) {
        let step_ms = draft.layer_step_ms(index);
        let domain = &draft.engines[index].domain;
        let in_domain = self.domains.entry(domain);
        let in_domain =
            in_domain.or_insert_with(|| vec![LayerCopies::default(); self.on_site.len()]);
        let held = layer_indexes(layers, self.on_site.len());
        for copies in &mut in_domain[held.clone()] {
            copies.add_in_domain(step_ms);
        }
        for holders in &mut self.on_site[held] {
            *holders += 1;
        }
    }

    fn add_cache(&mut self, draft: &Draft<'a>, index: usize, layers: LayerRange) {
        let tokens = draft.cache_tokens(index, layers);
        let held = layer_indexes(layers, self.cache_tokens.len());
        for cache_tokens in &mut self.cache_tokens[held] {
            *cache_tokens += tokens;
        }
    }

    /// Total cache of a layer's holders in the group, in tokens.
    pub(super) fn cache_tokens(&self, layer: u16) -> f64 {
        self.cache_tokens[usize::from(layer)]
    }

    /// The layer with the least cache in the group, and that cache in tokens.
    pub(super) fn least_cached_layer(&self) -> Option<(u16, f64)> {
        let by_layer = (0..).zip(self.cache_tokens.iter().copied());
        by_layer.min_by(|(_, left), (_, right)| left.total_cmp(right))
    }

    /// The holders by layer, from the view of a domain.
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

/// Vector indexes of a range's layers, clamped: an engine may report layers after the
/// model's last.
fn layer_indexes(range: LayerRange, layers: usize) -> Range<usize> {
    let end = usize::from(range.end).min(layers);
    usize::from(range.start).min(end)..end
}
