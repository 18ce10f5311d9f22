//! An instance: its listeners and tasks, its start and its shutdown.
//!
//! It listens for callers, for the load balancer's readiness check, for metrics scrapes,
//! and for peers. A shutdown fails the readiness check first and goes on accepting until
//! the balancer has noticed, then drains.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use gotham::helpers::http::Body;
use http::Response;
use http::StatusCode;
use metrics::counter;
use metrics::gauge;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use rookferry_net::ConnectionLimits;
use rookferry_net::ConnectionTable;
use rookferry_net::InboundRequest;
use rookferry_net::Server;
use rookferry_net::clock;
use rookferry_net::endpoint;
use rookferry_net::text_response;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use slog::warn;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::event_log::EventLog;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::links::ServerConnector;
use crate::links::monitor_paths;
use crate::peers::HeartbeatTask;
use crate::peers::serve_peers;
use crate::placement::Placement;
use crate::probe;
use crate::protocol::ServerProtocol;
use crate::quarantine_sync;
use crate::relay::Relay;
use crate::request_handler;
use crate::settings::RelaySettings;
use crate::store::SiteStore;
use crate::sync;

/// Part of the time for the shutdown that is reserved for the process's own exit.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time before that margin in which requests without an answer get a final one, and no
/// longer run.
const FINAL_ANSWERS: Duration = Duration::from_millis(300);
/// How long listeners go on accepting after the shutdown begins: the balancer checks once
/// a second, and removes an instance after two failed checks.
const ACCEPT_WHILE_LEAVING: Duration = Duration::from_millis(3_200);
/// The same, if no request is in flight.
const ACCEPT_WHILE_IDLE: Duration = Duration::from_millis(2_600);
/// Upper bounds of the buckets of latency histograms, in seconds: around the objectives
/// of 0.1 to 0.5 s and pauses of 0.2 s, and up to route timeouts.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0,
];
/// Attempts to bind a port where the system chooses it.
const MAX_PORT_TRIES: u32 = 20;
/// Limits on connections for readiness checks, and for metrics scrapes. They are apart from
/// callers', so that these can't hide an instance from its balancer.
const MONITORING_LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 16,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(20),
    max_head_bytes: 16 * 1024,
    max_unfinished_bytes: 256 * 1024,
};
/// Most bytes of a request line that come on top of the configured limit on heads.
const REQUEST_LINE_BYTES: usize = 4 * 1024;
/// A head that a caller sends within its timeout arrives later if packets are lost.
const HEAD_TIMEOUT_FACTOR: u32 = 2;
/// How often dropped log lines are reported.
const DROPPED_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why an instance didn't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener couldn't be bound.
    #[snafu(display("can't listen on {addr} for {purpose}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the listener is for.
        purpose: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// Addresses at which an instance listens, with the ports that the system chose.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct NodeAddrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness check.
    pub readiness: SocketAddr,
    /// For metrics scrapes.
    pub metrics: SocketAddr,
    /// For other instances, by UDP and TCP.
    pub peers: SocketAddr,
}

/// A running instance.
pub struct Node {
    relay: Arc<Relay>,
    callers: ConnectionTable,
    addrs: NodeAddrs,
    stop: Arc<Notify>,
}

struct MetricsEndpoint {
    relay: Arc<Relay>,
    handle: PrometheusHandle,
    callers: ConnectionTable,
    started_at: Instant,
}

