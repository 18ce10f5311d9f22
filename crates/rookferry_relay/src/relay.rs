//! State that the tasks of an instance share, and its updates.
//!
//! Configuration and server list are replaced as a whole in a snapshot ([`SiteView`]),
//! which requests read without a lock. Changes wake the tasks that wait for them through
//! watch channels.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use rookferry_core::BackendServer;
use rookferry_core::BodySource;
use rookferry_core::ConfigAge;
use rookferry_core::LinkRateLimiter;
use rookferry_core::ListHistory;
use rookferry_core::ListVersion;
use rookferry_core::PeerTable;
use rookferry_core::Presence;
use rookferry_core::RetryWindow;
use rookferry_core::ServerKey;
use rookferry_core::ServersAge;
use rookferry_core::ServingConfig;
use rookferry_core::ServingIndex;
use rookferry_net::MemoryBudget;
use rookferry_net::clock;
use rookferry_wire::ServiceId;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use crate::admission_gate::AdmissionGate;
use crate::event_log::EventLog;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::links::LinkTable;
use crate::links::ServerConnector;
use crate::list_at_send::ListConfirmation;
use crate::list_at_send::ListConfirmer;
use crate::mutex::lock;
use crate::pace_trackers::PaceTrackers;
use crate::permits::Permits;
use crate::pool::UpstreamPool;
use crate::protocol::EngineReport;
use crate::protocol::ServerProtocol;
use crate::quarantine::RequestQuarantine;
use crate::restarts::RestartQueue;
use crate::server_loss::ServerLoss;
use crate::server_states::ServerStates;
use crate::settings::RelaySettings;
use crate::store::SiteStore;
use crate::sync::PeerList;
use crate::tracked_store::TrackedStore;
use crate::view::ServerTable;
use crate::view::SiteView;

/// Most servers named in a log line as leaving, and most as removed.
const MAX_DEPARTED_LOGGED: usize = 8;

/// State shared by all tasks of an instance.
pub(crate) struct Relay {
    pub(crate) settings: RelaySettings,
    pub(crate) protocol: Arc<dyn ServerProtocol>,
    pub(crate) store: TrackedStore,
    pub(crate) pool: UpstreamPool,
    pub(crate) links: LinkTable,
    pub(crate) view: ArcSwap<SiteView>,
    /// What this instance currently assumes about each server.
    pub(crate) states: ServerStates,
    /// Requests under which servers crashed.
    pub(crate) quarantine: RequestQuarantine,
    /// Permits for servers that have given a limit.
    pub(crate) permits: Permits,
    pub(crate) admission_gate: Arc<AdmissionGate>,
    /// Memory for callers' requests.
    pub(crate) request_memory: MemoryBudget,
    pub(crate) events: Arc<EventLog>,
    /// Incremented whenever paths may have to be checked again.
    pub(crate) fleet_changes: watch::Sender<u64>,
    /// Incremented whenever peers must be notified early: of a newer configuration or
    /// server list, or of a leaving server.
    pub(crate) urgent_changes: watch::Sender<u64>,
    /// Instances that share the site's budgets, this one included.
    pub(crate) instances: AtomicUsize,
    /// Those of them in the same failure domain.
    pub(crate) local_instances: AtomicUsize,
    pub(crate) peers: Mutex<PeerTable>,
    /// Recent changes of the active server list.
    pub(crate) list_history: Mutex<ListHistory>,
    /// The newest server list received from a peer.
    pub(crate) peer_servers: watch::Sender<Option<PeerList>>,
    /// Engines that have restarted and whose entries don't show it yet.
    pub(crate) restarts: RestartQueue,
    /// Limits what this instance sends over the link between failure domains.
    pub(crate) link_rate: Mutex<LinkRateLimiter>,
    /// Transfers of the configuration, and of the server list, to peers.
    pub(crate) config_source: Mutex<BodySource<u64>>,
    pub(crate) servers_source: Mutex<BodySource<ListVersion>>,
    /// When a peer last advertised a configuration or list newer than the active one.
    pub(crate) offered_at: Mutex<Option<Instant>>,
    /// Whether this instance orders engines of the whole site.
    pub(crate) holds_lease: AtomicBool,
    /// Whether this instance's last read of the configuration failed. Reads that are less
    /// urgent than the servers' then wait for the next one that succeeds.
    pub(crate) is_store_unavailable: AtomicBool,
    /// Whether this instance reads the server list from the store itself.
    pub(crate) reads_store: AtomicBool,
    pub(crate) started_at: Instant,
    leaving_since: OnceLock<Instant>,
    /// Whether requests without an answer are ended, as the process exits.
    ends_requests: watch::Sender<bool>,
    pub(crate) config_age: Mutex<ConfigAge>,
    pub(crate) servers_age: Mutex<ServersAge>,
    /// When the last gap in the confirmations of the server list was found to be over.
    gap_ended_at: Mutex<Option<Instant>>,
    /// The confirmation in `servers_age` and its source, for the log. Read without a lock.
    servers_confirmation: ArcSwapOption<ListConfirmation>,
    pub(crate) retries: Mutex<HashMap<ServiceId, RetryWindow>>,
    /// The pace of this instance's streams, from which stall bounds are computed.
    pub(crate) pace_trackers: PaceTrackers,
}

