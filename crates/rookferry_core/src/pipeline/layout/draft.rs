//! Layout under construction: what engines will hold after the orders planned so far.

use std::collections::BTreeSet;

use rookferry_wire::LayerRange;

use super::super::AcceleratorKind;
use super::super::ModelShape;
use super::LayoutEngine;
use super::NeededPlacement;

/// What a group loses if an engine is moved to other layers, from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum MoveLoss {
    /// The engine holds no layers.
    Nothing,
    /// Only copies of layers that engines at least as fast hold too.
    Copy,
    /// The fastest copy of some layer.
    Speed,
    /// The only copy of some layer.
    Layers,
}

/// Engines, what they will hold, and the orders for it. Engines are named by index.
#[derive(Debug)]
pub(super) struct Draft<'a> {
    pub(super) engines: &'a [LayoutEngine],
    model: &'a ModelShape,
    held: Vec<Option<LayerRange>>,
    ordered: BTreeSet<usize>,
    placements: Vec<NeededPlacement>,
}

impl<'a> Draft<'a> {
    pub(super) fn new(engines: &'a [LayoutEngine], model: &'a ModelShape) -> Self {
        Self {
            engines,
            model,
            held: engines.iter().map(|engine| engine.held).collect(),
            ordered: BTreeSet::new(),
            placements: Vec::new(),
        }
    }

    /// The orders, in the sequence in which they were planned.
    pub(super) fn into_placements(self) -> Vec<NeededPlacement> {
        self.placements
    }

    /// Adds an order for an engine to hold a range.
    pub(super) fn add_order(&mut self, index: usize, layers: LayerRange, fills_gap: bool) {
        self.held[index] = Some(layers);
        self.ordered.insert(index);
        self.placements.push(NeededPlacement {
            engine: self.engines[index].engine.clone(),
            layers,
            fills_gap,
        });
    }

    /// The model's number of layers.
    pub(super) const fn layers(&self) -> u16 {
        self.model.layers
    }

    /// The layers that an engine will hold; `None` if it is empty.
    pub(super) fn held(&self, index: usize) -> Option<LayerRange> {
        self.held[index]
    }

    /// Whether an engine may get an order: none is in progress or planned yet.
    pub(super) fn is_free(&self, index: usize) -> bool {
        !self.engines[index].is_busy && !self.ordered.contains(&index)
    }

    /// The kind of an engine; `None` if it is unknown or its figures are invalid.
    pub(super) fn kind(&self, index: usize) -> Option<&'a AcceleratorKind> {
        let kind = self.model.kind(&self.engines[index].kind)?;
        self.model.has_valid_figures(kind).then_some(kind)
    }

    /// Milliseconds of a step through one layer on an engine.
    pub(super) fn layer_step_ms(&self, index: usize) -> f64 {
        let kind = self.model.kind(&self.engines[index].kind);
        self.model.layer_step_ms(kind)
    }

    /// Cache of an engine that holds a range, in tokens.
    pub(super) fn cache_tokens(&self, index: usize, layers: LayerRange) -> f64 {
        let kind = self.kind(index);
        kind.map_or(0.0, |kind| self.model.cache_tokens(kind, layers.len()))
    }

    /// The engines of a group that will hold a layer.
    pub(super) fn holders(&self, group: &[usize], layer: u16) -> impl Iterator<Item = usize> {
        let holds = move |index: &usize| self.held[*index].is_some_and(|own| own.contains(layer));
        group.iter().copied().filter(holds)
    }

    /// The first contiguous layers that no engine of a group will hold.
    pub(super) fn first_gap(&self, group: &[usize]) -> Option<LayerRange> {
        let is_held = |layer: u16| self.holders(group, layer).next().is_some();
        let start = (0..self.model.layers).find(|layer| !is_held(*layer))?;
        let mut later = start..self.model.layers;
        let end = later.find(|layer| is_held(*layer));
        Some(LayerRange {
            start,
            end: end.unwrap_or(self.model.layers),
        })
    }

    /// What a group loses if an engine is moved to other layers.
    pub(super) fn move_loss(&self, group: &[usize], index: usize) -> MoveLoss {
        let Some(own) = self.held[index] else {
            return MoveLoss::Nothing;
        };
        let own_ms = self.layer_step_ms(index);
        let loss = |layer: u16| {
            let holders = self.holders(group, layer);
            let others = holders.filter(|other| *other != index);
            let fastest = others.map(|other| self.layer_step_ms(other));
            match fastest.min_by(f64::total_cmp) {
                None => MoveLoss::Layers,
                Some(other_ms) if other_ms > own_ms => MoveLoss::Speed,
                Some(_) => MoveLoss::Copy,
            }
        };
        let losses = (own.start..own.end).map(loss);
        losses.max().unwrap_or(MoveLoss::Nothing)
    }
}
