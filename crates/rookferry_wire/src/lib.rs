//! Message types exchanged between rookferry's processes and with external systems.
//!
//! The platform's objects, the engine protocol and the client protocol are encoded as
//! JSON, messages between entry instances as `postcard`. The crate contains message
//! types and their encoding, no decisions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod caller;
mod engine;
mod id;
mod peer;
mod platform;

pub use caller::CompletionRequest;
pub use caller::CompletionResponse;
pub use caller::Outcome;
pub use caller::Problem;
pub use caller::ReasonCode;
pub use caller::StreamEvent;
pub use engine::AttemptRequest;
pub use engine::AttemptResponse;
pub use engine::CacheEvent;
pub use engine::CacheEvents;
pub use engine::CancelRequest;
pub use engine::EngineInfo;
pub use engine::FleetEngine;
pub use engine::KvPages;
pub use engine::LayerRange;
pub use engine::LoadReport;
pub use engine::Order;
pub use engine::OrderRequest;
pub use engine::OrderResponse;
pub use engine::Refusal;
pub use engine::Step;
pub use engine::StepBatch;
pub use engine::StepBatchResponse;
pub use engine::StepResult;
pub use id::AccountId;
pub use id::Attempt;
pub use id::DomainId;
pub use id::EngineId;
pub use id::Incarnation;
pub use id::InstanceId;
pub use id::Labels;
pub use id::ModelId;
pub use id::ObjectVersion;
pub use id::Position;
pub use id::RequestId;
pub use id::SegmentId;
pub use id::ServiceId;
pub use id::SiteId;
pub use id::StoreEra;
pub use id::StreamId;
pub use peer::CONFIG_KIND;
pub use peer::CONFIG_NAME;
pub use peer::ClaimResponse;
pub use peer::DatagramError;
pub use peer::DatagramKey;
pub use peer::EngineDigest;
pub use peer::Heartbeat;
pub use peer::KeyedCall;
pub use peer::MAX_DATAGRAM_BYTES;
pub use peer::PeerRequest;
pub use peer::PeerResponse;
pub use platform::CLAIMS_KIND;
pub use platform::Claim;
pub use platform::ClaimRefusal;
pub use platform::InstanceEntry;
pub use platform::InstanceKind;
pub use platform::InstanceList;
pub use platform::InstanceState;
pub use platform::LEASES_KIND;
pub use platform::Object;
pub use platform::PutRequest;
pub use platform::PutResponse;
pub use platform::WatchResponse;