impl Relay {
    pub(crate) fn new(
        settings: RelaySettings,
        protocol: Arc<dyn ServerProtocol>,
        store: Arc<dyn SiteStore>,
        connector: Arc<dyn ServerConnector>,
        events: EventLog,
    ) -> Self {
        let events = Arc::new(events);
        let link_mbps = settings.machine.link_mbps.unwrap_or_default();
        let max_server_connections = settings.machine.max_server_connections();
        let request_memory = MemoryBudget::new(settings.machine.request_memory_bytes());
        let peers = PeerTable::new(settings.listen.peers, settings.domain.clone())
            .capacity(settings.machine.capacity());
        Self {
            store: TrackedStore::new(store, events.clone(), &settings.bounds),
            settings,
            protocol,
            pool: UpstreamPool::new(max_server_connections),
            links: LinkTable::new(connector),
            view: ArcSwap::default(),
            states: ServerStates::new(rand::random()),
            quarantine: RequestQuarantine::new(rand::random()),
            permits: Permits::new(rand::random()),
            admission_gate: Arc::new(AdmissionGate::new()),
            request_memory,
            events,
            fleet_changes: watch::Sender::new(0),
            urgent_changes: watch::Sender::new(0),
            instances: AtomicUsize::new(1),
            local_instances: AtomicUsize::new(1),
            peers: Mutex::new(peers),
            list_history: Mutex::default(),
            peer_servers: watch::Sender::new(None),
            restarts: RestartQueue::default(),
            link_rate: Mutex::new(LinkRateLimiter::new(rand::random())),
            config_source: Mutex::new(BodySource::new().link_mbps(link_mbps)),
            servers_source: Mutex::new(BodySource::new().link_mbps(link_mbps)),
            offered_at: Mutex::default(),
            holds_lease: AtomicBool::new(false),
            is_store_unavailable: AtomicBool::new(false),
            reads_store: AtomicBool::new(false),
            started_at: clock::now(),
            leaving_since: OnceLock::new(),
            ends_requests: watch::Sender::new(false),
            config_age: Mutex::default(),
            servers_age: Mutex::default(),
            gap_ended_at: Mutex::default(),
            servers_confirmation: ArcSwapOption::empty(),
            retries: Mutex::new(HashMap::new()),
            pace_trackers: PaceTrackers::default(),
        }
    }

    /// Whether the instance has been asked to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Time since it was asked to stop.
    pub(crate) fn leaving_for(&self) -> Option<Duration> {
        self.leaving_since.get().copied().map(clock::since)
    }

    pub(crate) fn leave(&self) {
        self.leaving_since.get_or_init(clock::now);
    }

    /// Whether a request may still begin its first run. One that was sent later would
    /// probably not finish before the process exits.
    pub(crate) fn may_begin_run(&self) -> bool {
        let last_start = self.settings.bounds.grace() / 2;
        self.leaving_for().is_none_or(|since| since <= last_start)
    }

    /// Ends the requests that have no answer yet, as the process exits.
    pub(crate) fn end_requests(&self) {
        self.ends_requests.send_replace(true);
    }

    /// Whether requests without an answer are ended.
    pub(crate) fn ends_requests(&self) -> bool {
        *self.ends_requests.borrow()
    }

