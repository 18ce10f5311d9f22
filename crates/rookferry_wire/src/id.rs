//! Aliases for the ids that all parts share.

use std::collections::BTreeMap;
use std::sync::Arc;

use uuid::Uuid;

/// Name of a client account.
pub type AccountId = Arc<str>;
/// Number of a try at a stream; a higher one fences all lower ones.
pub type Attempt = u32;
/// Name of a failure domain.
pub type DomainId = Arc<str>;
/// Name of a backend server that is a model engine.
pub type EngineId = Arc<str>;
/// Distinguishes two runs of one instance; higher is later.
pub type Incarnation = u64;
/// Name of an instance.
pub type InstanceId = Arc<str>;
/// Labels by name, in order so that records read the same each time.
pub type Labels = BTreeMap<String, String>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Version of a platform object; 0 means that it doesn't exist.
pub type ObjectVersion = u64;
/// Index of a token in a stream, the prompt's first token being 0.
pub type Position = u32;
/// Id of a request, `{instance}.{uuid}`.
pub type RequestId = Arc<str>;
/// Name of a plain service.
pub type ServiceId = Arc<str>;
/// Name of a site.
pub type SiteId = Arc<str>;
/// How often the platform's store has come back from a copy. Its revisions go on
/// from the copy's and are given out again, so they only compare within an era.
pub type StoreEra = u64;
/// Id of a stream on the engines.
pub type StreamId = Uuid;
