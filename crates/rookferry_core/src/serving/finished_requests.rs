//! Requests that succeeded lately, whether or not servers crashed under them.
//!
//! Load pattern: many callers send the same sound request, so some of its runs are on
//! each server that crashes for another reason. Three such crashes in two seconds,
//! without a successful run in between, look like a faulty request; a success shortly
//! before tells the two apart.

use std::collections::HashMap;
use std::time::Instant;

use super::RequestSignature;

/// Most requests of a generation. Two generations are stored; an instance of a large site
/// finishes some ten requests a second.
const MAX_GENERATION: usize = 2_048;

/// When requests last succeeded, in two generations.
#[derive(Clone, Debug, Default)]
pub(super) struct FinishedRequests {
    newer: HashMap<RequestSignature, Instant>,
    older: HashMap<RequestSignature, Instant>,
}

impl FinishedRequests {
    /// Records that a run of a request succeeded.
    pub(super) fn record(&mut self, signature: RequestSignature, now: Instant) {
        if self.newer.len() >= MAX_GENERATION && !self.newer.contains_key(&signature) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(signature, now);
    }

    /// When a request last succeeded; `None` if that isn't stored.
    pub(super) fn last(&self, signature: RequestSignature) -> Option<Instant> {
        let newer = self.newer.get(&signature);
        newer.or_else(|| self.older.get(&signature)).copied()
    }

    /// How many entries are stored.
    pub(super) fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }
}
