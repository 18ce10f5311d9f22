//! Network code shared by rookferry's daemons: HTTP listeners and clients, clients of the
//! platform's API and of the engine protocol, the clock, and logging.
//!
//! The crate makes no decisions about requests. Listeners limit connections and slow
//! clients. The HTTP client reports whether any byte of a request can have been sent; the
//! outcome returned to callers is based on this.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backoff_table;
mod client;
pub mod clock;
mod connection;
mod endpoint;
mod engine;
mod files;
mod inbound;
mod log;
mod paced_engines;
mod platform;
mod respond;
mod retry_after;
mod server;
mod until;

pub use backoff_table::BackoffTable;
pub use client::ClientAnswer;
pub use client::ClientError;
pub use client::HttpClient;
pub use connection::ConnectionGuard;
pub use connection::ConnectionLimits;
pub use connection::ConnectionTable;
pub use endpoint::Endpoint;
pub use endpoint::NotFound;
pub use endpoint::endpoint;
pub use engine::EngineTransport;
pub use engine::HttpEngines;
pub use files::FileError;
pub use files::read_text;
pub use files::write_addresses;
pub use inbound::BodyError;
pub use inbound::Inbound;
pub use log::LogFormat;
pub use log::LogLevel;
pub use log::root_logger;
pub use paced_engines::PacedEngines;
pub use platform::HttpPlatform;
pub use platform::Platform;
pub use platform::PlatformError;
pub use respond::json_response;
pub use respond::json_response_as;
pub use respond::text_response;
pub use retry_after::RetryAfterError;
pub use retry_after::retry_after;
pub use server::Server;
pub use until::until;
