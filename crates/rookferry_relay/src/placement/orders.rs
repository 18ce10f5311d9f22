//! Orders that engines were sent, until they show in the engines' entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use http::StatusCode;
use rookferry_core::NeededPlacement;
use rookferry_core::ServingService;
use rookferry_wire::EngineId;
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

#[derive(Clone, Copy, Debug)]
struct Ordered {
    layers: LayerRange,
    at: Instant,
}

/// Orders under way.
pub(super) struct Orders {
    relay: Arc<Relay>,
    ordered: BTreeMap<EngineId, Ordered>,
}

impl Orders {
    pub(super) const fn new(relay: Arc<Relay>) -> Self {
        Self {
            relay,
            ordered: BTreeMap::new(),
        }
    }

    /// The layers that an engine was ordered to hold, and doesn't show yet.
    pub(super) fn layers(&self, engine: &EngineId) -> Option<LayerRange> {
        self.ordered.get(engine).map(|ordered| ordered.layers)
    }

    /// Forgets all: another instance orders from now on.
    pub(super) fn clear(&mut self) {
        self.ordered.clear();
    }

    /// Sends orders that `may_order` still allows when each is about to leave.
    pub(super) async fn send(
        &mut self,
        service: &ServingService,
        table: &ServerTable,
        needed: Vec<NeededPlacement>,
        may_order: impl Fn() -> bool,
    ) {
        let orders = needed
            .into_iter()
            .map(|placement| self.order(service, table, placement, &may_order));
        let taken = join_all(orders).await;
        let at = Instant::now();
        for placement in taken.into_iter().flatten() {
            let layers = placement.layers;
            self.ordered
                .insert(placement.engine, Ordered { layers, at });
        }
    }

    /// Forgets orders that show in the engines' entries, or didn't come about.
    pub(super) async fn settle(&mut self, service: &ServingService, table: &ServerTable) {
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
        may_order: impl Fn() -> bool,
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
        if !may_order() {
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