impl Node {
    /// Starts an instance; it is ready once it knows configuration and servers.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn start(
        mut settings: RelaySettings,
        protocol: Arc<dyn ServerProtocol>,
        store: Arc<dyn SiteStore>,
        connector: Arc<dyn ServerConnector>,
        log: Logger,
    ) -> Result<Self, StartError> {
        let listen = settings.listen;
        let events = EventLog::new(log);
        if let Some(log) = events.line(Weight::Notable) {
            info!(log, "instance: started"; "event" => "started",
                "version" => env!("CARGO_PKG_VERSION"), "domain" => &*settings.domain,
                "callers" => %listen.callers);
        }
        let handle = install_recorder();
        let (socket, listener, peers) = bind_peers(listen.peers).await?;
        // Instances are ranked by this address.
        settings.listen.peers = peers;
        let relay = Arc::new(Relay::new(settings, protocol, store, connector, events));
        let stop = Arc::new(Notify::new());
        let limits = relay.settings.machine.caller_connections();
        let callers = bind(listen.callers, limits, "callers").await?;
        let readiness = bind(listen.readiness, MONITORING_LIMITS, "readiness").await?;
        let metrics_endpoint = bind(listen.metrics, MONITORING_LIMITS, "metrics").await?;
        let addr = |server: &Server, requested| server.local_addr().unwrap_or(requested);
        let addrs = NodeAddrs {
            callers: addr(&callers, listen.callers),
            readiness: addr(&readiness, listen.readiness),
            metrics: addr(&metrics_endpoint, listen.metrics),
            peers,
        };
        let connections = callers.connections().clone();
        let handler = endpoint(&relay, callers.connections(), request_handler::handle);
        let until = stop.clone();
        tokio::spawn(async move { callers.serve(handler, until.notified()).await });
        let handler = endpoint(&relay, readiness.connections(), serve_readiness);
        tokio::spawn(readiness.serve(handler, std::future::pending()));
        let app = Arc::new(MetricsEndpoint {
            relay: relay.clone(),
            handle,
            callers: connections.clone(),
            started_at: clock::now(),
        });
        let handler = endpoint(&app, metrics_endpoint.connections(), serve_metrics);
        tokio::spawn(metrics_endpoint.serve(handler, std::future::pending()));
        let incarnation = incarnation();
        tokio::spawn(HeartbeatTask::new(relay.clone(), socket, incarnation).run());
        tokio::spawn(serve_peers(relay.clone(), listener));
        tokio::spawn(sync::sync_config(relay.clone()));
        tokio::spawn(sync::sync_servers(relay.clone()));
        tokio::spawn(sync::watch_servers_age(relay.clone()));
        tokio::spawn(quarantine_sync::sync_quarantine(relay.clone()));
        tokio::spawn(probe::probe_unresponsive(relay.clone()));
        tokio::spawn(monitor_paths(relay.clone()));
        tokio::spawn(Placement::new(relay.clone(), incarnation).run());
        tokio::spawn(log_dropped_lines(relay.clone()));
        tokio::spawn(apply_caller_limits(relay.clone(), connections.clone()));
        tokio::spawn(log_closed_connections(relay.clone(), connections.clone()));
        Ok(Self {
            relay,
            callers: connections,
            addrs,
            stop,
        })
    }

    /// The addresses at which it listens.
    #[must_use]
    pub const fn addrs(&self) -> NodeAddrs {
        self.addrs
    }

    /// Whether it can serve requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.relay.is_ready()
    }

    /// Drains requests within the grace period; returns whether all have finished.
    pub async fn leave(&self) -> bool {
        let started = clock::now();
        self.relay.leave();
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            info!(log, "instance: stopping"; "event" => "stopping",
                "requests" => self.callers.active_requests());
        }
        let bound = self
            .relay
            .settings
            .bounds
            .grace()
            .saturating_sub(STOP_MARGIN);
        let finish = async {
            tokio::time::sleep(ACCEPT_WHILE_IDLE).await;
            let accept_left = ACCEPT_WHILE_LEAVING.saturating_sub(clock::since(started));
            let _ = tokio::time::timeout(accept_left, self.callers.wait_idle()).await;
            self.stop.notify_one();
            self.callers.wait_idle().await;
            self.relay.links.wait_unused().await;
        };
        tokio::pin!(finish);
        let drain_time = bound.saturating_sub(FINAL_ANSWERS);
        let is_drained = tokio::time::timeout(drain_time, &mut finish).await.is_ok();
        if !is_drained {
            self.relay.end_requests();
            // Streams that are open now break off.
            let _ = tokio::time::timeout(FINAL_ANSWERS, finish).await;
        }
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            info!(log, "instance: stopped"; "event" => "stopped", "drained" => is_drained,
                "took_ms" => millis(clock::since(started)));
        }
        is_drained
    }
}

async fn bind(
    addr: SocketAddr,
    limits: ConnectionLimits,
    purpose: &'static str,
) -> Result<Server, StartError> {
    Server::bind(addr, limits)
        .await
        .context(ListenSnafu { addr, purpose })
}

/// Binds the same port for datagrams and connections; with port 0 the system chooses one
/// that is free for both.
async fn bind_peers(addr: SocketAddr) -> Result<(UdpSocket, TcpListener, SocketAddr), StartError> {
    let context = || ListenSnafu {
        addr,
        purpose: "peers",
    };
    let mut tries = 0;
    loop {
        let listener = TcpListener::bind(addr).await.with_context(|_| context())?;
        let bound = listener.local_addr().with_context(|_| context())?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((socket, listener, bound)),
            Err(_) if addr.port() == 0 && tries < MAX_PORT_TRIES => tries += 1,
            Err(source) => return Err(source).with_context(|_| context()),
        }
    }
}

