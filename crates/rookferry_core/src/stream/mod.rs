//! Token streams through the stages of a pipeline: the driver on an entry instance and
//! the gate on the engine of each stage.
//!
//! Two rules make each token run through every layer once and in order. A [`StageGate`]
//! runs only the next position, and only for the newest attempt it has seen. A
//! [`StreamDriver`] sends a stage only the output of the previous stage for the same
//! attempt, and emits each position to the caller once.

mod driver;
mod gate;
mod message;

pub use driver::StreamDriver;
pub use gate::GateVerdict;
pub use gate::StageGate;
pub use message::AbandonReason;
pub use message::Stage;
pub use message::StageEvent;
pub use message::StreamAction;
pub use message::StreamSpec;
