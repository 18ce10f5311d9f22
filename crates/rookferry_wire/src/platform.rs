//! The platform's objects: versions, conditional updates, watches, and the
//! lagging list of instances.

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

/// Kind of the objects that hold claims.
pub const CLAIMS_KIND: &str = "claims";
/// Kind of the objects that hold leases.
pub const LEASES_KIND: &str = "leases";

/// One object as the platform holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name within its kind.
    pub name: String,
    /// Version, raised by each write of any object of the kind.
    pub version: ObjectVersion,
    /// The value; `null` once deleted.
    pub value: serde_json::Value,
}

/// A conditional update.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutRequest {
    /// The version that must be current; 0 to create.
    pub expected: ObjectVersion,
    /// The new value; `null` deletes.
    pub value: serde_json::Value,
}

/// What became of a conditional update.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum PutAnswer {
    /// It took effect.
    Written {
        /// The new version.
        version: ObjectVersion,
    },
    /// Another write came first.
    Conflict {
        /// The object as it is now, if it exists.
        current: Option<Object>,
    },
}

/// Changes of one kind since a version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Changed objects, oldest first.
    pub objects: Vec<Object>,
    /// Where to watch from next.
    pub version: ObjectVersion,
}

/// The platform's list of instances, which lags.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All known instances.
    pub instances: Vec<InstanceEntry>,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Its name.
    pub name: InstanceId,
    /// What it runs.
    pub kind: InstanceKind,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
    /// Live or leaving.
    pub state: InstanceState,
}

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A model engine.
    ModelEngine,
    /// A plain service.
    AppEngine,
    /// An entry instance of this system.
    Entry,
}

/// Whether an instance is to get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It takes work.
    Live,
    /// It gets no new work.
    Leaving,
}

/// Who may dispatch a key's work, and where it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The instance that may dispatch it.
    pub owner: InstanceId,
    /// The run of that instance.
    pub incarnation: Incarnation,
    /// Tells this try at claiming from all others.
    pub nonce: u64,
    /// Digest of the request's body.
    pub body_digest: String,
    /// The stream on the engines, for model calls.
    pub stream: Option<StreamId>,
    /// The first chain, for whoever resumes it.
    pub chain: Vec<EngineId>,
    /// When it was claimed, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Why a claim was refused; the work is then not dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// The platform doesn't answer.
    Unavailable,
    /// The object can take no more claims in its window.
    Full,
    /// Others write the object all the time.
    Contended,
}
