//! Quarantined requests, as stored in the platform's store.
//!
//! Instances keep no state over a restart, and a whole site may restart at once. So the
//! few requests that are quarantined are written to one small object, which an instance
//! reads at its start, and which also reaches instances that receive no heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::RequestSignature;
use super::quarantine::QUARANTINE_PERIOD;
use crate::millis::millis;

/// Most requests in the object, those quarantined last first: 60 bytes each, 15 KB.
const MAX_STORED: usize = 256;

/// The quarantined requests of a site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineObject {
    /// The requests.
    pub held: Vec<QuarantinedRequest>,
}

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Its signature in hexadecimal.
    pub signature: String,
    /// When it was last quarantined, in Unix milliseconds.
    pub since_ms: u64,
}

impl QuarantineObject {
    /// Merges the requests that an instance quarantines, each with its start as Unix
    /// time. Requests whose quarantine is over at `now` are left out.
    #[must_use]
    pub fn with(
        &self,
        quarantined: impl IntoIterator<Item = (RequestSignature, Duration)>,
        now: Duration,
    ) -> Self {
        let stored = self.requests();
        let mut since_by_request = BTreeMap::new();
        for (signature, since) in stored.chain(quarantined) {
            let known = since_by_request.entry(signature).or_insert(since);
            *known = since.max(*known);
        }
        let mut all: Vec<_> = since_by_request.into_iter().collect();
        all.retain(|(_, since)| now.saturating_sub(*since) < QUARANTINE_PERIOD);
        all.sort_by_key(|(_, since)| std::cmp::Reverse(*since));
        all.truncate(MAX_STORED);
        let held = all
            .into_iter()
            .map(|(signature, since)| QuarantinedRequest {
                signature: signature.to_string(),
                since_ms: millis(since),
            });
        Self {
            held: held.collect(),
        }
    }

    /// The object without the requests for which `is_left_out` is true.
    #[must_use]
    pub fn without(&self, is_left_out: impl Fn(RequestSignature) -> bool) -> Self {
        let is_kept = |request: &&QuarantinedRequest| {
            let signature = request.signature.parse();
            !signature.is_ok_and(&is_left_out)
        };
        Self {
            held: self.held.iter().filter(is_kept).cloned().collect(),
        }
    }

    /// The requests, each with the start of its quarantine as Unix time. Signatures that
    /// can't be parsed are skipped.
    pub fn requests(&self) -> impl Iterator<Item = (RequestSignature, Duration)> {
        self.held.iter().filter_map(|request| {
            let signature = request.signature.parse().ok()?;
            Some((signature, Duration::from_millis(request.since_ms)))
        })
    }
}
