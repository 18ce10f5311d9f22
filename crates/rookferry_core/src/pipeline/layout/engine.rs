//! Input and output of the layout planner.

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;

/// An engine that can be planned with.
#[derive(Clone, Debug)]
pub struct LayoutEngine {
    /// The engine's name.
    pub engine: EngineId,
    /// The engine's failure domain.
    pub domain: DomainId,
    /// Name of its accelerator kind; one that the model doesn't list gets no layers.
    pub kind: String,
    /// The layers that it holds or is loading; `None` if it is empty.
    pub held: Option<LayerRange>,
    /// Whether an order is in progress, so that it must not get another.
    pub is_busy: bool,
}

/// An order for an engine to hold exactly some layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NeededPlacement {
    /// The engine's name.
    pub engine: EngineId,
    /// The layers to hold.
    pub layers: LayerRange,
    /// Whether the order fills a gap, rather than adding or moving a copy.
    pub fills_gap: bool,
}