async fn serve_readiness(relay: Arc<Relay>, _inbound: InboundRequest) -> Response<Body> {
    if relay.is_ready() {
        return text_response(StatusCode::OK, "ready\n".to_owned());
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
}

async fn serve_metrics(
    metrics_endpoint: Arc<MetricsEndpoint>,
    _inbound: InboundRequest,
) -> Response<Body> {
    let age = metrics_endpoint.relay.config_age();
    gauge!("rookferry_config_version").set(age.version() as f64);
    if let Some(age) = age.age(clock::now()) {
        gauge!("rookferry_config_age_seconds").set(age.as_secs_f64());
    }
    let servers = metrics_endpoint.relay.servers_version();
    gauge!("rookferry_servers_revision").set(servers.store.revision as f64);
    if let Some(age) = metrics_endpoint.relay.servers_age(clock::now()) {
        gauge!("rookferry_servers_age_seconds").set(age.as_secs_f64());
    }
    gauge!("rookferry_store_era").set(metrics_endpoint.relay.store.era() as f64);
    gauge!("rookferry_build_info", "version" => env!("CARGO_PKG_VERSION")).set(1.0);
    gauge!("rookferry_uptime_seconds").set(clock::since(metrics_endpoint.started_at).as_secs_f64());
    gauge!("rookferry_requests_under_way").set(metrics_endpoint.callers.active_requests() as f64);
    gauge!("rookferry_connections").set(metrics_endpoint.callers.open_connections() as f64);
    let closed = metrics_endpoint.callers.closed_connections();
    let causes = [
        ("evicted", closed.evicted),
        ("refused", closed.refused),
        ("oversized_head", closed.oversized_heads),
        ("slow_head", closed.slow_heads),
    ];
    for (cause, count) in causes {
        counter!("rookferry_connections_closed_total", "cause" => cause).absolute(count);
    }
    let memory = &metrics_endpoint.relay.request_memory;
    gauge!("rookferry_request_memory_bytes").set(memory.used_bytes() as f64);
    counter!("rookferry_bodies_evicted_total").absolute(memory.evictions());
    let instances = metrics_endpoint.relay.instances.load(Ordering::Relaxed);
    gauge!("rookferry_instances").set(instances as f64);
    let holds_lease = metrics_endpoint.relay.holds_lease.load(Ordering::Relaxed);
    gauge!("rookferry_holds_lease").set(f64::from(u8::from(holds_lease)));
    gauge!("rookferry_tunnels_for_peers").set(metrics_endpoint.relay.links.served_tunnels() as f64);
    gauge!("rookferry_services_unreached")
        .set(metrics_endpoint.relay.links.paths().isolated().len() as f64);
    gauge!("rookferry_servers_out")
        .set(metrics_endpoint.relay.states.health().unresponsive_count() as f64);
    text_response(StatusCode::OK, metrics_endpoint.handle.render())
}

async fn log_dropped_lines(relay: Arc<Relay>) {
    loop {
        tokio::time::sleep(DROPPED_LOG_INTERVAL).await;
        relay.events.log_dropped();
    }
}

/// Applies the configured limits on callers to their connections.
async fn apply_caller_limits(relay: Arc<Relay>, callers: ConnectionTable) {
    let mut changes = relay.urgent_changes.subscribe();
    loop {
        let view = relay.view.load_full();
        if let Some(index) = &view.index {
            let configured = index.config().limits;
            callers.set_limits(ConnectionLimits {
                head_timeout: configured.head_timeout * HEAD_TIMEOUT_FACTOR,
                idle_timeout: configured.idle_timeout,
                max_head_bytes: configured.max_head_bytes.saturating_add(REQUEST_LINE_BYTES),
                ..relay.settings.machine.caller_connections()
            });
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Logs how many connections of callers were closed to stay within the limits.
async fn log_closed_connections(relay: Arc<Relay>, callers: ConnectionTable) {
    let mut before = (callers.closed_connections(), 0);
    loop {
        tokio::time::sleep(DROPPED_LOG_INTERVAL).await;
        let closed = callers.closed_connections();
        let evicted_bodies = relay.request_memory.evictions();
        if (closed, evicted_bodies) == before {
            continue;
        }
        before = (closed, evicted_bodies);
        if let Some(log) = relay.events.line(Weight::Notable) {
            warn!(log, "callers: connections were closed to stay within the limits";
                "event" => "callers_limited", "evicted" => closed.evicted,
                "refused" => closed.refused, "oversized_heads" => closed.oversized_heads,
                "slow_heads" => closed.slow_heads, "evicted_bodies" => evicted_bodies,
                "connections" => callers.open_connections(),
                "request_memory_bytes" => relay.request_memory.used_bytes());
        }
    }
}

fn install_recorder() -> PrometheusHandle {
    let seconds = Matcher::Suffix("_seconds".to_owned());
    // Fails only if there are no buckets.
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &LATENCY_BUCKETS_S)
        .unwrap_or_default();
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Fails only if the embedding program has installed a recorder, which then gets the
    // metrics.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

/// Milliseconds of Unix time at the start. It only distinguishes two runs; nothing
/// depends on its order.
fn incarnation() -> u64 {
    millis(clock::unix_now())
}