    /// Waits until requests without an answer are ended.
    pub(crate) async fn requests_ended(&self) {
        let mut ends = self.ends_requests.subscribe();
        if ends.wait_for(|ends| *ends).await.is_err() {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
    }

    /// Time since the instance's start.
    pub(crate) fn age(&self) -> Duration {
        clock::since(self.started_at)
    }

    /// The configuration's age and version.
    pub(crate) fn config_age(&self) -> ConfigAge {
        *lock(&self.config_age)
    }

    /// Records that a version was the newest at a time, as read here or reported by a
    /// peer.
    pub(crate) fn confirm_config(&self, version: u64, at: Instant) {
        lock(&self.config_age).confirm(version, at);
    }

    /// Records that the store's list as of a time becomes known. If no one has confirmed
    /// the own list for long before, the store may have answered no one, and entries may
    /// have lapsed.
    pub(crate) fn record_list_answer(&self, at: Instant) {
        let min_gap = self.settings.bounds.min_lapse_gap();
        if lock(&self.servers_age).has_gap_before(at, min_gap) {
            *lock(&self.gap_ended_at) = Some(clock::now());
        }
    }

    /// Whether a gap in the confirmations of the server list ended less than `window` ago.
    pub(crate) fn is_after_gap(&self, window: Duration) -> bool {
        lock(&self.gap_ended_at).is_some_and(|ended_at| clock::since(ended_at) < window)
    }

    /// Records that the active server list was the newest at a time: it has that version
    /// or a later one.
    pub(crate) fn confirm_servers(&self, version: ListVersion, at: Instant, by: ListConfirmer) {
        let in_force = self.servers_version();
        if version.store.era != in_force.store.era || version > in_force {
            return;
        }
        self.record_list_answer(at);
        let mut age = lock(&self.servers_age);
        if age.version() > in_force {
            // It was of an era that the store denies.
            *age = ServersAge::new();
        }
        let before = (age.version(), age.confirmed_at());
        age.confirm(in_force, at);
        let confirmed = (age.version(), age.confirmed_at());
        let (version, Some(confirmed_at)) = confirmed else {
            return;
        };
        if confirmed != before {
            let known = self
                .servers_confirmation()
                .filter(|_| confirmed.1 == before.1);
            let confirmation = ListConfirmation {
                version,
                at: confirmed_at,
                by: known.map_or(by, |known| known.by),
            };
            self.servers_confirmation
                .store(Some(Arc::new(confirmation)));
        }
    }

    /// The last confirmation of the active server list.
    pub(crate) fn servers_confirmation(&self) -> Option<ListConfirmation> {
        self.servers_confirmation.load().as_deref().copied()
    }

    /// Derives contact with the store from bodies: a configuration and a list from a peer
    /// show what the store contained when both were the newest. A starting instance
    /// relies on that until its domain's store reader sends it a heartbeat.
    pub(crate) fn record_contact_from_bodies(&self) {
        let config_at = lock(&self.config_age).confirmed_at();
        let servers_at = lock(&self.servers_age).confirmed_at();
        if let Some(at) = config_at.min(servers_at) {
            self.store.record_contact_from_bodies(at);
        }
    }

    /// Activates a configuration if it is newer, and confirms its version as of `at`.
    pub(crate) fn adopt_config(&self, config: ServingConfig, source: &'static str, at: Instant) {
        let version = config.version;
        let before = self.config_version();
        let is_newer = before.is_none_or(|before| before < version);
        if is_newer {
            let routes = config.routes.len();
            let accounts = config.accounts.len();
            let index = Arc::new(ServingIndex::new(config));
            self.update_view(|view| SiteView {
                index: Some(index.clone()),
                servers: view.servers.clone(),
            });
            if let Some(log) = self.events.line(Weight::Notable) {
                info!(log, "config: a version is active"; "event" => "config_adopted",
                    "version" => version, "before" => before, "source" => source,
                    "routes" => routes, "accounts" => accounts);
            }
            self.log_unusable_figures(&index);
            self.signal_fleet_change();
        }
        self.confirm_config(version, at);
        if is_newer {
            self.urgent_changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Logs accelerators whose figures can't be used for planning.
    fn log_unusable_figures(&self, index: &ServingIndex) {
        for service in &index.config().services {
            let Some(model) = &service.model else {
                continue;
            };
            let kinds = model.kinds.iter();
            for kind in kinds.filter(|kind| !model.has_valid_figures(kind)) {
                if let Some(log) = self.events.line(Weight::Notable) {
                    warn!(log, "config: an accelerator's figures can't be used for planning";
                        "event" => "figures_unusable", "service" => &*service.name,
                        "accelerator" => &kind.name, "memory_mb" => kind.memory_mb,
                        "step_factor" => kind.step_factor, "read_factor" => kind.read_factor,
                        "layer_mb" => model.layer_mb, "step_ms" => model.step_ms);
                }
            }
        }
    }

    /// The version of the active configuration.
    pub(crate) fn config_version(&self) -> Option<u64> {
        self.view.load().config_version()
    }

    /// The version of the active server list; the lowest while there is none.
    pub(crate) fn servers_version(&self) -> ListVersion {
        self.view.load().servers_version()
    }

    /// Replaces the table of backend servers, which is the newest as of `newest_at`.
    pub(crate) fn adopt_servers(
        &self,
        servers: ServerTable,
        source: &'static str,
        newest_at: Option<Instant>,
    ) {
        let servers = Arc::new(servers);
        self.log_servers(&servers, source, newest_at);
        lock(&self.list_history).set_current(servers.version(), servers.listed());
        self.states
            .apply_list(self.view.load().servers.as_deref(), &servers);
        self.update_view(|view| SiteView {
            index: view.index.clone(),
            servers: Some(servers.clone()),
        });
        let is_known = |server| servers.get(server).is_some();
        self.pool.evict(clock::now(), is_known);
        self.permits.retain(is_known);
        self.links.paths().retain(is_known);
        self.signal_fleet_change();
        self.urgent_changes.send_modify(|changes| *changes += 1);
    }

    /// Logs the newly active server list, and the servers that leave or are removed with
    /// it.
    fn log_servers(&self, servers: &ServerTable, source: &'static str, newest_at: Option<Instant>) {
        if let Some(log) = self.events.line(Weight::Notable) {
            let before = self.view.load();
            let departed = servers.departed_since(before.servers.as_deref(), MAX_DEPARTED_LOGGED);
            info!(log, "directory: a list of servers is active"; "event" => "servers_adopted",
                "version" => %servers.version(), "source" => source, "servers" => servers.all().len(),
                "age_ms" => newest_at.map(|at| millis(clock::since(at))),
                "leaving" => departed.leaving.join(","), "gone" => departed.removed.join(","));
        }
    }

    fn update_view(&self, update: impl Fn(&SiteView) -> SiteView) {
        self.view.rcu(|view| Arc::new(update(view)));
    }

    /// Wakes the streams, so that they check their paths again.
    pub(crate) fn signal_fleet_change(&self) {
        self.fleet_changes.send_modify(|changes| *changes += 1);
    }

    /// Records that a server didn't answer: it counts as unresponsive until a probe
    /// succeeds.
    pub(crate) fn server_lost(&self, server: ServerKey, loss: &ServerLoss) {
        if loss.is_exit() {
            self.record_server_exit(server);
        }
        if !self.states.health().lost(server, clock::now()) {
            return;
        }
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "health: a server doesn't answer"; "event" => "server_lost",
                "server" => %server.addr, "cause" => %loss, "ended" => loss.is_exit());
        }
        self.signal_fleet_change();
    }

    /// Records that another process answers than the listed one: what was sent to the
    /// listed one is lost. A later incarnation is used before its entry shows it.
    pub(crate) fn other_incarnation_answered(&self, server: ServerKey, report: &EngineReport) {
        self.server_lost(server, &ServerLoss::OtherIncarnation);
        let view = self.view.load();
        let Some(entry) = view.server(server) else {
            return;
        };
        if report.incarnation <= entry.incarnation {
            return;
        }
        let restarted = BackendServer {
            key: ServerKey::new(server.addr, &entry.id, report.incarnation),
            incarnation: report.incarnation,
            writes: 0,
            is_leaving: false,
            held: report.held,
            presence: Presence::Listed,
            ..entry.clone()
        };
        if self.restarts.push(restarted)
            && let Some(log) = self.events.line(Weight::Notable)
        {
            info!(log, "health: a server has restarted"; "event" => "server_restarted",
                "server" => &*entry.id, "addr" => %server.addr, "source" => "report",
                "incarnation" => report.incarnation, "before" => entry.incarnation);
        }
    }

    /// Records that a server answered.
    pub(crate) fn server_answered(&self, server: ServerKey) {
        self.states.broken_runs.server_answered(server);
        let mut health = self.states.health();
        let out_since = health.unresponsive_since(server);
        health.succeeded(server, clock::now());
        drop(health);
        let Some(since) = out_since else {
            return;
        };
        if let Some(log) = self.events.line(Weight::Notable) {
            info!(log, "health: a server answers again"; "event" => "server_regained",
                "server" => %server.addr, "away_ms" => millis(clock::since(since)));
        }
        self.signal_fleet_change();
    }
}
