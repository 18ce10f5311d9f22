//! The site configuration: its types, parsing and validation.
//!
//! All instances run the same document. It is validated as a whole before it is
//! written to the platform, and again by each instance that adopts it, so that
//! an invalid document never becomes active.

mod diff;
mod error;
mod read;
mod site;
mod validate;

pub use diff::changed_paths;
pub use error::ConfigError;
pub use error::ConfigErrors;
pub use read::read_json;
pub use site::AccountConfig;
pub use site::ChooserKind;
pub use site::ModelConfig;
pub use site::Objective;
pub use site::ObjectiveKind;
pub use site::PlacementRule;
pub use site::PolicyConfig;
pub use site::PoolConfig;
pub use site::RouteConfig;
pub use site::ServiceConfig;
pub use site::SiteConfig;
