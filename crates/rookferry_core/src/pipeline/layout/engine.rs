//! Engines as the planner sees them, and what it wants of them.

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;

/// An engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct LayoutEngine {
    /// Its name.
    pub engine: EngineId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its accelerator's kind.
    pub kind: String,
    /// The layers that it holds or is loading; `None` if it is empty.
    pub held: Option<LayerRange>,
    /// Whether an order is under way, so that it must not get another.
    pub is_busy: bool,
}

/// Layers that an engine should load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NeededPlacement {
    /// The engine.
    pub engine: EngineId,
    /// The layers.
    pub layers: LayerRange,
    /// Whether the group lacks the layers, or it is one more copy.
    pub is_missing: bool,
}
