//! Orders engines to hold layers, under the site's lease.
//!
//! One instance holds the lease and plans for the whole site from what the
//! engines' entries say, so that a new holder goes on from what stands. An
//! order names the engine's sequence as last reported; an engine that has
//! taken another order meanwhile refuses it, which fences orders of a former
//! holder.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use http::StatusCode;
use rookferry_core::Arrivals;
use rookferry_core::LayoutEngine;
use rookferry_core::LayoutPlanner;
use rookferry_core::Lease;
use rookferry_core::LeaseAction;
use rookferry_core::LeaseTiming;
use rookferry_core::ModelShape;
use rookferry_core::NeededPlacement;
use rookferry_core::ServingService;
use rookferry_wire::EngineId;
use rookferry_wire::Incarnation;
use rookferry_wire::LayerRange;
use rookferry_wire::ServiceId;
use slog::info;
use slog::warn;

use crate::event_log::Weight;
use crate::protocol::EngineReport;
use crate::relay::Relay;
use crate::relay::lock;
use crate::store::StoreError;
use crate::upstream::Upstream;
use crate::view::ServerTable;

/// How long the lease lasts; a dead holder is replaced after about this.
const LEASE: Duration = Duration::from_secs(2);
/// How long a sender may be paused between its check and its sending. Orders
/// name the engine's sequence, so nothing waits for it.
const PAUSE_BOUND: Duration = Duration::from_secs(1);
/// How often a rival looks at the lease while it hears no holder.
const RIVAL_READS: Duration = Duration::from_millis(500);
/// The same while it hears one; covers a holder that has lost the lease to
/// another without knowing.
const QUIET_READS: Duration = Duration::from_secs(15);
/// How long no holder must have been heard before an instance orders engines
/// of its own domain without a lease: longer than another takes to get it.
const DEPUTY_AFTER: Duration = Duration::from_millis(3_500);
/// Longest time between two plans; a change of the fleet brings one forward.
const PLAN_EVERY: Duration = Duration::from_millis(500);
/// Least time between two plans.
const PLAN_PAUSE: Duration = Duration::from_millis(60);
/// How long an order may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an ordered engine may take to show its layers before it is asked.
const PLACED_AFTER: Duration = Duration::from_secs(4);
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

#[derive(Clone, Copy, Debug)]
struct Ordered {
    layers: LayerRange,
    at: Instant,
}

/// The engines that an instance may order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// None.
    Nothing,
    /// Those of its own failure domain, while there is no holder.
    Domain,
    /// All.
    Site,
}

/// How the engines of a service began to show.
#[derive(Clone, Copy, Debug)]
struct FirstShow {
    first_at: Instant,
    last_at: Instant,
    engines: usize,
}

/// Plans and orders while this instance holds the lease.
pub(crate) struct Placement {
    relay: Arc<Relay>,
    lease: Lease,
    read_at: Option<Instant>,
    /// Whether this instance held the lease when the store last answered.
    was_holder: bool,
    /// Since when the store hasn't answered about the lease.
    away_since: Option<Instant>,
    started_at: Instant,
    ordered: BTreeMap<EngineId, Ordered>,
    shown: BTreeMap<ServiceId, FirstShow>,
    /// Engines that came to be listed, by service.
    arrivals: BTreeMap<ServiceId, Arrivals>,
}

