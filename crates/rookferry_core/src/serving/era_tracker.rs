//! The store's era (how often it has been restored from a backup), derived from answers
//! that may be late, lack an era or state a wrong one.
//!
//! An answer to a call that was sent before a later era became known is late. If a call
//! was sent afterwards and its answer states a lower era, the store itself denies the
//! later era. Without this rule a single wrong number would cause all later answers to be
//! dropped.

use std::time::Instant;

use rookferry_wire::StoreEra;

/// How the era in an answer relates to the known era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraVerdict {
    /// The same era, or the answer states none.
    Current,
    /// A different era; what was known of revisions is void.
    Changed {
        /// The era known before.
        before: Option<StoreEra>,
    },
    /// An outdated era.
    Late,
}

/// The store's era, as one instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    known: Option<StoreEra>,
    known_since: Option<Instant>,
    /// The lowest era that was reported and that the store has denied.
    denied: Option<StoreEra>,
}

impl EraTracker {
    /// No era is known.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            known: None,
            known_since: None,
            denied: None,
        }
    }

    /// The era; 0 while none is known.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.known.unwrap_or(0)
    }

    /// Evaluates the era in an answer of the store to a call that was sent at `asked_at`.
    pub fn observe(
        &mut self,
        stated: Option<StoreEra>,
        asked_at: Instant,
        now: Instant,
    ) -> EraVerdict {
        let Some(stated) = stated else {
            return EraVerdict::Current;
        };
        let before = self.known;
        if before == Some(stated) {
            return EraVerdict::Current;
        }
        if let Some(known) = before.filter(|known| stated < *known) {
            if self.known_since.is_some_and(|since| asked_at < since) {
                return EraVerdict::Late;
            }
            self.denied = Some(self.denied.map_or(known, |denied| denied.min(known)));
        } else if self.is_denied(stated) {
            self.denied = None;
        }
        self.known = Some(stated);
        self.known_since = Some(now);
        EraVerdict::Changed { before }
    }

    /// Merges an era that a peer reported; returns whether it is later than the known
    /// one.
    pub fn merge(&mut self, era: StoreEra, now: Instant) -> bool {
        let is_new = self.era() < era && !self.is_denied(era);
        if is_new {
            self.known = Some(era);
            self.known_since = Some(now);
        }
        is_new
    }

    /// Whether the store has denied the era, or a lower one.
    #[must_use]
    pub fn is_denied(&self, era: StoreEra) -> bool {
        self.denied.is_some_and(|denied| era >= denied)
    }
}
