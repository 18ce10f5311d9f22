//! The engines of a service that a layout can be planned with.
//!
//! Engines come to be listed one by one: at a site's first start, and after a
//! cut. A plan for those that are listed so far would have to be undone.

use std::time::Duration;
use std::time::Instant;

use super::Arrivals;
use super::LayoutEngine;

/// Heartbeats without a new engine to wait for, where none holds a layer,
/// before the first plan: each engine writes its entry within one of its
/// start, and a list is a little late. Planned with the few that are listed first, a
/// site needs many plans and serves by one domain's chain meanwhile.
const FIRST_QUIET_HEARTBEATS: f64 = 1.2;
/// Heartbeats after which the first plan is made in any case: engines that go
/// on being added are no reason to serve nothing.
const FIRST_PLAN_BY_HEARTBEATS: f64 = 4.0;
/// Heartbeats without a new engine to wait for in a domain whose engines come
/// back after a cut: planned with all but one of them, a domain has next to no room
/// afterwards.
const QUIET_HEARTBEATS: f64 = 0.6;

/// How the engines of a service began to be listed.
#[derive(Clone, Copy, Debug)]
struct FirstListed {
    first_at: Instant,
    last_at: Instant,
    engines: usize,
}

/// The engines of a service, and how they came to be listed.
#[derive(Clone, Debug)]
pub struct FleetCensus {
    heartbeat: Duration,
    arrivals: Arrivals,
    listed: Option<FirstListed>,
}

impl FleetCensus {
    /// Nothing seen so far. Engines write their entries once a heartbeat.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            arrivals: Arrivals::new(heartbeat.mul_f64(QUIET_HEARTBEATS)),
            listed: None,
        }
    }

    /// Takes the engines that are listed now; gives those to plan with. None
    /// while the first begin to be listed, and none of a domain whose engines
    /// are coming back.
    pub fn observe(&mut self, engines: Vec<LayoutEngine>, now: Instant) -> Vec<LayoutEngine> {
        self.arrivals.observe(&engines, now);
        // All count, also those of domains that are not planned with yet.
        if self.is_filling(&engines, now) {
            return Vec::new();
        }
        let settled = engines.into_iter();
        settled
            .filter(|engine| !self.arrivals.is_returning(&engine.domain, now))
            .collect()
    }

    /// Whether the engines have just begun to be listed, and hold nothing yet.
    fn is_filling(&mut self, engines: &[LayoutEngine], now: Instant) -> bool {
        if engines.is_empty() {
            return false;
        }
        let listed = self.listed.get_or_insert(FirstListed {
            first_at: now,
            last_at: now,
            engines: 0,
        });
        if listed.engines < engines.len() {
            listed.engines = engines.len();
            listed.last_at = now;
        }
        let heartbeats = |count| self.heartbeat.mul_f64(count);
        let since = |at| now.saturating_duration_since(at);
        let is_early = since(listed.last_at) < heartbeats(FIRST_QUIET_HEARTBEATS)
            && since(listed.first_at) < heartbeats(FIRST_PLAN_BY_HEARTBEATS);
        is_early && engines.iter().all(|engine| engine.held.is_none())
    }
}
