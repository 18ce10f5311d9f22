//! Lifecycle of an entry instance: binding its addresses, starting its background
//! tasks, and leaving with a drain of its requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use metrics_exporter_prometheus::PrometheusHandle;
use rookferry_core::PrefixIndex;
use rookferry_core::RetryBudget;
use rookferry_core::TicketIssuer;
use rookferry_net::BackoffTable;
use rookferry_net::BackoffTransport;
use rookferry_net::ConnectionLimits;
use rookferry_net::EngineTransport;
use rookferry_net::HttpClient;
use rookferry_net::HttpEngineTransport;
use rookferry_net::HttpPlatform;
use rookferry_net::Platform;
use rookferry_net::Server;
use rookferry_net::clock;
use rookferry_wire::DomainId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use rookferry_wire::RequestId;
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
use tokio::sync::watch;
use uuid::Uuid;

use crate::EntrySettings;
use crate::admission::Admission;
use crate::answers::Answers;
use crate::claims;
use crate::claims::Claims;
use crate::config_sync;
use crate::config_sync::ConfigStore;
use crate::counters::Counters;
use crate::decisions::Decisions;
use crate::discovery;
use crate::http;
use crate::peers;
use crate::peers::PeerState;
use crate::quarantine::CallQuarantine;
use crate::registry::ServerRegistry;
use crate::runner::StepSender;
use crate::snapshot::Snapshot;

/// Why an instance can't start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// An address can't be bound.
    #[snafu(display(
        "could not listen on {addr} for {purpose}: {source}; is another instance using the address?"
    ))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the address is for, such as "callers".
        purpose: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EntryAddrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers, over UDP and TCP.
    pub peers: SocketAddr,
}

/// State that all tasks of an instance share.
pub(crate) struct EntryState {
    pub(crate) settings: EntrySettings,
    pub(crate) instance: InstanceId,
    pub(crate) failure_domain: DomainId,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) engines: Arc<dyn EngineTransport>,
    /// Backoffs requested by backend servers.
    pub(crate) backoffs: Arc<BackoffTable>,
    pub(crate) steps: StepSender,
    pub(crate) client: HttpClient,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) config: ConfigStore,
    pub(crate) registry: ServerRegistry,
    /// Notified when the platform's list has changed.
    pub(crate) list_changed: Notify,
    pub(crate) prefixes: Mutex<PrefixIndex>,
    pub(crate) claims: Claims,
    pub(crate) tickets: Mutex<TicketIssuer>,
    pub(crate) answers: Answers,
    pub(crate) decisions: Decisions,
    pub(crate) retries: RetryBudget,
    /// Calls that crash servers.
    pub(crate) quarantine: CallQuarantine,
    pub(crate) peers: PeerState,
    pub(crate) counters: Counters,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) leaving: AtomicBool,
}

impl EntryState {
    /// A new request id, and the UUID that it ends in.
    pub(crate) fn new_request(&self) -> (RequestId, Uuid) {
        let number = Uuid::now_v7();
        (format!("{}.{number}", self.instance).into(), number)
    }

    /// Whether this instance accepts requests; the error says why not.
    pub(crate) fn readiness(&self) -> Result<(), String> {
        if self.leaving.load(Ordering::SeqCst) {
            return Err("leaving".to_owned());
        }
        if self.snapshot.load().table.version() == 0 {
            return Err(
                "no configuration: neither the platform nor a peer has given one".to_owned(),
            );
        }
        if self.registry.is_empty() {
            let reason = "no backend servers: neither the platform nor a peer has given the list";
            return Err(reason.to_owned());
        }
        Ok(())
    }
}

/// Current time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since = clock::unix_now();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// A running entry instance.
pub struct Entry {
    state: Arc<EntryState>,
    addrs: EntryAddrs,
    callers: rookferry_net::ConnectionTable,
    stop: watch::Sender<bool>,
}

impl Entry {
    /// Binds the addresses and starts an instance's background tasks.
    ///
    /// # Errors
    ///
    /// [`EntryError::Bind`] if an address can't be bound.
    pub async fn start(settings: EntrySettings, log: Logger) -> Result<Self, EntryError> {
        let limits = ConnectionLimits {
            max_connections: settings.limits.connections,
            head_timeout: settings.head_timeout(),
            idle_timeout: settings.head_timeout(),
            ..ConnectionLimits::default()
        };
        let callers = bind(settings.callers, "callers", limits).await?;
        let operators = bind(settings.operators, "operators", limits).await?;
        let (udp, tcp) = bind_peers(settings.peers).await?;
        let addrs = EntryAddrs {
            callers: local(callers.local_addr(), settings.callers)?,
            operators: local(operators.local_addr(), settings.operators)?,
            peers: local(tcp.local_addr(), settings.peers)?,
        };
        let state = Arc::new(build_state(settings, log));
        let (stop, stopped) = watch::channel(false);
        let connections = callers.connections().clone();
        let caller_router = http::caller_router(&state, &connections);
        let operator_router = http::operator_router(&state, operators.connections());
        tokio::spawn(callers.serve(caller_router, wait_stop(stopped)));
        tokio::spawn(operators.serve(operator_router, std::future::pending()));
        peers::start(&state, udp, tcp, addrs.peers);
        config_sync::start(&state);
        discovery::start(&state);
        tokio::spawn(claims::delete_expired(state.clone()));
        info!(state.log, "entry: started";
            "part" => "entry", "callers" => %addrs.callers, "operators" => %addrs.operators,
            "peers" => %addrs.peers, "incarnation" => state.incarnation);
        Ok(Self {
            state,
            addrs,
            callers: connections,
            stop,
        })
    }

