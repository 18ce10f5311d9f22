//! Selects the engines of a service that a layout is planned with.
//!
//! Engines that leave, that have just appeared, or that count as lost are left out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rookferry_core::FleetInventory;
use rookferry_core::LayoutEngine;
use rookferry_core::ServingService;
use rookferry_net::clock;
use rookferry_wire::ServiceId;

use super::orders::Orders;
use crate::relay::Relay;
use crate::view::ServerTable;

/// How long a server that has exited is unresponsive before its layers count as lost. It
/// comes back empty, so waiting longer gains nothing.
const LOST_AFTER_EXIT: Duration = Duration::from_millis(400);
/// The same for one that is only silent: a sound engine may be for a second or more, and
/// is found to answer again some time later.
const LOST_AFTER_SILENCE: Duration = Duration::from_secs(2);
/// Share of a site's engines that may be unresponsive; above it, this instance is more
/// likely partitioned than the engines lost.
const MAX_LOST_SHARE: f64 = 0.34;

/// The engines seen so far, and when they were listed.
pub(super) struct Inventory {
    relay: Arc<Relay>,
    /// The engines seen so far, by service.
    fleets: BTreeMap<ServiceId, FleetInventory>,
}

impl Inventory {
    pub(super) const fn new(relay: Arc<Relay>) -> Self {
        Self {
            relay,
            fleets: BTreeMap::new(),
        }
    }

    /// The engines to plan with: without those that leave or have only just appeared.
    pub(super) fn engines_to_plan(
        &mut self,
        service: &ServingService,
        table: &ServerTable,
        orders: &Orders,
    ) -> Vec<LayoutEngine> {
        let engines = self.layout(service, table, orders);
        let heartbeat = Duration::from_millis(self.relay.settings.bounds.heartbeat_ms);
        let fleet = self.fleets.entry(service.name.clone());
        let fleet = fleet.or_insert_with(|| FleetInventory::new(heartbeat));
        fleet.observe(engines, clock::now())
    }

    /// The engines that stay, with the layers they hold or were ordered to hold.
    fn layout(
        &self,
        service: &ServingService,
        table: &ServerTable,
        orders: &Orders,
    ) -> Vec<LayoutEngine> {
        let now = clock::now();
        let staying: Vec<_> = table
            .of(&service.name)
            .filter(|server| !self.relay.states.is_leaving(server))
            .collect();
        let health = self.relay.states.health();
        let broken_runs = self.relay.states.broken_runs.lock();
        let is_lost = |server| {
            let lost_after = if broken_runs.has_exited(server) {
                LOST_AFTER_EXIT
            } else {
                LOST_AFTER_SILENCE
            };
            let since = health.unresponsive_since(server);
            since.is_some_and(|since| now.saturating_duration_since(since) >= lost_after)
        };
        let lost = staying.iter().filter(|server| is_lost(server.key)).count();
        let is_isolated = self.relay.links.paths().is_isolated(&service.name);
        let trusts_health = !is_isolated && lost as f64 <= staying.len() as f64 * MAX_LOST_SHARE;
        let layout = staying
            .iter()
            .filter(|server| !(trusts_health && is_lost(server.key)))
            .map(|server| {
                let ordered = orders.layers(server.key);
                LayoutEngine {
                    engine: server.id.clone(),
                    domain: server.domain.clone(),
                    kind: server.accelerator.as_deref().unwrap_or_default().to_owned(),
                    held: ordered.or(server.held),
                    is_busy: ordered.is_some(),
                }
            });
        layout.collect()
    }
}
