//! Streams of tokens through stages: the side that drives them and the side
//! that guards each stage.
//!
//! A token runs through every layer once and in order because of two rules. A
//! [`StageGate`] takes only the next position of the newest attempt that it
//! has seen. A [`StreamDriver`] feeds a stage only with what the stage before
//! gave for the same attempt, and shows each position to the caller once.

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
