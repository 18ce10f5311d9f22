//! Network code shared by rookferry's daemons: HTTP listeners and clients, clients of the
//! platform's API and of the engine protocol, the clock, and logging.
//!
//! The crate makes no decisions about requests. Listeners limit connections and slow
//! clients. The HTTP client reports whether any byte of a request can have been sent; the
//! outcome returned to callers is based on this.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backoff_table;
mod backoff_transport;
mod client;
pub mod clock;
mod connection;
mod connection_limits;
mod early_response;
mod endpoint;
mod engine;
mod files;
mod inbound_request;
mod log;
mod memory_budget;
mod platform;
mod respond;
mod retry_after;
mod server;
mod timed_stream;
mod wait_until;

pub use backoff_table::BackoffTable;
pub use backoff_transport::BackoffTransport;
pub use client::ClientError;
pub use client::ClientResponse;
pub use client::HttpClient;
pub use connection::ClosedConnections;
pub use connection::ConnectionTable;
pub use connection::RequestGuard;
pub use connection_limits::ConnectionLimits;
pub use endpoint::Endpoint;
pub use endpoint::NotFound;
pub use endpoint::endpoint;
pub use engine::EngineTransport;
pub use engine::HttpEngineTransport;
pub use files::FileError;
pub use files::read_text;
pub use files::write_addresses;
pub use inbound_request::BodyError;
pub use inbound_request::InboundRequest;
pub use log::LogFormat;
pub use log::LogLevel;
pub use log::root_logger;
pub use memory_budget::MemoryBudget;
pub use memory_budget::MemoryExhausted;
pub use memory_budget::MemoryLease;
pub use platform::HttpPlatform;
pub use platform::Platform;
pub use platform::PlatformError;
pub use respond::json_response;
pub use respond::json_response_as;
pub use respond::text_response;
pub use retry_after::RetryAfterError;
pub use retry_after::parse_retry_after;
pub use server::Server;
pub use wait_until::wait_until;
