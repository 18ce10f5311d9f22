//! The site's configuration: its types, how it is read, and its checks.
//!
//! The same document is in force on every instance. It is checked whole
//! before it is written to the platform, and once more by each instance that
//! adopts it, so that a bad one never takes effect.

mod diff;
mod fault;
mod read;
mod site;
mod validate;

pub use diff::changed_paths;
pub use fault::ConfigFault;
pub use fault::ConfigFaults;
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
