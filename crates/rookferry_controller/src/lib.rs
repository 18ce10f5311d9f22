//! Gives engines fenced orders, so that the placement rules hold.
//!
//! One controller runs beside each entry instance; of those of a failure
//! domain the holder of the domain's lease gives orders. It asks the entry
//! instance beside it for the configuration and the engines, so that it costs
//! the platform nothing but the lease. If all controllers die, requests go on.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod controller;
mod settings;

pub use controller::Controller;
pub use settings::ControllerSettings;
