//! Selection of the listed engines that a layout may be planned with.
//!
//! Engines are listed one by one at a site's first start and after a network cut.
//! A plan made for the first of them would have to be undone, so engines are
//! withheld until no more have arrived for some heartbeats.

use std::time::Duration;
use std::time::Instant;

use super::ArrivalTracker;
use super::LayoutEngine;

/// Heartbeats without a new engine after which the first plan is made, if no engine
/// holds a layer. Each engine writes its entry within one heartbeat of its start, and
/// lists arrive slightly late. A site planned from the few engines listed first needs
/// many plans and meanwhile serves with the chain of one domain.
const FIRST_QUIET_HEARTBEATS: f64 = 1.2;
/// Heartbeats after the first engine by which the first plan is made in any case, so
/// that a site to which engines are continually added starts serving.
const FIRST_PLAN_BY_HEARTBEATS: f64 = 4.0;
/// Heartbeats without a new engine after which a domain whose engines return after a cut
/// is planned with. Planned without one of them, it has hardly any cache afterwards.
const QUIET_HEARTBEATS: f64 = 0.6;

/// Number of engines listed so far, and when the first and the last were added.
#[derive(Clone, Copy, Debug)]
struct FirstListed {
    first_at: Instant,
    last_at: Instant,
    engines: usize,
}

/// Tracks how the engines of a service are listed, and which may be planned with.
#[derive(Clone, Debug)]
pub struct FleetInventory {
    heartbeat: Duration,
    arrivals: ArrivalTracker,
    listed: Option<FirstListed>,
}

impl FleetInventory {
    /// Creates an empty inventory. `heartbeat` is the interval at which engines write
    /// their entries.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            arrivals: ArrivalTracker::new(heartbeat.mul_f64(QUIET_HEARTBEATS)),
            listed: None,
        }
    }

    /// Takes all engines that are listed now, and returns those to plan with: none
    /// while the first are still being listed, and none of domains whose engines are
    /// returning.
    pub fn observe(&mut self, engines: Vec<LayoutEngine>, now: Instant) -> Vec<LayoutEngine> {
        self.arrivals.observe(&engines, now);
        // Counts engines of returning domains, too.
        if self.is_filling(&engines, now) {
            return Vec::new();
        }
        let settled = engines.into_iter();
        settled
            .filter(|engine| !self.arrivals.is_returning(&engine.domain, now))
            .collect()
    }

    /// Whether the first engines are still being listed, and none holds a layer.
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
        let is_waiting = since(listed.last_at) < heartbeats(FIRST_QUIET_HEARTBEATS)
            && since(listed.first_at) < heartbeats(FIRST_PLAN_BY_HEARTBEATS);
        is_waiting && engines.iter().all(|engine| engine.held.is_none())
    }
}
