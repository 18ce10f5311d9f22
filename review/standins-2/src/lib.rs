//! Stand-ins of the platform, of backend servers and of clients for the cases of the
//! second review. They speak what the users' pages describe and use the standard library
//! only.

pub mod http;
pub mod json;
pub mod load;
pub mod node;
pub mod record;
pub mod server;
pub mod store;
