//! The platform: objects with versions, conditional updates and watches, and
//! a lagging list of instances.

pub(crate) mod server;
mod store;

pub use server::PlatformConfig;
pub use server::PlatformServer;
pub use store::Store;
