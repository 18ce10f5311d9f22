//! The platform: an object store with versions, conditional writes and watches, and
//! an instance list that shows changes with a delay.

pub(crate) mod server;
mod store;

pub use server::PlatformConfig;
pub use server::PlatformServer;
pub use store::Store;