    /// Addresses that it listens on; port 0 in the settings is resolved.
    #[must_use]
    pub const fn addrs(&self) -> EntryAddrs {
        self.addrs
    }

    /// Leaves the site: `/readyz` fails, the load balancer gets time to notice, and
    /// then no new connections are accepted while active requests finish.
    ///
    /// The times are bounded by `leave_wait_ms` and `drain_timeout_ms` of the
    /// settings. Returns whether all requests finished.
    pub async fn leave(self) -> bool {
        let limits = &self.state.settings.limits;
        self.state.leaving.store(true, Ordering::SeqCst);
        self.state.peers.wake.notify_waiters();
        info!(self.state.log, "entry: leaving"; "part" => "entry", "requests" => self.callers.active_requests());
        tokio::time::sleep(Duration::from_millis(limits.leave_wait_ms)).await;
        let _ = self.stop.send(true);
        let drain = Duration::from_millis(limits.drain_timeout_ms);
        let is_drained = tokio::time::timeout(drain, self.drained()).await.is_ok();
        if !is_drained {
            warn!(self.state.log, "entry: drain timed out; leaving with active requests";
                "part" => "entry", "requests" => self.callers.active_requests());
        }
        is_drained
    }

    async fn drained(&self) {
        self.callers.wait_idle().await;
        while self.state.answers.running() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn build_state(settings: EntrySettings, log: Logger) -> EntryState {
    let instance: InstanceId = settings.instance.as_str().into();
    let failure_domain: DomainId = settings.failure_domain.as_str().into();
    // Later incarnations have higher numbers as long as the clock doesn't go back;
    // peers reject a repeated number as stale.
    let incarnation = now_ms();
    let client = HttpClient::new();
    let backoffs = Arc::new(BackoffTable::new(log.clone()));
    let http_engines = Arc::new(HttpEngineTransport::new(client.clone()));
    let engines: Arc<dyn EngineTransport> =
        Arc::new(BackoffTransport::new(http_engines, backoffs.clone()));
    let platform: Arc<dyn Platform> =
        Arc::new(HttpPlatform::new(client.clone(), settings.platform));
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::empty()));
    let secret = settings.site_secret.clone();
    EntryState {
        admission: Admission::new(snapshot.clone(), backoffs.clone()),
        steps: StepSender::new(engines.clone()),
        config: ConfigStore::new(),
        registry: ServerRegistry::default(),
        list_changed: Notify::new(),
        prefixes: Mutex::new(PrefixIndex::new()),
        claims: Claims::new(platform.clone(), log.clone()),
        tickets: Mutex::new(TicketIssuer::new(instance.clone(), incarnation, secret)),
        answers: Answers::new(settings.limits.answers),
        decisions: Decisions::new(settings.limits.decisions),
        retries: RetryBudget::new(),
        quarantine: CallQuarantine::default(),
        peers: PeerState::new(
            &settings,
            instance.clone(),
            incarnation,
            failure_domain.clone(),
        ),
        counters: Counters::default(),
        metrics: crate::counters::install_recorder(),
        leaving: AtomicBool::new(false),
        settings,
        instance,
        failure_domain,
        incarnation,
        log,
        snapshot,
        engines,
        backoffs,
        client,
        platform,
    }
}

async fn bind(
    addr: SocketAddr,
    purpose: &'static str,
    limits: ConnectionLimits,
) -> Result<Server, EntryError> {
    Server::bind(addr, limits)
        .await
        .context(BindSnafu { addr, purpose })
}

/// Binds UDP and TCP to the same port. With port 0 it retries until the assigned
/// TCP port is free for UDP too.
async fn bind_peers(addr: SocketAddr) -> Result<(UdpSocket, TcpListener), EntryError> {
    const TRIES: u32 = 20;
    let purpose = "peers";
    let mut tries = 0;
    loop {
        tries += 1;
        let tcp = TcpListener::bind(addr)
            .await
            .context(BindSnafu { addr, purpose })?;
        let bound = tcp.local_addr().context(BindSnafu { addr, purpose })?;
        match UdpSocket::bind(bound).await {
            Ok(udp) => return Ok((udp, tcp)),
            Err(_) if addr.port() == 0 && tries < TRIES => {}
            Err(source) => {
                return Err(EntryError::Bind {
                    addr,
                    purpose,
                    source,
                });
            }
        }
    }
}

fn local(found: io::Result<SocketAddr>, addr: SocketAddr) -> Result<SocketAddr, EntryError> {
    found.context(BindSnafu {
        addr,
        purpose: "its address",
    })
}

async fn wait_stop(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|is_stopped| *is_stopped).await;
}
