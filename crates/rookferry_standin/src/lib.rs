//! Stand-ins of the outside systems, for tests, the demo and measurements.
//!
//! They speak the published protocols of the platform, the model engines and
//! the application engines, fail on order, and keep ledgers of what they ran.
//! Checks read the ledgers, never the router's own word. None of this is
//! shipped to users.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admin;
mod app;
mod engine;
mod layers;
mod load;
mod platform;
mod site;

pub use admin::Fault;
pub use admin::FaultState;
pub use app::AppConfig;
pub use app::AppServer;
pub use engine::EngineConfig;
pub use engine::EngineServer;
pub use engine::Ledger;
pub use engine::StreamRuns;
pub use layers::TOKENS;
pub use layers::final_token;
pub use layers::prompt_digest;
pub use layers::reference_answer;
pub use layers::run_layer;
pub use load::Answer;
pub use load::Arrivals;
pub use load::CallKind;
pub use load::Caller;
pub use load::Ending;
pub use load::KindReport;
pub use load::LoadAccount;
pub use load::LoadPlan;
pub use load::LoadReportOut;
pub use load::LoadRun;
pub use load::Mix;
pub use load::RequestLog;
pub use load::TimedFault;
pub use load::tokens_of;
pub use platform::PlatformConfig;
pub use platform::PlatformServer;
pub use platform::Store;
pub use site::Site;
pub use site::SiteAddrs;
pub use site::SiteSpec;
