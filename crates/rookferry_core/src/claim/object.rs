//! The platform object that holds a shard's claims.

use std::collections::BTreeMap;

use rookferry_wire::Claim;
use serde::Deserialize;
use serde::Serialize;

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
