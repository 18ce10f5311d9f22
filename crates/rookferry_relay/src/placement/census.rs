//! Which engines of a service are there to plan with.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::Arrivals;
use rookferry_core::LayoutEngine;
use rookferry_core::ServingService;
use rookferry_wire::ServiceId;

use super::orders::Orders;
use crate::relay::Relay;
use crate::view::ServerTable;

/// How long a server is out before its layers count as lost. A crashed
/// engine comes back empty, so waiting longer gains nothing; a lost packet
/// or a short pause is over by then.
const LOST_AFTER: Duration = Duration::from_millis(400);
/// Heartbeats of the engines to wait for, where none holds a layer, before
/// the first plan; a plan for a part of them would have to be undone.
const FIRST_PLAN_HEARTBEATS: f64 = 1.2;
/// The same since the last engine was first seen; also for a domain whose
/// engines come back after a cut. Without it a domain was planned with 10 of
/// its 11 engines a moment after the cut, and held next to no room afterwards.
const QUIET_HEARTBEATS: f64 = 0.6;
/// The part of a site's engines that may be out before it is more likely
/// that this instance is cut off than that they are lost.
const MAX_LOST_PART: f64 = 0.34;

/// How the engines of a service began to show.
#[derive(Clone, Copy, Debug)]
struct FirstShow {
    first_at: Instant,
    last_at: Instant,
    engines: usize,
}

/// What is known of the engines, and of how they came to be listed.
pub(super) struct Census {
    relay: Arc<Relay>,
    shown: BTreeMap<ServiceId, FirstShow>,
    /// Engines that came to be listed, by service.
    arrivals: BTreeMap<ServiceId, Arrivals>,
}

impl Census {
    pub(super) const fn new(relay: Arc<Relay>) -> Self {
        Self {
            relay,
            shown: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        }
    }

    /// The engines to plan with: those that stay, without those of domains
    /// whose engines are coming back.
    pub(super) fn take(
        &mut self,
        service: &ServingService,
        table: &ServerTable,
        orders: &Orders,
    ) -> Vec<LayoutEngine> {
        let engines = self.layout(service, table, orders);
        self.settled(service, engines)
    }

    /// How often backend servers write their entries.
    fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.relay.settings.bounds.heartbeat_ms)
    }

    /// The engines without those of domains whose engines are coming back.
    fn settled(
        &mut self,
        service: &ServingService,
        engines: Vec<LayoutEngine>,
    ) -> Vec<LayoutEngine> {
        let now = Instant::now();
        let window = self.heartbeat().mul_f64(QUIET_HEARTBEATS);
        let arrivals = self.arrivals.entry(service.name.clone());
        let arrivals = arrivals.or_insert_with(|| Arrivals::new(window));
        arrivals.observe(&engines, now);
        let settled = engines.into_iter();
        settled
            .filter(|engine| !arrivals.is_returning(&engine.domain, now))
            .collect()
    }

    /// Whether the engines have just begun to show, and hold nothing yet.
    pub(super) fn is_filling(
        &mut self,
        service: &ServingService,
        engines: &[LayoutEngine],
    ) -> bool {
        let now = Instant::now();
        let heartbeat = self.heartbeat();
        let shown = self.shown.entry(service.name.clone());
        let shown = shown.or_insert(FirstShow {
            first_at: now,
            last_at: now,
            engines: 0,
        });
        if shown.engines < engines.len() {
            shown.engines = engines.len();
            shown.last_at = now;
        }
        let is_early = shown.first_at.elapsed() < heartbeat.mul_f64(FIRST_PLAN_HEARTBEATS)
            || shown.last_at.elapsed() < heartbeat.mul_f64(QUIET_HEARTBEATS);
        is_early && engines.iter().all(|engine| engine.held.is_none())
    }

    /// The engines that stay, with what they hold or were ordered to hold.
    fn layout(
        &self,
        service: &ServingService,
        table: &ServerTable,
        orders: &Orders,
    ) -> Vec<LayoutEngine> {
        let now = Instant::now();
        let staying: Vec<_> = table
            .of(&service.name)
            .filter(|server| !server.is_leaving)
            .collect();
        let health = self.relay.health();
        let is_lost = |addr| {
            let since = health.out_since(addr);
            since.is_some_and(|since| now.saturating_duration_since(since) >= LOST_AFTER)
        };
        let lost = staying.iter().filter(|server| is_lost(server.addr)).count();
        let trusts_health = lost as f64 <= staying.len() as f64 * MAX_LOST_PART;
        let layout = staying
            .iter()
            .filter(|server| !(trusts_health && is_lost(server.addr)))
            .map(|server| {
                let ordered = orders.layers(&server.id);
                LayoutEngine {
                    engine: server.id.clone(),
                    domain: server.domain.clone(),
                    kind: server.accelerator.clone().unwrap_or_default(),
                    held: ordered.or(server.held),
                    is_busy: ordered.is_some(),
                }
            });
        layout.collect()
    }
}
