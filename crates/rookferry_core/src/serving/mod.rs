//! Serving requests in front of backend servers that the router doesn't step.
//!
//! [`ServingConfig`] is what the operator wants: routes, services and client
//! accounts. [`Directory`] is what is known of the backend servers, and
//! [`ServerKey`] one start of one of them; [`DepartedServers`] which of them leave.
//! [`StoreVersion`] orders what the store shows over its restores, [`EraTracker`]
//! notices them, [`StoreContact`] says as of when the store is known, and
//! [`NewsBudget`] how long its news may take.
//! [`ConfigAge`] bounds how old a configuration may be when a request is sent,
//! [`RetryWindow`] what may be sent twice, and [`ServerHealth`] whom to avoid.
//! [`RoomQueue`] says who waits for room and how long, [`Overload`] when those
//! that are turned away come back, [`LinkPace`] who may cross between domains,
//! [`ClosedServers`] who takes no new work, [`Backoffs`] which servers asked for
//! none for a time. [`RequestSignature`] tells which requests are the same
//! one again, [`Quarantine`] which of them are kept from servers;
//! [`BrokenRuns`] waits for what it counts. [`pause_in_line`] spares a store that
//! doesn't answer.

mod age;
mod backend_server;
mod backoffs;
mod broken_runs;
mod closed;
mod config;
mod departed;
mod directory;
mod era_tracker;
mod finished_requests;
mod health;
mod link_pace;
mod list_history;
mod list_version;
mod news_budget;
mod overload;
mod quarantine;
mod quarantine_object;
mod request_signature;
mod retry_window;
mod room_queue;
mod server_key;
mod start_line;
mod store_contact;
mod store_pace;
mod store_version;
pub(crate) mod turns;

pub use age::ConfigAge;
pub use age::ServersAge;
pub use age::VersionAge;
pub use backend_server::BackendServer;
pub use backoffs::Backoffs;
pub use broken_runs::BrokenRun;
pub use broken_runs::BrokenRunNoted;
pub use broken_runs::BrokenRuns;
pub use closed::ClosedSeen;
pub use closed::ClosedServers;
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
pub use departed::DepartureSeen;
pub use directory::Directory;
pub use directory::DirectoryChange;
pub use directory::Expired;
pub use directory::ListDoubts;
pub use era_tracker::EraTracker;
pub use era_tracker::EraVerdict;
pub use health::ServerHealth;
pub use link_pace::LinkPace;
pub use list_history::ListDelta;
pub use list_history::ListDigest;
pub use list_history::ListHistory;
pub use list_history::ListMark;
pub use list_version::ListVersion;
pub use news_budget::NewsBudget;
pub use news_budget::NewsWay;
pub use overload::Overload;
pub use overload::Overloaded;
pub use quarantine::EndSeen;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineChange;
pub use quarantine::RunEnd;
pub use quarantine::RunId;
pub use quarantine::RunProgress;
pub use quarantine::SuspectSeen;
pub use quarantine::Suspicion;
pub use quarantine_object::HeldRequest;
pub use quarantine_object::QuarantineObject;
pub use request_signature::RequestSignature;
pub use request_signature::SignatureError;
pub use retry_window::RetryWindow;
pub use room_queue::RoomQueue;
pub use room_queue::RoomTicket;
pub use room_queue::Urgency;
pub use server_key::ServerKey;
pub use start_line::StartLine;
pub use store_contact::StoreContact;
pub use store_pace::pause_in_line;
pub use store_version::StoreVersion;
