//! Stand-ins for the review's scripts: the platform's store, engines, clients, and a
//! site of instances that run as separate processes. Only the standard library is used.

pub mod client;
pub mod engine;
pub mod http;
pub mod json;
pub mod record;
pub mod site;
pub mod store;
