//! Decision logic of the rookferry router, free of I/O.
//!
//! No code in this crate opens a socket, starts a thread, reads a clock or draws a
//! random number. Each type takes events, with the current time where it matters,
//! and returns actions, which its caller carries out. The daemons run these types;
//! other programs can embed them, and tests drive the same code.
//!
//! | types | question they answer |
//! |---|---|
//! | [`Selector`] | does this rule match these labels? |
//! | [`SiteConfig`], [`ConfigAdopter`] | is this configuration valid, and is it newer? |
//! | [`RoutingTable`], [`Fleet`], [`ChainChooser`] | which engines run this request? |
//! | [`StreamDriver`], [`StageGate`] | which token passes which layers next? |
//! | [`ClaimWriter`], [`TicketIssuer`] | may this request be dispatched, at most once? |
//! | [`Undispatched`], [`FailureOutcome`] | which outcome may be reported to the caller? |
//! | [`FairQueue`], [`DrainRate`], [`RetryBudget`] | which request runs next, and which are refused? |
//! | [`MemberTable`], [`HeartbeatPlan`], [`Lease`] | which members are alive, and which instance orders engines? |
//! | [`PathFinder`], [`LayoutPlanner`] | which engines form a pipeline that forwards activations directly? |
//! | [`PeerTable`], [`Fanout`] | which instances are alive, and what is sent to which of them? |
//! | [`ServerLimits`], [`PermitGranter`] | do all instances together stay within a server's limit? |
//! | [`ServingIndex`], [`Directory`], [`ServerHealth`] | to which server may this request go now? |
//! | [`throughput_bound`], [`WindowCount`] | what is the highest possible throughput, and how fast are error budgets spent? |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod bound;
mod burn;
mod claim;
mod config;
mod decision;
mod lease;
mod limits;
mod member;
mod millis;
mod outcome;
mod peers;
mod pipeline;
mod placement;
mod retry;
mod routing;
mod selector;
mod serving;
mod stream;

