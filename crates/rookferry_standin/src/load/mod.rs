//! Open-loop load: arrivals on a timetable of their own, whole answers
//! compared with the reference, faults on order, and figures.
//!
//! Times count from when a request was due, not from when it was sent, so
//! that a stall isn't hidden by the load waiting for it.

mod arrivals;
mod caller;
mod plan;
mod report;
mod run;

pub use arrivals::Arrivals;
pub use caller::Answer;
pub use caller::Caller;
pub use caller::Ending;
pub use caller::tokens_of;
pub use plan::CallKind;
pub use plan::LoadAccount;
pub use plan::LoadPlan;
pub use plan::Mix;
pub use plan::TimedFault;
pub use report::KindReport;
pub use report::LoadReportOut;
pub use run::LoadRun;
pub use run::RequestLog;
