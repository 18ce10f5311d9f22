//! Model engines: each runs a range of layers of the fake model in `layers`, with
//! continuous batching, priorities, attempts, KV export and import, a prefix cache,
//! delayed load reports and fenced orders.

mod cache;
mod config;
mod ledger;
mod server;
mod stage;

pub use config::EngineConfig;
pub use ledger::Ledger;
pub use ledger::StreamRuns;
pub use server::EngineServer;
