//! Order in which requests may use the engines' cache while it is scarce.
//!
//! Load pattern: callers of different urgency want more cache than there is, at many
//! instances that decide alone, and callers that were refused before return and are late
//! whatever is done. As with trunk reservation in telephony, each class of requests may
//! fill the cache only up to its own share of it. What it leaves is found free by the
//! classes before it. The fill is known over the whole site by the loads that instances
//! send each other, so that the order holds over the site without further messages.

use super::Urgency;

/// Share of the cache that each rank of urgency leaves to the ranks before it. Loads
/// are known some tenths of a second late, in which about a tenth of the cache fills.
const RANK_RESERVE: f64 = 0.12;
/// Share that late requests leave to those that can still be in time.
const LATE_RESERVE: f64 = 0.15;
/// Highest rank that is told apart, so that the least urgent keep most of the cache.
const MAX_RANK: u8 = 3;

/// A request's place in the order of admission: the urgency first, then requests that can
/// be in time before late ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionClass {
    /// The request's urgency.
    pub urgency: Urgency,
    /// Whether the request misses its latency objective even if it starts now.
    pub is_late: bool,
    /// How many higher urgencies are in demand. It comes last, as it may change while
    /// requests of one urgency wait.
    pub rank: u8,
}

impl AdmissionClass {
    /// Whether no class goes before it, so that it may use the whole cache.
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.rank == 0 && !self.is_late
    }

    /// The share of an engine's cache that requests of the class may fill.
    #[must_use]
    pub fn cache_share(&self) -> f64 {
        let late_reserve = if self.is_late { LATE_RESERVE } else { 0.0 };
        1.0 - RANK_RESERVE * f64::from(self.rank.min(MAX_RANK)) - late_reserve
    }
}
