//! The controller's loop: maintains the lease and sends the orders that the planner
//! finds due.
//!
//! Each round reads the configuration and the engines from the local entry instance.
//! The platform is called only for the lease, which is polled `POLLS_PER_LEASE` times per
//! lease duration or slightly more often; a poll reads the lease and may write it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rookferry_core::Engine;
use rookferry_core::EngineState;
use rookferry_core::EngineStats;
use rookferry_core::Lease;
use rookferry_core::LeaseAction;
use rookferry_core::PlacementPlanner;
use rookferry_core::PlannedOrder;
use rookferry_core::SiteConfig;
use rookferry_net::BackoffTable;
use rookferry_net::BackoffTransport;
use rookferry_net::EngineTransport;
use rookferry_net::HttpClient;
use rookferry_net::HttpEngineTransport;
use rookferry_net::HttpPlatform;
use rookferry_net::Platform;
use rookferry_net::clock;
use rookferry_wire::FleetEngine;
use rookferry_wire::LEASES_KIND;
use rookferry_wire::LoadReport;
use rookferry_wire::OrderRequest;
use rookferry_wire::OrderResponse;
use rookferry_wire::PutRequest;
use rookferry_wire::PutResponse;
use serde::Deserialize;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;

use crate::ControllerSettings;

/// Timeout of a call to the entry instance.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);
/// Lease polls per lease duration, before jitter, which shortens the interval.
const POLLS_PER_LEASE: u32 = 6;

/// Response of an entry instance to `/v1/config`.
#[derive(Deserialize)]
struct ActiveConfig {
    value: serde_json::Value,
}

/// Orders the engines of one failure domain while it holds the domain's lease.
pub struct Controller {
    settings: ControllerSettings,
    log: Logger,
    client: HttpClient,
    platform: Arc<dyn Platform>,
    engines: Arc<dyn EngineTransport>,
    lease: Lease,
    planner: PlacementPlanner,
    next_lease_poll: Instant,
}

impl Controller {
    /// Returns a controller that doesn't hold the lease yet; no call is made.
    #[must_use]
    pub fn new(settings: ControllerSettings, log: Logger) -> Self {
        let client = HttpClient::new();
        let started_at = clock::unix_now();
        let backoffs = Arc::new(BackoffTable::new(log.clone()));
        let engines = Arc::new(HttpEngineTransport::new(client.clone()));
        let incarnation = u64::try_from(started_at.as_millis()).unwrap_or(u64::MAX);
        Self {
            platform: Arc::new(HttpPlatform::new(client.clone(), settings.platform)),
            engines: Arc::new(BackoffTransport::new(engines, backoffs)),
            lease: Lease::new(
                settings.instance.as_str().into(),
                incarnation,
                settings.timing(),
            ),
            planner: PlacementPlanner::new(settings.limits()),
            next_lease_poll: clock::now(),
            client,
            log,
            settings,
        }
    }

    /// Runs until the future is dropped. Failed calls are repeated in a later round.
    /// Failed platform and engine calls are logged; failed reads from the entry instance
    /// are not.
    pub async fn run(mut self) {
        let interval = Duration::from_millis(self.settings.interval_ms);
        loop {
            if clock::now() >= self.next_lease_poll {
                self.poll_lease().await;
            }
            if self.lease.fence_for(clock::now(), true).is_some() {
                self.send_due_orders().await;
            }
            tokio::time::sleep(interval).await;
        }
    }

    async fn poll_lease(&mut self) {
        let poll_interval = self.settings.timing().duration / POLLS_PER_LEASE;
        self.next_lease_poll =
            clock::now() + poll_interval.mul_f64(rand::rng().random_range(0.7..1.0));
        let asked_at = clock::now();
        let domain = self.settings.failure_domain.clone();
        match self.platform.get(LEASES_KIND, &domain).await {
            Ok(current) => self.lease.on_read(asked_at, current.as_ref()),
            Err(error) => {
                debug!(self.log, "Controller::poll_lease: could not read the lease"; "part" => "lease", "error" => %error);
                return;
            }
        }
        let LeaseAction::Write { expected, object } = self.lease.next_action(clock::now()) else {
            return;
        };
        let value = serde_json::to_value(&object).unwrap_or_default();
        let sent_at = clock::now();
        match self
            .platform
            .put(LEASES_KIND, &domain, PutRequest { expected, value })
            .await
        {
            Ok(PutResponse::Written { version }) => {
                debug!(self.log, "Controller::poll_lease: lease held"; "part" => "lease", "fence" => object.fence);
                self.lease.on_written(sent_at, version, object);
            }
            Ok(PutResponse::Conflict { current }) => self.lease.on_read(sent_at, current.as_ref()),
            // The next poll shows whether a write whose response was lost took effect.
            Err(error) => {
                info!(self.log, "lease: could not write the lease"; "part" => "lease", "error" => %error);
            }
        }
    }

    async fn send_due_orders(&mut self) {
        let Some((config, engines)) = self.fetch_config_and_engines().await else {
            return;
        };
        let orders = self.planner.plan(clock::now(), &config, &engines);
        for order in orders {
            let engine = engines
                .iter()
                .find(|engine| engine.info.engine == order.engine);
            if let Some(engine) = engine {
                self.send_order(engine, order).await;
            }
        }
    }

    async fn send_order(&self, engine: &Engine, planned: PlannedOrder) {
        let name = planned.engine;
        let rule = planned.rule;
        // Checked just before sending: the lease may have expired while this process
        // was paused or while an earlier order was in flight.
        let Some(fence) = self
            .lease
            .fence_for(clock::now(), engine.info.checks_fences)
        else {
            return;
        };
        let request = OrderRequest {
            fence,
            order: planned.order.clone(),
        };
        match self.engines.order(engine.addr, request).await {
            Ok(OrderResponse::Accepted) => info!(self.log, "orders: accepted";
                "part" => "orders", "engine" => %name, "rule" => rule, "order" => ?planned.order, "fence" => fence),
            Ok(OrderResponse::Fenced { highest }) => warn!(self.log, "orders: outdated fence";
                "part" => "orders", "engine" => %name, "fence" => fence, "highest" => highest),
            Err(error) => warn!(self.log, "orders: no answer";
                "part" => "orders", "engine" => %name, "error" => %error),
        }
    }

    /// The configuration and the engines of the own failure domain, read from the local
    /// entry instance; `None` if a call fails or the configuration is invalid.
    async fn fetch_config_and_engines(&self) -> Option<(SiteConfig, Vec<Engine>)> {
        let entry = self.settings.entry;
        let active: ActiveConfig = self
            .client
            .get(entry, "/v1/config", ENTRY_TIMEOUT)
            .await
            .ok()?;
        let config = SiteConfig::from_json(&active.value.to_string()).ok()?;
        let fleet: Vec<FleetEngine> = self
            .client
            .get(entry, "/v1/fleet", ENTRY_TIMEOUT)
            .await
            .ok()?;
        let local = fleet
            .into_iter()
            .filter(|engine| *engine.failure_domain == *self.settings.failure_domain);
        Some((config, local.map(to_engine).collect()))
    }
}

fn to_engine(engine: FleetEngine) -> Engine {
    let stats = EngineStats::new();
    let report = LoadReport {
        streams: engine.streams,
        ..LoadReport::default()
    };
    stats.record_report(clock::now(), &report);
    Engine {
        info: engine.info,
        addr: engine.addr,
        failure_domain: engine.failure_domain,
        state: if engine.is_lost {
            EngineState::Lost
        } else {
            EngineState::Live
        },
        stats: Arc::new(stats),
    }
}
