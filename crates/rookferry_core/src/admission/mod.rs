//! Who goes next when there isn't room for all, and who is turned away.

mod drain;
mod fair_queue;

pub use drain::DrainRate;
pub use fair_queue::FairQueue;
pub use fair_queue::Pushed;
pub use fair_queue::Waiting;
