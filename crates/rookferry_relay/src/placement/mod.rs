//! Orders engines to load layers, under the site's lease.
//!
//! The lease holder plans for the whole site from the engines' entries, so a new holder
//! continues from the current layout. An order carries the engine's last reported
//! sequence number; an engine that has accepted another order since then refuses it,
//! which fences orders of a former holder.

mod inventory;
mod lease_keeper;
mod orders;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rookferry_core::LayoutPlanner;
use rookferry_core::ModelShape;
use rookferry_core::ServingService;
use rookferry_wire::Incarnation;
use slog::info;

use self::inventory::Inventory;
use self::lease_keeper::LeaseKeeper;
use self::lease_keeper::Scope;
use self::orders::Orders;
use crate::event_log::Weight;
use crate::relay::Relay;
use crate::view::ServerTable;

/// Longest time between two plans; a change of the fleet triggers one early.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two plans.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(60);

/// Plans and sends orders while this instance holds the lease.
pub(crate) struct Placement {
    relay: Arc<Relay>,
    keeper: LeaseKeeper,
    inventory: Inventory,
    orders: Orders,
}

impl Placement {
    pub(crate) fn new(relay: Arc<Relay>, incarnation: Incarnation) -> Self {
        Self {
            keeper: LeaseKeeper::new(relay.clone(), incarnation),
            inventory: Inventory::new(relay.clone()),
            orders: Orders::new(relay.clone()),
            relay,
        }
    }

    /// Runs until the process exits.
    pub(crate) async fn run(mut self) {
        let mut fleet = self.relay.fleet_changes.subscribe();
        loop {
            if self.relay.is_leaving() {
                return self.keeper.release_lease().await;
            }
            if self.keeper.renew().await {
                self.orders.clear();
            }
            let has_more = self.plan_all().await;
            tokio::time::sleep(MIN_PLAN_INTERVAL).await;
            if has_more {
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(PLAN_INTERVAL) => {}
                _ = fleet.changed(), if self.holds_lease() || self.relay.is_leaving() => {}
            }
        }
    }

    /// Whether this instance was allowed to order engines of the whole site at the last
    /// check.
    fn holds_lease(&self) -> bool {
        self.relay.holds_lease.load(Ordering::Relaxed)
    }

    /// Plans for all services; returns whether orders are left to send.
    async fn plan_all(&mut self) -> bool {
        let scope = self.keeper.scope();
        let view = self.relay.view.load_full();
        let (Some(index), Some(table)) = (&view.index, &view.servers) else {
            return false;
        };
        let mut has_more = false;
        for service in &index.config().services {
            if let Some(model) = &service.model {
                let longest_pause = index.config().strictest_gap_objective(&service.name);
                has_more |= self.plan(service, model, longest_pause, table, scope).await;
            }
        }
        has_more
    }

    async fn plan(
        &mut self,
        service: &ServingService,
        model: &ModelShape,
        longest_pause: Option<Duration>,
        table: &ServerTable,
        scope: Scope,
    ) -> bool {
        if scope != Scope::Nothing {
            self.orders.reconcile(service, table).await;
        }
        // Also on instances that may not order, so that one that takes over knows which
        // engines have just come back.
        let mut engines = self.inventory.engines_to_plan(service, table, &self.orders);
        if scope == Scope::Nothing {
            return false;
        }
        if scope == Scope::Domain {
            let own = &self.relay.settings.domain;
            engines.retain(|engine| engine.domain == *own);
        }
        if engines.is_empty() {
            return false;
        }
        let planner = LayoutPlanner::new(model);
        let planner = match longest_pause {
            Some(pause) => planner.with_longest_pause(pause),
            None => planner,
        };
        let needed = planner.plan(&engines);
        if needed.is_empty() {
            return false;
        }
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            info!(log, "placement: orders were planned"; "event" => "placement_planned",
                "service" => &*service.name, "engines" => engines.len(),
                "orders" => needed.len(),
                "missing" => needed.iter().filter(|placement| placement.fills_gap).count());
        }
        let keeper = &self.keeper;
        let may_order = || keeper.scope() != Scope::Nothing;
        self.orders.send(service, table, needed, may_order).await
    }
}
