//! Serving requests in front of backend servers that schedule their own work: the router
//! does not drive their steps.
//!
//! Everything here is computed in memory: callers pass in observations with an
//! [`Instant`] (`std::time`) and act on the answers. No module does I/O, starts tasks or
//! reads a clock.
//!
//! Configuration and servers: [`ServingConfig`] holds the routes, services and client
//! accounts; [`Directory`] the list of backend servers, [`ServerKey`] identifies one
//! start of a server, and [`DepartedServers`] records which servers are leaving.
//! [`ListHistory`] computes the differences between two lists.
//!
//! The platform's store: [`StoreVersion`] orders its states across restores,
//! [`EraTracker`] detects a restore, [`StoreContact`] tracks how old the knowledge of the
//! store is, [`PropagationBudget`] bounds how long a change may take to reach all
//! instances, [`StartQueue`] and [`ranked_pause`] limit the load on a store at a start
//! and in an outage. [`ConfigAge`] bounds how old the configuration may be when a request
//! is sent.
//!
//! Choice of servers: [`ServerHealth`] records failures, [`RefusingServers`] servers that
//! refuse work although their load is low, [`Backoffs`] servers that asked for a pause.
//!
//! Admission and retries: [`AdmissionQueue`] queues requests that wait for cache
//! capacity, [`Overload`] computes the retry time of refused requests,
//! [`ReturnSchedule`] assigns retry slots to them by urgency and capacity,
//! [`LinkRateLimiter`] limits the prompts that cross the link between failure domains,
//! [`RetryWindow`] limits retries.
//!
//! Running streams: [`PaceTracker`] observes how fast events arrive and computes the
//! [`StallBounds`] after which a silent stream is probed, repaired or run again.
//!
//! Quarantine: [`RequestSignature`] recognises a request that is sent again,
//! [`Quarantine`] withholds requests that crash servers, and [`BrokenRuns`] keeps broken
//! runs until it is known whether their server exited.

mod admission_class;
mod admission_queue;
mod age;
mod backend_server;
mod backoffs;
mod broken_runs;
mod config;
mod departed;
mod direct_paths;
mod directory;
mod era_tracker;
mod finished_requests;
mod health;
mod link_rate;
mod list_history;
mod list_version;
mod overload;
mod pace;
mod presence;
mod propagation_budget;
mod quarantine;
mod quarantine_object;
mod refusing_servers;
mod request_signature;
mod retry_window;
mod return_schedule;
pub(crate) mod rotation;
mod server_key;
mod stall_bounds;
mod start_queue;
mod store_contact;
mod store_retry;
mod store_version;
mod urgency_demand;

pub use admission_class::AdmissionClass;
pub use admission_queue::AdmissionQueue;
pub use admission_queue::AdmissionTicket;
pub use admission_queue::Urgency;
pub use age::ConfigAge;
pub use age::ServersAge;
pub use age::VersionAge;
pub use backend_server::BackendServer;
pub use backoffs::Backoffs;
pub use broken_runs::BrokenRun;
pub use broken_runs::BrokenRunStatus;
pub use broken_runs::BrokenRuns;
pub use config::CallerLimits;
pub use config::Repeatability;
pub use config::RouteTarget;
pub use config::ServingAccount;
pub use config::ServingConfig;
pub use config::ServingIndex;
pub use config::ServingRoute;
pub use config::ServingService;
pub use departed::DepartedServers;
pub use departed::Departure;
pub use departed::DepartureObservation;
pub use direct_paths::BrokenPath;
pub use direct_paths::DirectPaths;
pub use direct_paths::PathChange;
pub use direct_paths::PathFailure;
pub use directory::Directory;
pub use directory::DirectoryChange;
pub use directory::ExpiryOutcome;
pub use directory::ListUncertainty;
pub use era_tracker::EraTracker;
pub use era_tracker::EraVerdict;
pub use health::ServerHealth;
pub use link_rate::LinkRateLimiter;
pub use list_history::ListDelta;
pub use list_history::ListDigest;
pub use list_history::ListFingerprint;
pub use list_history::ListHistory;
pub use list_version::ListVersion;
pub use overload::Overload;
pub use overload::Overloaded;
pub use presence::Presence;
pub use propagation_budget::PropagationBudget;
pub use propagation_budget::PropagationPath;
pub use quarantine::CrashObservation;
pub use quarantine::Permission;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineChange;
pub use quarantine::RunCrash;
pub use quarantine::RunId;
pub use quarantine::RunProgress;
pub use quarantine::SuspectKind;
pub use quarantine::SuspectObservation;
pub use quarantine::Suspicion;
pub use quarantine_object::QuarantineObject;
pub use quarantine_object::QuarantineStart;
pub use quarantine_object::QuarantinedRequest;
pub use refusing_servers::RefusingObservation;
pub use refusing_servers::RefusingServers;
pub use request_signature::RequestSignature;
pub use request_signature::SignatureError;
pub use retry_window::RetryWindow;
pub use return_schedule::ReturnSchedule;
pub use return_schedule::ReturnSlot;
pub use server_key::ServerKey;
pub use stall_bounds::PaceTracker;
pub use stall_bounds::StallBounds;
pub use start_queue::StartQueue;
pub use store_contact::AdvertisedContact;
pub use store_contact::AnswerGap;
pub use store_contact::StoreContact;
pub use store_retry::ranked_pause;
pub use store_version::StoreVersion;
pub use urgency_demand::UrgencyDemand;
