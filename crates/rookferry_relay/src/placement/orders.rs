//! Orders sent to engines, tracked until they show in the engines' entries.
//!
//! Load pattern: thousands of engines start empty, and one instance with an eighth of a
//! core orders them all. Sent at once, the calls take so long that each reaches its time
//! limit and the lease expires. They are therefore sent a few at a time, and a round of
//! them leaves time to renew the lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream;
use http::StatusCode;
use rookferry_core::NeededPlacement;
use rookferry_core::ServerKey;
use rookferry_core::ServingService;
use rookferry_net::clock;
use rookferry_wire::LayerRange;
use slog::info;
use slog::warn;

use crate::event_log::Weight;
use crate::protocol::EngineReport;
use crate::relay::Relay;
use crate::upstream::Upstream;
use crate::view::ServerTable;

/// Time limit of one call of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an ordered engine may take to show its layers before it is asked for a
/// report.
const PLACEMENT_GRACE: Duration = Duration::from_secs(4);
/// Engines that are called concurrently. Each answers within a few milliseconds, so more
/// calls would only queue in this process.
const MAX_CONCURRENT_CALLS: usize = 32;
/// How long a round starts new calls. With the two calls of the last engine, which may
/// take 1.2 s, the round ends within the lease's 2 s.
const ROUND_DURATION: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    layers: LayerRange,
    at: Instant,
}

/// An order that an engine accepted, or may have accepted.
#[derive(Clone, Copy, Debug)]
struct AcceptedOrder {
    engine: ServerKey,
    layers: LayerRange,
}

/// Pending orders.
pub(super) struct Orders {
    relay: Arc<Relay>,
    /// By the incarnation that each was sent to: a restarted engine doesn't know of
    /// earlier orders.
    pending: BTreeMap<ServerKey, PendingOrder>,
}

impl Orders {
    pub(super) const fn new(relay: Arc<Relay>) -> Self {
        Self {
            relay,
            pending: BTreeMap::new(),
        }
    }

    /// The layers that an engine was ordered to hold and doesn't show yet.
    pub(super) fn layers(&self, engine: ServerKey) -> Option<LayerRange> {
        self.pending.get(&engine).map(|pending| pending.layers)
    }

    /// Discards all: another instance orders from now on.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Sends orders for the time of a round, missing layers first; `may_order` is checked
    /// again just before each is sent. Returns whether some are left for the next round.
    pub(super) async fn send(
        &mut self,
        service: &ServingService,
        table: &ServerTable,
        mut needed: Vec<NeededPlacement>,
        may_order: impl Fn() -> bool,
    ) -> bool {
        needed.sort_by_key(|placement| !placement.fills_gap);
        let count = needed.len();
        let orders =
            within_round(needed).map(|placement| self.order(service, table, placement, &may_order));
        let calls = stream::iter(orders).buffer_unordered(MAX_CONCURRENT_CALLS);
        let accepted: Vec<Option<AcceptedOrder>> = calls.collect().await;
        let has_more = accepted.len() < count;
        let at = clock::now();
        for AcceptedOrder { engine, layers } in accepted.into_iter().flatten() {
            self.pending.insert(engine, PendingOrder { layers, at });
        }
        has_more
    }

    /// Discards orders that show in the engines' entries, or that were not carried out.
    pub(super) async fn reconcile(&mut self, service: &ServingService, table: &ServerTable) {
        let mut overdue = Vec::new();
        self.pending.retain(|engine, pending| {
            let Some(server) = table.get(*engine) else {
                return false;
            };
            if server.held == Some(pending.layers) {
                return false;
            }
            let is_askable = self.relay.states.backoff_left(*engine).is_none();
            if is_askable && clock::since(pending.at) >= PLACEMENT_GRACE {
                overdue.push(*engine);
            }
            true
        });
        let polled = within_round(overdue).map(async |engine| {
            let upstream = self.relay.upstream(engine, service);
            (engine, self.report(&upstream).await)
        });
        let calls = stream::iter(polled).buffer_unordered(MAX_CONCURRENT_CALLS);
        let reports: Vec<(ServerKey, Option<EngineReport>)> = calls.collect().await;
        for (engine, report) in reports {
            self.handle_report(engine, report);
        }
    }

    /// Extends the wait for an engine that reports to be working on its order, or to have
    /// completed it.
    fn handle_report(&mut self, engine: ServerKey, report: Option<EngineReport>) {
        let Some(pending) = self.pending.get_mut(&engine) else {
            return;
        };
        if report.is_some_and(|report| report.is_busy || report.held == Some(pending.layers)) {
            pending.at = clock::now();
        } else {
            self.pending.remove(&engine);
        }
    }

    /// An engine's report, if it answers.
    async fn report(&self, upstream: &Upstream) -> Option<EngineReport> {
        let protocol = &self.relay.protocol;
        let request = protocol.report_call().request(upstream.server.addr);
        let answer = self.relay.call(upstream, request, ORDER_TIMEOUT).await;
        protocol.read_report(&answer.ok()?.body).ok()
    }

    /// Orders an engine to hold layers; returns the order if it may have been accepted.
    async fn order(
        &self,
        service: &ServingService,
        table: &ServerTable,
        placement: NeededPlacement,
        may_order: impl Fn() -> bool,
    ) -> Option<AcceptedOrder> {
        let protocol = &self.relay.protocol;
        let server = table.named(&placement.engine)?;
        let accepted = AcceptedOrder {
            engine: server.key,
            layers: placement.layers,
        };
        let upstream = self.relay.upstream(server.key, service);
        let report = self.report(&upstream).await?;
        if !report.is_same_incarnation(server) {
            // The plan was made for the previous process, which held other layers.
            self.relay.other_incarnation_answered(server.key, &report);
            return None;
        }
        if report.is_busy {
            return Some(accepted);
        }
        // The lease may have expired while the engine was asked.
        if !may_order() {
            return None;
        }
        let call = protocol.place_call(placement.layers, Some(report.sequence));
        let request = call.request(server.addr());
        let answer = self.relay.call(&upstream, request, ORDER_TIMEOUT).await;
        // An engine is seldom ordered again, and keeping a connection to each of
        // thousands of engines would take most of this process's memory.
        self.relay.pool.close_idle(server.key);
        let outcome = match &answer {
            Ok(answer) => answer.status.as_str().to_owned(),
            Err(error) => error.to_string(),
        };
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            info!(log, "placement: sent an order to an engine"; "event" => "order_sent",
                "engine" => &*placement.engine, "addr" => %server.addr(), "order" => "place",
                "layers" => format!("{}-{}", placement.layers.start, placement.layers.end),
                "missing" => placement.fills_gap, "sequence" => report.sequence,
                "outcome" => &outcome);
        }
        match answer {
            Ok(answer) if answer.status.is_success() => Some(accepted),
            Ok(answer) if answer.status == StatusCode::CONFLICT => None,
            Ok(answer) => {
                if let Some(log) = self.relay.events.line(Weight::Notable) {
                    warn!(log, "placement: an order was refused"; "event" => "order_failed",
                        "engine" => &*placement.engine, "order" => "place",
                        "cause" => answer.status.as_str());
                }
                None
            }
            // The order may have been accepted.
            Err(error) if !error.is_unsent() => Some(accepted),
            Err(_) => None,
        }
    }
}

/// Yields items until a round that begins now is over.
fn within_round<T>(items: Vec<T>) -> impl Iterator<Item = T> {
    let until = clock::now() + ROUND_DURATION;
    let items = items.into_iter();
    items.take_while(move |_| clock::now() < until)
}
