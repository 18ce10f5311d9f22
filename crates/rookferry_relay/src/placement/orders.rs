//! Orders that engines were sent, until they show in the engines' entries.
//!
//! Load pattern: thousands of engines that start empty, and one instance with
//! an eighth of a core to order them all. Sent at once they take so long that each
//! runs into its time limit and the lease runs out; so they go a few at a time, and
//! a round of them leaves time to renew the lease.

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

/// How long an order may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an ordered engine may take to show its layers before it is asked.
const PLACED_AFTER: Duration = Duration::from_secs(4);
/// Engines that are called at once. Each answers within a few milliseconds, so
/// that more would only queue in this process.
const CALLS_AT_ONCE: usize = 32;
/// How long a round goes on to call engines. With the last one's two calls,
/// which may take 1.2 s, it ends within the lease's 2 s.
const ROUND: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Ordered {
    layers: LayerRange,
    at: Instant,
}

/// An order that an engine took, or may have taken.
#[derive(Clone, Copy, Debug)]
struct Taken {
    engine: ServerKey,
    layers: LayerRange,
}

/// Orders under way.
pub(super) struct Orders {
    relay: Arc<Relay>,
    /// By the start that each went to: one that starts again knows of none.
    ordered: BTreeMap<ServerKey, Ordered>,
}

impl Orders {
    pub(super) const fn new(relay: Arc<Relay>) -> Self {
        Self {
            relay,
            ordered: BTreeMap::new(),
        }
    }

    /// The layers that an engine was ordered to hold, and doesn't show yet.
    pub(super) fn layers(&self, engine: ServerKey) -> Option<LayerRange> {
        self.ordered.get(&engine).map(|ordered| ordered.layers)
    }

    /// Forgets all: another instance orders from now on.
    pub(super) fn clear(&mut self) {
        self.ordered.clear();
    }

    /// Sends orders that `may_order` still allows when each is about to leave,
    /// missing layers first, for the time of a round. Tells whether some are
    /// left for the next.
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
            for_a_round(needed).map(|placement| self.order(service, table, placement, &may_order));
        let calls = stream::iter(orders).buffer_unordered(CALLS_AT_ONCE);
        let taken: Vec<Option<Taken>> = calls.collect().await;
        let has_more = taken.len() < count;
        let at = clock::now();
        for Taken { engine, layers } in taken.into_iter().flatten() {
            self.ordered.insert(engine, Ordered { layers, at });
        }
        has_more
    }

    /// Forgets orders that show in the engines' entries, or didn't come about.
    pub(super) async fn settle(&mut self, service: &ServingService, table: &ServerTable) {
        let mut overdue = Vec::new();
        self.ordered.retain(|engine, ordered| {
            let Some(server) = table.get(*engine) else {
                return false;
            };
            if server.held == Some(ordered.layers) {
                return false;
            }
            let is_askable = self.relay.beliefs.backoff_left(*engine).is_none();
            if is_askable && clock::since(ordered.at) >= PLACED_AFTER {
                overdue.push(*engine);
            }
            true
        });
        let asked = for_a_round(overdue).map(async |engine| {
            let upstream = self.relay.upstream(engine, service);
            (engine, self.report(upstream).await)
        });
        let calls = stream::iter(asked).buffer_unordered(CALLS_AT_ONCE);
        let reports: Vec<(ServerKey, Option<EngineReport>)> = calls.collect().await;
        for (engine, report) in reports {
            self.take_report(engine, report);
        }
    }

    /// Goes on waiting for an engine that is at its order, by its own word.
    fn take_report(&mut self, engine: ServerKey, report: Option<EngineReport>) {
        let Some(ordered) = self.ordered.get_mut(&engine) else {
            return;
        };
        if report.is_some_and(|report| report.is_busy || report.held == Some(ordered.layers)) {
            ordered.at = clock::now();
        } else {
            self.ordered.remove(&engine);
        }
    }

    /// What an engine says of itself, if it answers.
    async fn report(&self, upstream: Upstream) -> Option<EngineReport> {
        let protocol = &self.relay.protocol;
        let request = protocol.report_call().request(upstream.server.addr);
        let answer = self.relay.call(upstream, request, ORDER_TIMEOUT).await;
        protocol.read_report(&answer.ok()?.body).ok()
    }

    /// Orders an engine to hold layers; tells if it may have taken the order.
    async fn order(
        &self,
        service: &ServingService,
        table: &ServerTable,
        placement: NeededPlacement,
        may_order: impl Fn() -> bool,
    ) -> Option<Taken> {
        let protocol = &self.relay.protocol;
        let server = table.named(&placement.engine)?;
        let taken = Taken {
            engine: server.key,
            layers: placement.layers,
        };
        let upstream = self.relay.upstream(server.key, service);
        let report = self.report(upstream).await?;
        if !report.is_from(server) {
            // The plan is for the process before, which held other layers.
            self.relay.other_start_answered(server.key, &report);
            return None;
        }
        if report.is_busy {
            return Some(taken);
        }
        // The lease may have run out while the engine was asked.
        if !may_order() {
            return None;
        }
        let call = protocol.place_call(placement.layers, Some(report.sequence));
        let request = call.request(server.addr());
        let answer = self.relay.call(upstream, request, ORDER_TIMEOUT).await;
        // An engine is seldom ordered again, and the one that orders thousands would
        // keep a connection to each, most of its memory.
        self.relay.pool.close_idle(server.key);
        let outcome = match &answer {
            Ok(answer) => answer.status.as_str().to_owned(),
            Err(error) => error.to_string(),
        };
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            info!(log, "placement: an engine is ordered"; "event" => "order_sent",
                "engine" => &*placement.engine, "addr" => %server.addr(), "order" => "place",
                "layers" => format!("{}-{}", placement.layers.start, placement.layers.end),
                "missing" => placement.fills_gap, "sequence" => report.sequence,
                "outcome" => &outcome);
        }
        match answer {
            Ok(answer) if answer.status.is_success() => Some(taken),
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
            Err(error) if !error.is_unsent() => Some(taken),
            Err(_) => None,
        }
    }
}

/// Items until a round that begins now is over.
fn for_a_round<T>(items: Vec<T>) -> impl Iterator<Item = T> {
    let until = clock::now() + ROUND;
    let items = items.into_iter();
    items.take_while(move |_| clock::now() < until)
}
