//! Type aliases for identifiers and version numbers used by all crates.

use std::collections::BTreeMap;
use std::sync::Arc;

use uuid::Uuid;

/// Name of a client account.
pub type AccountId = Arc<str>;
/// Attempt number of a stream; a higher attempt fences all lower ones.
pub type Attempt = u32;
/// Name of a failure domain.
pub type DomainId = Arc<str>;
/// Name of a model engine, a kind of backend server.
pub type EngineId = Arc<str>;
/// Identifies one process start of an instance; a later start has a higher number.
pub type Incarnation = u64;
/// Name of an instance.
pub type InstanceId = Arc<str>;
/// Label values by name; ordered, so that records serialise deterministically.
pub type Labels = BTreeMap<String, String>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Version of a platform object; 0 means that the object doesn't exist.
pub type ObjectVersion = u64;
/// Index of a token in a stream; the first token of the prompt has index 0.
pub type Position = u32;
/// Id of a request in the form `{instance}.{uuid}`.
pub type RequestId = Arc<str>;
/// Id of a segment of a prompt, which requests may share.
pub type SegmentId = Arc<str>;
/// Name of a plain service.
pub type ServiceId = Arc<str>;
/// Name of a site.
pub type SiteId = Arc<str>;
/// How often the platform's store has been restored from a backup. A restored store
/// continues from the backup's revision and issues later revisions again, so revisions
/// are only comparable within an era.
pub type StoreEra = u64;
/// Id of a stream, shared by all engines that process it.
pub type StreamId = Uuid;
