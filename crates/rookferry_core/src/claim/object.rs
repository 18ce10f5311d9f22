//! The platform object that holds a shard's claims.

use std::collections::BTreeMap;

use rookferry_wire::EngineId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use rookferry_wire::StreamId;
use serde::Deserialize;
use serde::Serialize;

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

/// A shard's claims by digest of key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimObject {
    /// The claims.
    pub claims: BTreeMap<String, Claim>,
}

impl ClaimObject {
    /// Drops claims older than the window.
    pub fn prune(&mut self, now_ms: u64, window_ms: u64) {
        self.claims
            .retain(|_, claim| claim.at_ms.saturating_add(window_ms) >= now_ms);
    }
}
