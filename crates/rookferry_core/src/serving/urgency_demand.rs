//! The urgencies of the requests that have lately arrived.
//!
//! Room is reserved only for urgencies that are in demand. A configuration may name
//! priorities that hardly any request has, and a reserve for these would stay unused.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::Urgency;

/// Time constant of the counts: long enough for some tens of requests of an instance that
/// gets a few per second.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Share of all arrivals from which an urgency is in demand.
const MIN_SHARE: f64 = 0.05;
/// Most urgencies that are counted; the rarest is dropped.
const MAX_URGENCIES: usize = 8;

/// Decayed counts of arrivals by urgency.
#[derive(Clone, Debug, Default)]
pub struct UrgencyDemand {
    arrived: BTreeMap<Urgency, f64>,
    updated_at: Option<Instant>,
}

impl UrgencyDemand {
    /// Nothing has arrived yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an arrival.
    pub fn record(&mut self, urgency: Urgency, now: Instant) {
        let since = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        let decay = (-since.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        for arrived in self.arrived.values_mut() {
            *arrived *= decay;
        }
        *self.arrived.entry(urgency).or_default() += 1.0;
        if self.arrived.len() > MAX_URGENCIES {
            let rarest = self
                .arrived
                .iter()
                .min_by(|left, right| left.1.total_cmp(right.1));
            if let Some(rarest) = rarest.map(|(urgency, _)| *urgency) {
                self.arrived.remove(&rarest);
            }
        }
    }

    /// How many higher urgencies are in demand.
    #[must_use]
    pub fn rank(&self, urgency: Urgency) -> u8 {
        let total: f64 = self.arrived.values().sum();
        let higher = self.arrived.range(..urgency);
        let in_demand = higher.filter(|(_, arrived)| **arrived >= total * MIN_SHARE);
        u8::try_from(in_demand.count()).unwrap_or(u8::MAX)
    }
}
