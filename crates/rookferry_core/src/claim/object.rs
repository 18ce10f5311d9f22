//! The platform object that stores the claims of one shard.

use std::collections::BTreeMap;

use rookferry_wire::Claim;
use serde::Deserialize;
use serde::Serialize;

/// The claims of one shard object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimObject {
    /// Claims by digest of account and key.
    pub claims: BTreeMap<String, Claim>,
}

impl ClaimObject {
    /// Removes claims older than `window_ms`; `now_ms` counts from the Unix epoch.
    pub fn prune(&mut self, now_ms: u64, window_ms: u64) {
        self.claims
            .retain(|_, claim| claim.at_ms.saturating_add(window_ms) >= now_ms);
    }
}
