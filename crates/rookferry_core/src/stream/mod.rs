//! Streams of tokens through stages: the side that drives them and the side
//! that guards each stage.
//!
//! A token runs through every layer once and in order because of two rules. A
//! [`StageGate`] takes only the next position of the newest attempt that it
//! has seen. A [`StreamDriver`] feeds a stage only with what the stage before
//! gave for the same attempt, and shows each position to the caller once.

mod driver;
mod gate;

pub use driver::AbandonReason;
pub use driver::Stage;
pub use driver::StageEvent;
pub use driver::StreamAction;
pub use driver::StreamDriver;
pub use driver::StreamSpec;
pub use gate::GateVerdict;
pub use gate::StageGate;
