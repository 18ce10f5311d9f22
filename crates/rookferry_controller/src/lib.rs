//! Placement controller: sends engines fenced orders that enforce the placement rules.
//!
//! One controller runs next to each entry instance. Per failure domain, only the
//! holder of the domain's lease sends orders. The configuration and the engine list
//! come from the local entry instance, so the lease is the controller's only load on
//! the platform. Requests are served without a controller.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod controller;
mod settings;

pub use controller::Controller;
pub use settings::ControllerSettings;
