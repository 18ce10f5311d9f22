//! Open-loop load generator. Sends the requests of a `LoadPlan` at precomputed times,
//! compares each answer with the reference, injects faults and reports latencies.
//!
//! Latencies count from when a request was due, not from when it was sent. Otherwise a
//! stall that delays the generator would not show in them (coordinated omission).

mod arrivals;
mod caller;
mod plan;
mod report;
mod run;

pub use arrivals::Arrivals;
pub use caller::CallOutcome;
pub use caller::CallResponse;
pub use caller::Caller;
pub use caller::tokenize;
pub use plan::CallKind;
pub use plan::LoadAccount;
pub use plan::LoadPlan;
pub use plan::Mix;
pub use plan::TimedFault;
pub use report::KindReport;
pub use report::LoadRunReport;
pub use run::LoadRun;
pub use run::RequestLog;