pub use admission::DrainRate;
pub use admission::FairQueue;
pub use admission::PushOutcome;
pub use admission::QueuedRequest;
pub use bound::RatedEngine;
pub use bound::throughput_bound;
pub use burn::ObjectiveSample;
pub use burn::WindowCount;
pub use burn::objective_applies;
pub use claim::Claim;
pub use claim::ClaimAction;
pub use claim::ClaimEvent;
pub use claim::ClaimKey;
pub use claim::ClaimKeyError;
pub use claim::ClaimObject;
pub use claim::ClaimRefusal;
pub use claim::ClaimRequestId;
pub use claim::ClaimWriter;
pub use claim::RedeemOutcome;
pub use claim::TicketError;
pub use claim::TicketIssuer;
pub use config::AccountConfig;
pub use config::ChooserKind;
pub use config::ConfigError;
pub use config::ConfigErrors;
pub use config::ModelConfig;
pub use config::Objective;
pub use config::ObjectiveKind;
pub use config::PlacementRule;
pub use config::PolicyConfig;
pub use config::PoolConfig;
pub use config::RouteConfig;
pub use config::ServiceConfig;
pub use config::SiteConfig;
pub use config::changed_paths;
pub use config::read_json;
pub use decision::DecisionLog;
pub use decision::DecisionRecord;
pub use decision::DecisionResult;
pub use decision::MatchedPool;
pub use lease::Lease;
pub use lease::LeaseAction;
pub use lease::LeaseObject;
pub use lease::LeaseTiming;
pub use limits::LimitChange;
pub use limits::LimitObservation;
pub use limits::Permit;
pub use limits::PermitAnswer;
pub use limits::PermitGranter;
pub use limits::PermitRefusal;
pub use limits::PermitRequest;
pub use limits::PermitTracker;
pub use limits::RequestRate;
pub use limits::ServerLimits;
pub use member::AdoptOutcome;
pub use member::ConfigAdopter;
pub use member::HeartbeatError;
pub use member::HeartbeatPlan;
pub use member::Member;
pub use member::MemberState;
pub use member::MemberTable;
pub use member::PeerTarget;
pub use member::PollInput;
pub use member::PollReason;
pub use member::engine_tag;
pub use member::extra_polls_allowed;
pub use member::info_tag;
pub use member::poll_interval;
pub use member::poll_reason;
pub use member::rendezvous_owner;
pub use outcome::Dispatched;
pub use outcome::FailureOutcome;
pub use outcome::NotRun;
pub use outcome::Undispatched;
pub use outcome::Unknown;
pub use peers::AggregatedLoads;
pub use peers::BodyOffer;
pub use peers::BodySource;
pub use peers::Capacity;
pub use peers::ConfigState;
pub use peers::DomainLoads;
pub use peers::DomainMembers;
pub use peers::Echo;
pub use peers::Fanout;
pub use peers::Heartbeat;
pub use peers::HolderObservation;
pub use peers::ListState;
pub use peers::LoadEntry;
pub use peers::MemberObservation;
pub use peers::PeerTable;
pub use peers::ProbeRole;
pub use peers::ReportObservation;
pub use peers::Round;
pub use peers::ServerLoad;
pub use peers::StoreState;
pub use peers::SuspectedServers;
pub use peers::Targets;
pub use pipeline::AcceleratorKind;
pub use pipeline::ArrivalTracker;
pub use pipeline::ChainForecast;
pub use pipeline::ChainStage;
pub use pipeline::FleetInventory;
pub use pipeline::FullestStage;
pub use pipeline::LayoutEngine;
pub use pipeline::LayoutPlanner;
pub use pipeline::MAX_STAGES;
pub use pipeline::ModelShape;
pub use pipeline::NeededPlacement;
pub use pipeline::PathError;
pub use pipeline::PathFinder;
pub use pipeline::PathSearchError;
pub use pipeline::PathStage;
pub use pipeline::PipelineEngine;
pub use pipeline::PipelinePath;
pub use pipeline::forecast;
pub use placement::DRAINING_ROLE;
pub use placement::PlacementLimits;
pub use placement::PlacementPlanner;
pub use placement::PlannedOrder;
pub use placement::SERVING_ROLE;
pub use placement::is_draining;
pub use retry::RetryBudget;
pub use routing::Candidate;
pub use routing::CandidateVerdict;
pub use routing::ChainChooser;
pub use routing::ChainRequest;
pub use routing::ChosenChain;
pub use routing::Engine;
pub use routing::EngineState;
pub use routing::EngineStats;
pub use routing::EvaluatedRoute;
pub use routing::ExpectedFinish;
pub use routing::Fleet;
pub use routing::LayerGraph;
pub use routing::LeastOutstanding;
pub use routing::PrefixIndex;
pub use routing::RandomChain;
pub use routing::RoundRobin;
pub use routing::RouteChoice;
pub use routing::RoutingTable;
pub use routing::ServiceInstance;
pub use routing::choose_service;
pub use routing::chooser_for;
pub use routing::prefix_hash;
pub use selector::Selector;
pub use selector::SelectorError;
pub use serving::AdmissionQueue;
pub use serving::AdmissionTicket;
pub use serving::AdvertisedContact;
pub use serving::BackendServer;
pub use serving::Backoffs;
pub use serving::BrokenRun;
pub use serving::BrokenRunStatus;
pub use serving::BrokenRuns;
pub use serving::CallerLimits;
pub use serving::ConfigAge;
pub use serving::CrashObservation;
pub use serving::DepartedServers;
pub use serving::Departure;
pub use serving::DepartureObservation;
pub use serving::Directory;
pub use serving::DirectoryChange;
pub use serving::EraTracker;
pub use serving::EraVerdict;
pub use serving::ExpiryOutcome;
pub use serving::LinkRateLimiter;
pub use serving::ListDelta;
pub use serving::ListDigest;
pub use serving::ListFingerprint;
pub use serving::ListHistory;
pub use serving::ListUncertainty;
pub use serving::ListVersion;
pub use serving::Overload;
pub use serving::Overloaded;
pub use serving::PropagationBudget;
pub use serving::PropagationPath;
pub use serving::Quarantine;
pub use serving::QuarantineChange;
pub use serving::QuarantineObject;
pub use serving::QuarantinedRequest;
pub use serving::RefusingObservation;
pub use serving::RefusingServers;
pub use serving::Repeatability;
pub use serving::RequestSignature;
pub use serving::RetryWindow;
pub use serving::RouteTarget;
pub use serving::RunCrash;
pub use serving::RunId;
pub use serving::RunProgress;
pub use serving::ServerHealth;
pub use serving::ServerKey;
pub use serving::ServersAge;
pub use serving::ServingAccount;
pub use serving::ServingConfig;
pub use serving::ServingIndex;
pub use serving::ServingRoute;
pub use serving::ServingService;
pub use serving::SignatureError;
pub use serving::StartQueue;
pub use serving::StoreContact;
pub use serving::StoreVersion;
pub use serving::SuspectObservation;
pub use serving::Suspicion;
pub use serving::Urgency;
pub use serving::VersionAge;
pub use serving::ranked_pause;
pub use stream::AbandonReason;
pub use stream::GateVerdict;
pub use stream::Stage;
pub use stream::StageEvent;
pub use stream::StageGate;
pub use stream::StreamAction;
pub use stream::StreamDriver;
pub use stream::StreamSpec;
