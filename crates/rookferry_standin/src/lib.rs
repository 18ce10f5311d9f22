//! Test doubles ("stand-ins") of the external systems, and a load generator, for
//! tests, the demo and measurements.
//!
//! The stand-ins implement the published HTTP protocols of the platform, the
//! model engines and the application engines. `POST /admin/fault` injects faults
//! into them. Engines record what they ran in ledgers (`GET /admin/ledger`), so
//! that checks don't depend on what the router reports. Not shipped to users.
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
pub use layers::VOCABULARY_SIZE;
pub use layers::final_token;
pub use layers::prompt_digest;
pub use layers::reference_answer;
pub use layers::run_layer;
pub use load::Arrivals;
pub use load::CallKind;
pub use load::CallOutcome;
pub use load::CallResponse;
pub use load::Caller;
pub use load::KindReport;
pub use load::LoadAccount;
pub use load::LoadPlan;
pub use load::LoadRun;
pub use load::LoadRunReport;
pub use load::Mix;
pub use load::RequestLog;
pub use load::TimedFault;
pub use load::tokenize;
pub use platform::PlatformConfig;
pub use platform::PlatformServer;
pub use platform::Store;
pub use site::Site;
pub use site::SiteAddrs;
pub use site::SiteSpec;
