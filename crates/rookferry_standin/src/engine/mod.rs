//! Model engines: layer ranges, continuous batches, KV and prefix caches,
//! priorities, attempts, export and import, late reports, fenced orders.

mod cache;
mod config;
mod ledger;
mod server;
mod stage;

pub use config::EngineConfig;
pub use ledger::Ledger;
pub use ledger::StreamRuns;
pub use server::EngineServer;
