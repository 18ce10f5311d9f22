//! An entry instance: serves callers' requests from model engines and plain
//! services, exchanges heartbeats with its peers, and follows the site's
//! configuration.
//!
//! [`Entry::start`] runs an instance within a process. The binary `rookferry-entry`
//! adds settings, logging and signal handling.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod answers;
mod claims;
mod config_sync;
mod counters;
mod decisions;
mod discovery;
mod entry;
mod http;

mod peers;
mod quarantine;
mod registry;
mod runner;
mod settings;
mod snapshot;

pub use entry::Entry;
pub use entry::EntryAddrs;
pub use entry::EntryError;
pub use settings::EntryLimits;
pub use settings::EntrySettings;