impl Placement {
    pub(crate) fn new(relay: Arc<Relay>, incarnation: Incarnation) -> Self {
        let timing = LeaseTiming {
            duration: LEASE,
            pause_bound: PAUSE_BOUND,
        };
        Self {
            lease: Lease::new(relay.settings.instance.clone(), incarnation, timing),
            relay,
            read_at: None,
            was_holder: false,
            away_since: None,
            started_at: Instant::now(),
            ordered: BTreeMap::new(),
            shown: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        let mut fleet = self.relay.fleet_changes.subscribe();
        loop {
            if self.relay.is_leaving() {
                return self.give_up().await;
            }
            self.keep_lease().await;
            self.plan_all().await;
            tokio::time::sleep(PLAN_PAUSE).await;
            tokio::select! {
                () = tokio::time::sleep(PLAN_EVERY) => {}
                _ = fleet.changed(), if self.orders() || self.relay.is_leaving() => {}
            }
        }
    }

    /// Whether this instance ordered engines of the whole site when it last
    /// looked.
    fn orders(&self) -> bool {
        self.relay.holds_lease.load(Ordering::Relaxed)
    }

    fn is_holder(&self) -> bool {
        self.lease.fence_for(Instant::now(), true).is_some()
    }

    /// Which engines this instance may order now.
    fn scope(&self) -> Scope {
        if self.is_holder() {
            return Scope::Site;
        }
        let now = Instant::now();
        let peers = lock(&self.relay.peers);
        if peers.hears_holder(now) {
            return Scope::Nothing;
        }
        // While the store is away nobody can take the lease over, and orders
        // of two would meet the engines' own count of orders.
        if self.was_holder && self.away_since.is_some() {
            return Scope::Site;
        }
        let own = &self.relay.settings;
        let heard_at = peers.holder_at().unwrap_or(self.started_at);
        let is_deputy = now.saturating_duration_since(heard_at) >= DEPUTY_AFTER
            && peers.is_first(&own.instance, &own.domain, now);
        if is_deputy {
            Scope::Domain
        } else {
            Scope::Nothing
        }
    }

    /// Lets another instance take the lease at once.
    async fn give_up(&mut self) {
        if let Some((expected, object)) = self.lease.release() {
            // If it fails, the lease runs out by itself.
            let _ = self.relay.store.write_lease(expected, &object).await;
        }
        self.note_lease();
    }

    async fn keep_lease(&mut self) {
        let asked_at = Instant::now();
        let is_heard = lock(&self.relay.peers).hears_holder(asked_at);
        let pause = if is_heard { QUIET_READS } else { RIVAL_READS };
        // Of the others one a domain is a rival, the one that asks the store.
        let is_due = !self.is_holder()
            && !self.relay.relies_on_peers()
            && !self.relay.is_store_away.load(Ordering::Relaxed)
            && self
                .read_at
                .is_none_or(|read_at| read_at.elapsed() >= pause);
        if is_due {
            self.read_at = Some(asked_at);
            match self.relay.store.lease().await {
                Ok(current) => {
                    self.lease.observed(asked_at, current.as_ref());
                    self.store_answered();
                }
                // It shows as a lost dependency where the servers are read.
                Err(_) => {
                    self.away_since.get_or_insert(asked_at);
                }
            }
        }
        // What isn't read while a holder is heard looks run out, and isn't.
        let may_write = self.is_holder() || (is_due && !is_heard);
        if may_write
            && let LeaseAction::Write { expected, object } = self.lease.next(Instant::now())
        {
            let sent_at = Instant::now();
            match self.relay.store.write_lease(expected, &object).await {
                Ok(version) => {
                    self.lease.written(sent_at, version, object);
                    self.store_answered();
                    self.was_holder = true;
                }
                Err(StoreError::Conflict { current }) => {
                    self.lease.observed(Instant::now(), current.as_ref());
                    self.store_answered();
                }
                // Whether it was written is read back next time.
                Err(_) => {
                    self.read_at = None;
                    self.away_since.get_or_insert(sent_at);
                }
            }
        }
        self.note_lease();
    }

    fn store_answered(&mut self) {
        self.away_since = None;
        self.was_holder = self.is_holder();
    }

    fn note_lease(&mut self) {
        let is_held = self.scope() == Scope::Site;
        if self.relay.holds_lease.swap(is_held, Ordering::Relaxed) == is_held {
            return;
        }
        self.ordered.clear();
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            let holder = self.lease.holder().map(|lease| lease.holder.to_string());
            let fence = self.lease.holder().map(|lease| lease.fence);
            let event = if is_held { "lease_held" } else { "lease_lost" };
            info!(log, "placement: the lease changed"; "event" => event,
                "holder" => holder, "fence" => fence);
        }
    }

    async fn plan_all(&mut self) {
        let scope = self.scope();
        let view = self.relay.view.load_full();
        let (Some(index), Some(table)) = (&view.index, &view.servers) else {
            return;
        };
        for service in &index.config().services {
            if let Some(model) = &service.model {
                let longest_pause = index.config().longest_pause(&service.name);
                self.plan(service, model, longest_pause, table, scope).await;
            }
        }
    }

