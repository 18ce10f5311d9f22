//! Requests that ended well lately, whether or not anything spoke against them.
//!
//! Load pattern: many callers send a sound request in the same words, so that
//! some of its runs are on each server that ends of something else. Three such
//! ends in two seconds, with no run that ended between, look like a request at
//! fault; that it ended well a moment before tells it apart.

use std::collections::HashMap;
use std::time::Instant;

use super::RequestSignature;

/// Most requests of a generation. Two are kept; an instance of a large site ends some
/// ten requests a second.
const MAX_GENERATION: usize = 2_048;

/// When requests last ended well.
#[derive(Clone, Debug, Default)]
pub(super) struct FinishedRequests {
    newer: HashMap<RequestSignature, Instant>,
    older: HashMap<RequestSignature, Instant>,
}

impl FinishedRequests {
    /// A run of a request ended well.
    pub(super) fn note(&mut self, signature: RequestSignature, now: Instant) {
        if self.newer.len() >= MAX_GENERATION && !self.newer.contains_key(&signature) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(signature, now);
    }

    /// When a request last ended well, if that is known.
    pub(super) fn last(&self, signature: RequestSignature) -> Option<Instant> {
        let newer = self.newer.get(&signature);
        newer.or_else(|| self.older.get(&signature)).copied()
    }

    /// How many requests are kept.
    pub(super) fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }
}
