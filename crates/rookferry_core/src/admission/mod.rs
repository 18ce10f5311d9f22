//! Admission of requests while the engines are full: the order in which queued requests
//! are placed, which are refused, and the wait to expect.
//!
//! Entry instances hold one queue and one rate for each pool and model. [`AccountShares`]
//! is kept for each service.

mod account_shares;
mod drain_rate;
mod fair_queue;

pub use account_shares::AccountShares;
pub use account_shares::AccountUsage;
pub use drain_rate::DrainRate;
pub use fair_queue::FairQueue;
pub use fair_queue::PushOutcome;
pub use fair_queue::QueuedRequest;
