//! Which era the platform's store is in, from answers that may be late, tell
//! nothing, or tell something that isn't so.
//!
//! An answer to a call from before a later era was heard of is late. One that tells
//! a lower era though it was asked after is the store's own word that there is no
//! such later era: without that, a single wrong number would have all later answers
//! dropped.

use std::time::Instant;

use rookferry_wire::StoreEra;

/// What the era of an answer says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraVerdict {
    /// It is of the known era, or tells none.
    Current,
    /// It is the first of another era; what was known of revisions is void.
    Changed {
        /// The era known before.
        before: Option<StoreEra>,
    },
    /// It is of an era that is over.
    Late,
}

/// The era of the store, as one instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    known: Option<StoreEra>,
    known_since: Option<Instant>,
    /// The lowest era that was heard of and that the store has denied.
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

    /// The era; 0 while none was heard of.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.known.unwrap_or(0)
    }

    /// Takes in what an answer of the store tells; it was asked at a time.
    pub fn observe(
        &mut self,
        told: Option<StoreEra>,
        asked_at: Instant,
        now: Instant,
    ) -> EraVerdict {
        let Some(told) = told else {
            return EraVerdict::Current;
        };
        let before = self.known;
        if before == Some(told) {
            return EraVerdict::Current;
        }
        if let Some(known) = before.filter(|known| told < *known) {
            if self.known_since.is_some_and(|since| asked_at < since) {
                return EraVerdict::Late;
            }
            self.denied = Some(self.denied.map_or(known, |denied| denied.min(known)));
        } else if self.is_denied(told) {
            self.denied = None;
        }
        self.known = Some(told);
        self.known_since = Some(now);
        EraVerdict::Changed { before }
    }

    /// Another instance knows of an era; tells whether it is news here.
    pub fn hear(&mut self, era: StoreEra, now: Instant) -> bool {
        let is_news = self.era() < era && !self.is_denied(era);
        if is_news {
            self.known = Some(era);
            self.known_since = Some(now);
        }
        is_news
    }

    /// Whether the store has said that there is no such era.
    #[must_use]
    pub fn is_denied(&self, era: StoreEra) -> bool {
        self.denied.is_some_and(|denied| era >= denied)
    }
}
