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
use super::quarantine::QUARANTINE_MEMORY;
use super::quarantine::quarantine_period;
use crate::millis::millis;

/// Most requests in the object, those quarantined last first.
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
    /// How often it was quarantined.
    #[serde(default = "first_quarantine")]
    pub quarantines: u8,
}

const fn first_quarantine() -> u8 {
    1
}

/// Start and number of a request's quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineStart {
    /// The request.
    pub signature: RequestSignature,
    /// When it was last quarantined, as Unix time.
    pub since: Duration,
    /// How often it was quarantined.
    pub quarantines: u8,
}

impl QuarantineStart {
    fn later(self, other: Self) -> Self {
        Self {
            signature: self.signature,
            since: self.since.max(other.since),
            quarantines: self.quarantines.max(other.quarantines),
        }
    }

    /// Whether a crash at `now` would continue the quarantine.
    fn is_remembered(&self, now: Duration) -> bool {
        let ttl = quarantine_period(self.quarantines) + QUARANTINE_MEMORY;
        now.saturating_sub(self.since) < ttl
    }
}

impl QuarantineObject {
    /// Merges the requests that an instance quarantines. Those whose quarantine is
    /// forgotten at `now`, as Unix time, are left out.
    #[must_use]
    pub fn with(
        &self,
        quarantined: impl IntoIterator<Item = QuarantineStart>,
        now: Duration,
    ) -> Self {
        let stored = self.requests();
        let mut by_request = BTreeMap::new();
        for start in stored.chain(quarantined) {
            let known = by_request.entry(start.signature).or_insert(start);
            *known = known.later(start);
        }
        let mut all: Vec<QuarantineStart> = by_request.into_values().collect();
        all.retain(|start| start.is_remembered(now));
        all.sort_by_key(|start| std::cmp::Reverse(start.since));
        all.truncate(MAX_STORED);
        let held = all.into_iter().map(|start| QuarantinedRequest {
            signature: start.signature.to_string(),
            since_ms: millis(start.since),
            quarantines: start.quarantines,
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

    /// The requests. Those whose signature can't be parsed are skipped.
    pub fn requests(&self) -> impl Iterator<Item = QuarantineStart> {
        self.held.iter().filter_map(|request| {
            Some(QuarantineStart {
                signature: request.signature.parse().ok()?,
                since: Duration::from_millis(request.since_ms),
                quarantines: request.quarantines,
            })
        })
    }
}