    async fn plan(
        &mut self,
        service: &ServingService,
        model: &ModelShape,
        longest_pause: Option<Duration>,
        table: &ServerTable,
        scope: Scope,
    ) {
        if scope != Scope::Nothing {
            self.settle(service, table).await;
        }
        // Also by those that don't order: one that begins to knows what has
        // just come back.
        let engines = self.layout(service, table);
        let mut engines = self.settled(service, engines);
        if scope == Scope::Nothing {
            return;
        }
        if scope == Scope::Domain {
            let own = &self.relay.settings.domain;
            engines.retain(|engine| engine.domain == *own);
        }
        if engines.is_empty() || self.is_filling(service, &engines) {
            return;
        }
        let planner = LayoutPlanner::new(model);
        let planner = match longest_pause {
            Some(pause) => planner.with_longest_pause(pause),
            None => planner,
        };
        let needed = planner.plan(&engines);
        if needed.is_empty() {
            return;
        }
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            info!(log, "placement: layers are needed"; "event" => "placement_planned",
                "service" => &*service.name, "engines" => engines.len(),
                "orders" => needed.len(),
                "missing" => needed.iter().filter(|placement| placement.is_missing).count());
        }
        let orders = needed
            .into_iter()
            .map(|placement| self.order(service, table, placement));
        let taken = join_all(orders).await;
        let at = Instant::now();
        for placement in taken.into_iter().flatten() {
            let layers = placement.layers;
            self.ordered
                .insert(placement.engine, Ordered { layers, at });
        }
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
    fn is_filling(&mut self, service: &ServingService, engines: &[LayoutEngine]) -> bool {
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
    fn layout(&self, service: &ServingService, table: &ServerTable) -> Vec<LayoutEngine> {
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
                let ordered = self.ordered.get(&server.id);
                LayoutEngine {
                    engine: server.id.clone(),
                    domain: server.domain.clone(),
                    kind: server.accelerator.clone().unwrap_or_default(),
                    held: ordered.map(|ordered| ordered.layers).or(server.held),
                    is_busy: ordered.is_some(),
                }
            });
        layout.collect()
    }

    /// Forgets orders that show in the engines' entries, or didn't come about.
    async fn settle(&mut self, service: &ServingService, table: &ServerTable) {
        let mut overdue = Vec::new();
        self.ordered.retain(|id, ordered| {
            let server = table.of(&service.name).find(|server| server.id == *id);
            let Some(server) = server else {
                return false;
            };
            if server.held == Some(ordered.layers) {
                return false;
            }
            if ordered.at.elapsed() >= PLACED_AFTER {
                overdue.push((id.clone(), server.addr));
            }
            true
        });
        for (id, addr) in overdue {
            let report = self.report(self.relay.upstream(addr, service)).await;
            let Some(ordered) = self.ordered.get_mut(&id) else {
                continue;
            };
            if report.is_some_and(|report| report.is_busy || report.held == Some(ordered.layers)) {
                ordered.at = Instant::now();
            } else {
                self.ordered.remove(&id);
            }
        }
    }

    /// What an engine says of itself, if it answers.
    async fn report(&self, upstream: Upstream) -> Option<EngineReport> {
        let protocol = &self.relay.protocol;
        let request = protocol.report_call().request(upstream.addr);
        let answer = self.relay.pool.call(upstream, request, ORDER_TIMEOUT).await;
        protocol.read_report(&answer.ok()?.body).ok()
    }

    /// Orders an engine to hold layers; tells if it may have taken the order.
    async fn order(
        &self,
        service: &ServingService,
        table: &ServerTable,
        placement: NeededPlacement,
    ) -> Option<NeededPlacement> {
        let protocol = &self.relay.protocol;
        let server = table
            .of(&service.name)
            .find(|server| server.id == placement.engine)?;
        let upstream = self.relay.upstream(server.addr, service);
        let report = self.report(upstream).await?;
        if report.is_busy {
            return Some(placement);
        }
        // The lease may have run out while the engine was asked.
        if self.scope() == Scope::Nothing {
            return None;
        }
        let call = protocol.place_call(placement.layers, Some(report.sequence));
        let request = call.request(server.addr);
        let answer = self.relay.pool.call(upstream, request, ORDER_TIMEOUT).await;
        let outcome = match &answer {
            Ok(answer) => answer.status.as_str().to_owned(),
            Err(error) => error.to_string(),
        };
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            info!(log, "placement: an engine is ordered"; "event" => "order_sent",
                "engine" => &*placement.engine, "addr" => %server.addr, "order" => "place",
                "layers" => format!("{}-{}", placement.layers.start, placement.layers.end),
                "missing" => placement.is_missing, "sequence" => report.sequence,
                "outcome" => &outcome);
        }
        match answer {
            Ok(answer) if answer.status.is_success() => Some(placement),
            Ok(answer) if answer.status == StatusCode::CONFLICT => None,
            Ok(answer) => {
                if let Some(log) = self.relay.events.line(Weight::Notable) {
                    warn!(log, "placement: an order was refused"; "event" => "order_failed",
                        "engine" => &*placement.engine, "order" => "place",
                        "cause" => answer.status.as_str());
                }
                None
            }
            // It may have been taken.
            Err(error) if !error.is_unsent() => Some(placement),
            Err(_) => None,
        }
    }
}
