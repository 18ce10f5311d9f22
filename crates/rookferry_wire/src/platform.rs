//! JSON messages of the platform's API: versioned objects, conditional updates,
//! watches, and the list of instances, which lags behind the actual state.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::DomainId;
use crate::EngineId;
use crate::Incarnation;
use crate::InstanceId;
use crate::Labels;
use crate::ObjectVersion;
use crate::StreamId;

/// Kind of the objects that contain claims.
pub const CLAIMS_KIND: &str = "claims";
/// Kind of the objects that contain leases.
pub const LEASES_KIND: &str = "leases";

/// An object stored by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name within its kind.
    pub name: String,
    /// Version; each write of any object of the kind increases it.
    pub version: ObjectVersion,
    /// The value; `null` if the object was deleted.
    pub value: serde_json::Value,
}

/// A conditional update.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutRequest {
    /// The expected current version; 0 to create the object.
    pub expected: ObjectVersion,
    /// The new value; `null` deletes the object.
    pub value: serde_json::Value,
}

/// Response to a [`PutRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum PutResponse {
    /// The update was applied.
    Written {
        /// The object's new version.
        version: ObjectVersion,
    },
    /// The current version is not the expected one.
    Conflict {
        /// The current object, if it exists.
        current: Option<Object>,
    },
}

/// Changes of one kind since a version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Changed objects, oldest first.
    pub objects: Vec<Object>,
    /// Version to continue the watch from.
    pub version: ObjectVersion,
}

/// The platform's list of instances, which lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All instances known to the platform.
    pub instances: Vec<InstanceEntry>,
}

/// An entry of the [`InstanceList`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub name: InstanceId,
    /// What the instance runs.
    pub kind: InstanceKind,
    /// Address on which the instance listens.
    pub addr: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: DomainId,
    /// Labels of the instance.
    #[serde(default)]
    pub labels: Labels,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
}

/// Kind of process that an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An engine that runs layers of a model.
    ModelEngine,
    /// A server of a plain service.
    AppEngine,
    /// An entry instance of this system.
    Entry,
}

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance accepts new work.
    Live,
    /// The instance is shutting down and must get no new work.
    Leaving,
}

/// Exclusive right of one instance to dispatch the work of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The instance that may dispatch the work.
    pub owner: InstanceId,
    /// Incarnation of the owner.
    pub incarnation: Incarnation,
    /// Random number that distinguishes this claim attempt from all others.
    pub nonce: u64,
    /// Digest of the request body.
    pub body_digest: String,
    /// Stream on the engines, for model calls.
    pub stream: Option<StreamId>,
    /// The first chain of engines, used to resume the stream.
    pub chain: Vec<EngineId>,
    /// Time of the claim, as Unix time in milliseconds.
    pub at_ms: u64,
}

/// Reason why a claim was refused; the work is then not dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// The platform doesn't respond.
    Unavailable,
    /// The object has reached its maximum of claims in the retention window.
    Full,
    /// Concurrent writes of the object kept causing conflicts.
    Contended,
}
