//! The requests a second that a server takes of all instances together, as it names
//! them in its answers.

mod rate;
mod words;

pub use rate::RequestRate;
pub use words::LimitChange;
pub use words::LimitSeen;
pub use words::ServerLimits;
