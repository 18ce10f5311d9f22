//! Keeps the list of backend servers in step with the store and the peers.
//!
//! Updates come from the store (lists and watches), from peers (whole lists), and from
//! engines' reports of a restart. The result is a [`ServerTable`] that is activated in
//! the relay. An entry whose removal may be an artefact of an outage or a restore is
//! retained for a grace period.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::BackendServer;
use rookferry_core::Directory;
use rookferry_core::DirectoryChange;
use rookferry_core::ListUncertainty;
use rookferry_core::ListVersion;
use rookferry_core::StoreVersion;
use rookferry_net::clock;
use rookferry_wire::EngineId;
use rookferry_wire::StoreEra;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use super::outage::Outage;
use super::poll_interval;
use crate::event_log::Weight;
use crate::list_at_send::ListConfirmer;
use crate::relay::Relay;
use crate::store::StoreError;
use crate::tracked_store::ServersRead;
use crate::tracked_store::Versioned;
use crate::view::ServerTable;

/// Pause after a change, in which more changes of a burst accumulate; a twentieth of the
/// time in which leaving servers must be known.
const BURST_WINDOW: Duration = Duration::from_millis(100);
/// How long after an outage a removed entry may only have lapsed. Lapses show in the
/// first answers; a later removal is a server that left.
const LAPSE_WINDOW: Duration = Duration::from_millis(300);
/// The same for entries that a peer retains: its list comes later than its own read.
const PEER_LAPSE_WINDOW: Duration = Duration::from_secs(1);
/// Missed heartbeats of a server after which its entry lapses, plus one for the delay of
/// the message.
const HEARTBEATS_TO_LAPSE: u32 = 4;

/// A server list received from a peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerList {
    pub(crate) version: ListVersion,
    pub(crate) servers: Vec<BackendServer>,
    /// When it was last known to be the newest, if ever.
    pub(crate) newest_at: Option<Instant>,
    /// The peer that sent it.
    pub(crate) from: SocketAddr,
}

/// Keeps the list of backend servers until the process exits.
///
/// The store is read concurrently with all other input: peers' lists and other updates
/// are applied while a call is in flight and in the pauses between calls.
pub(crate) async fn sync_servers(relay: Arc<Relay>) {
    let mut syncer = ServerListSyncer::new(relay.clone());
    let mut from_peers = relay.peer_servers.subscribe();
    let mut reading = Box::pin(syncer.next_read());
    loop {
        let before = syncer.after;
        let has_read = tokio::select! {
            // A store that refuses at once must not starve the peers' lists.
            biased;
            read = next_peer_list(&relay, &mut from_peers) => {
                syncer.apply(Ok(read));
                false
            }
            servers = relay.restarts.next() => {
                syncer.apply(Ok(ListUpdate::Restarted(servers)));
                false
            }
            () = config_changed(&relay, syncer.filtered_by), if syncer.after.is_some() => {
                syncer.apply(Ok(ListUpdate::ConfigChanged));
                false
            }
            () = sleep_until(syncer.expires_at()) => {
                syncer.apply(Ok(ListUpdate::EntriesExpired));
                false
            }
            read = &mut reading => {
                syncer.apply(read);
                true
            }
        };
        if has_read || syncer.after != before {
            reading = Box::pin(syncer.next_read());
        }
    }
}

/// Waits until a time; forever if there is none.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => clock::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// State of the server list on this instance.
struct ServerListSyncer {
    relay: Arc<Relay>,
    directory: Directory,
    /// The store version to watch from; `None` if everything must be listed.
    after: Option<StoreVersion>,
    /// The version of the list.
    version: ListVersion,
    /// When the store may be read next.
    read_at: Instant,
    outage: Outage,
    uncertain: UncertainPeriods,
    /// Version of the configuration that determined which entries are usable.
    filtered_by: Option<u64>,
}

impl ServerListSyncer {
    fn new(relay: Arc<Relay>) -> Self {
        Self {
            relay,
            directory: Directory::new(),
            after: None,
            version: ListVersion::default(),
            read_at: clock::now(),
            outage: Outage::none("store: servers"),
            uncertain: UncertainPeriods::default(),
            filtered_by: None,
        }
    }

    /// The next call to the store, after its pause and backoff.
    fn next_read(&self) -> impl Future<Output = Result<ListUpdate, StoreError>> + use<> {
        let (relay, after, read_at) = (self.relay.clone(), self.after, self.read_at);
        let (is_outage, failures) = (self.outage.is_active(), self.outage.failures());
        async move {
            clock::sleep_until(read_at).await;
            failures.wait_backoff(&relay).await;
            read_servers(&relay, after, is_outage).await
        }
    }

    /// When the first lapsed entry expires, if there is one.
    fn expires_at(&self) -> Option<Instant> {
        let grace = self.relay.settings.bounds.lapse_grace();
        self.directory.expires_at(grace)
    }

    /// Applies an update, and activates a new list if anything changed.
    fn apply(&mut self, read: Result<ListUpdate, StoreError>) {
        let now = clock::now();
        let source = read.as_ref().map_or("store", ListUpdate::source);
        let confirmer = match &read {
            Ok(ListUpdate::Peer(list)) => ListConfirmer::Peer(list.from),
            _ => ListConfirmer::Store,
        };
        let newest_at = read.as_ref().ok().and_then(ListUpdate::newest_at);
        if let Some(newest_at) = newest_at {
            self.relay.record_list_answer(newest_at);
        }
        let is_changed = match read {
            Ok(read) => self.apply_update(read, now),
            Err(StoreError::Forgotten | StoreError::Outdated) => {
                self.after = None;
                self.outage.record_refused_watch();
                false
            }
            Err(error) => {
                self.outage.record_failure(&self.relay, &error);
                false
            }
        };
        let grace = self.relay.settings.bounds.lapse_grace();
        let expired = self.directory.expire(now, grace);
        for id in &expired.removed {
            log_removed(
                &self.relay,
                id,
                "its entry did not come back after the outage",
            );
        }
        if !expired.is_empty() {
            self.version = self.version.changed();
        }
        if is_changed || !expired.is_empty() {
            self.activate(source, newest_at);
        }
        if let Some(newest_at) = newest_at {
            self.relay
                .confirm_servers(self.version, newest_at, confirmer);
            if matches!(confirmer, ListConfirmer::Peer(_)) {
                self.relay.record_contact_from_bodies();
            }
        }
    }

    /// Applies an update; returns whether anything changed.
    fn apply_update(&mut self, read: ListUpdate, now: Instant) -> bool {
        let is_from_store = read.is_from_store();
        if is_from_store {
            self.read_at = now;
            let requested_at = read.newest_at().unwrap_or(now);
            if self.outage.record_success(&self.relay, requested_at) {
                self.uncertain.record_outage_end(now);
            }
            if matches!(read, ListUpdate::Changes(_)) {
                self.outage.record_watch();
            }
        }
        let version = read.version();
        if let Some(version) = version {
            let store = version.store;
            self.relay.store.record_peer_era(store.era);
            self.uncertain.record_era(&self.relay, store.era, now);
            self.after = Some(store);
        }
        let is_first = version.is_some_and(|version| self.is_first_of_era(version));
        let is_changed =
            update_directory(&self.relay, &mut self.directory, read, &self.uncertain, now);
        let is_changed = is_changed || is_first;
        if let Some(version) = version.filter(|_| is_changed) {
            self.version = version;
        }
        if is_changed && is_from_store {
            // Entries change in bursts; one later call returns the rest of the burst.
            self.read_at = now + BURST_WINDOW;
        }
        is_changed
    }

    /// Whether a version is the first of its era here; its list is activated even if it
    /// changes nothing.
    fn is_first_of_era(&self, version: ListVersion) -> bool {
        let known = self.version;
        known == ListVersion::default() || known.store.era != version.store.era
    }

    fn activate(&mut self, source: &'static str, newest_at: Option<Instant>) {
        let view = self.relay.view.load_full();
        let is_usable = |server: &BackendServer| view.is_usable(server);
        let unusable = self.directory.unusable(is_usable).cloned().collect();
        let servers = self.directory.in_use(is_usable);
        let table = ServerTable::new(self.version, servers, unusable);
        self.filtered_by = view.config_version();
        self.relay.adopt_servers(table, source, newest_at);
    }
}

/// Periods in which the store's view of the servers may be wrong.
#[derive(Debug, Default)]
struct UncertainPeriods {
    /// Until when a removed entry may only have lapsed.
    lapses_until: Option<Instant>,
    /// The era of the list.
    era: Option<StoreEra>,
    /// Until when entries may have outdated content.
    stale_until: Option<Instant>,
}

impl UncertainPeriods {
    fn record_outage_end(&mut self, now: Instant) {
        self.lapses_until = Some(now + LAPSE_WINDOW);
    }

    /// Records the era of a received list or change.
    fn record_era(&mut self, relay: &Relay, era: StoreEra, now: Instant) {
        let before = self.era.replace(era);
        if before.is_some_and(|before| before != era) {
            let heartbeat = Duration::from_millis(relay.settings.bounds.heartbeat_ms);
            self.lapses_until = Some(now + LAPSE_WINDOW);
            self.stale_until = Some(now + heartbeat * HEARTBEATS_TO_LAPSE);
        }
    }

    /// Whether a server whose entry is removed now may only have lapsed.
    fn may_lapse(&self, now: Instant) -> bool {
        self.lapses_until.is_some_and(|until| now < until)
    }

    /// What may be wrong with a list from the store.
    fn for_store_list(&self, relay: &Relay, now: Instant) -> ListUncertainty {
        let doubts = self.for_peer_list(relay, now);
        ListUncertainty {
            may_be_incomplete: self.may_lapse(now),
            may_have_unseen_removals: doubts.may_be_outdated.is_some(),
            ..doubts
        }
    }

    /// What may be wrong with a list from a peer, which names the entries that it retains.
    fn for_peer_list(&self, relay: &Relay, now: Instant) -> ListUncertainty {
        let stale_for = self
            .stale_until
            .map(|until| until.saturating_duration_since(now));
        ListUncertainty {
            may_be_incomplete: false,
            may_be_outdated: stale_for.filter(|stale_for| !stale_for.is_zero()),
            may_have_unseen_removals: false,
            may_have_lapses: self.may_lapse(now) || relay.is_after_gap(PEER_LAPSE_WINDOW),
        }
    }
}

/// The next newer list from a peer. Cancel safe.
async fn next_peer_list(
    relay: &Relay,
    from_peers: &mut watch::Receiver<Option<PeerList>>,
) -> ListUpdate {
    loop {
        if from_peers.changed().await.is_err() {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
        let list = from_peers.borrow_and_update().clone();
        let own = relay.servers_version();
        if let Some(list) =
            list.filter(|list| list.version > own && !relay.store.is_denied(list.version.store.era))
        {
            return ListUpdate::Peer(list);
        }
    }
}

/// Waits until the active configuration is another than `version`.
async fn config_changed(relay: &Relay, version: Option<u64>) {
    let mut versions = relay.urgent_changes.subscribe();
    while relay.config_version() == version {
        if versions.changed().await.is_err() {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
    }
}

/// Reads the store once this instance has to.
async fn read_servers(
    relay: &Relay,
    after: Option<StoreVersion>,
    is_outage: bool,
) -> Result<ListUpdate, StoreError> {
    let mut is_first = is_outage;
    loop {
        let skips_store = relay.skips_store();
        is_first |= relay.record_store_reader(!skips_store);
        if !skips_store {
            break;
        }
        tokio::time::sleep(poll_interval(relay)).await;
    }
    let wait = if is_first {
        // The others of the domain wait for it, and the changes so far are known at once.
        Duration::ZERO
    } else {
        relay.settings.bounds.propagation_budget().watch_wait()
    };
    match after {
        None => relay.store.servers().await.map(ListUpdate::List),
        Some(after) => {
            let read = relay.store.watch_servers(after, wait).await?;
            Ok(ListUpdate::from_watch(read))
        }
    }
}

enum ListUpdate {
    List(Versioned<Vec<BackendServer>>),
    Changes(Versioned<Vec<DirectoryChange>>),
    /// A list from a peer.
    Peer(PeerList),
    /// No new entries, but another configuration that determines which are usable.
    ConfigChanged,
    /// Servers whose new processes have reported themselves.
    Restarted(Vec<BackendServer>),
    /// The grace period of some entries is over.
    EntriesExpired,
}

impl ListUpdate {
    fn from_watch(read: Versioned<ServersRead>) -> Self {
        let Versioned {
            version,
            value,
            requested_at,
        } = read;
        match value {
            ServersRead::Changes(value) => Self::Changes(Versioned {
                version,
                value,
                requested_at,
            }),
            ServersRead::All(value) => Self::List(Versioned {
                version,
                value,
                requested_at,
            }),
        }
    }

    /// The version of the resulting list.
    const fn version(&self) -> Option<ListVersion> {
        match self {
            Self::List(list) => Some(ListVersion::of(list.version)),
            Self::Changes(changes) => Some(ListVersion::of(changes.version)),
            Self::Peer(list) => Some(list.version),
            Self::Restarted(_) | Self::ConfigChanged | Self::EntriesExpired => None,
        }
    }

    /// The source, as logged.
    const fn source(&self) -> &'static str {
        match self {
            Self::List(_) | Self::Changes(_) => "store",
            Self::Peer(_) => "peer",
            Self::ConfigChanged => "configuration",
            Self::Restarted(_) => "report",
            Self::EntriesExpired => "time",
        }
    }

    /// When the resulting list was last known to be the newest.
    const fn newest_at(&self) -> Option<Instant> {
        match self {
            Self::List(list) => Some(list.requested_at),
            Self::Changes(changes) => Some(changes.requested_at),
            Self::Peer(list) => list.newest_at,
            _ => None,
        }
    }

    const fn is_from_store(&self) -> bool {
        matches!(self, Self::List(_) | Self::Changes(_))
    }
}

/// Applies an update to the directory; returns whether anything changed.
fn update_directory(
    relay: &Relay,
    directory: &mut Directory,
    read: ListUpdate,
    uncertain: &UncertainPeriods,
    now: Instant,
) -> bool {
    match read {
        ListUpdate::List(list) => {
            directory.replace(list.value, uncertain.for_store_list(relay, now), now)
        }
        ListUpdate::Peer(list) => {
            directory.replace(list.servers, uncertain.for_peer_list(relay, now), now);
            true
        }
        ListUpdate::ConfigChanged => true,
        ListUpdate::EntriesExpired => false,
        ListUpdate::Restarted(servers) => {
            for server in servers {
                directory.apply(DirectoryChange::Updated(server), now);
            }
            true
        }
        ListUpdate::Changes(changes) => {
            let is_changed = !changes.value.is_empty();
            for change in changes.value {
                apply_change(relay, directory, change, uncertain.may_lapse(now), now);
            }
            is_changed
        }
    }
}

fn apply_change(
    relay: &Relay,
    directory: &mut Directory,
    change: DirectoryChange,
    may_have_lapsed: bool,
    now: Instant,
) {
    match change {
        DirectoryChange::Removed(id) if may_have_lapsed => directory.mark_missing(&id, now),
        DirectoryChange::Removed(id) => {
            log_removed(relay, &id, "its entry was removed");
            directory.apply(DirectoryChange::Removed(id), now);
        }
        DirectoryChange::Unusable(id) => {
            log_removed(relay, &id, "its entry no longer describes a server");
            directory.apply(DirectoryChange::Unusable(id), now);
        }
        DirectoryChange::Updated(server) => {
            if server.is_leaving {
                // A write of the same start that arrives late may follow in this answer.
                relay.states.record_leaving(server.key);
            }
            let before = directory.get(&server.id).cloned();
            let is_new = directory.apply(DirectoryChange::Updated(server.clone()), now);
            if before.as_ref() != Some(&server)
                && let Some(log) = relay.events.line(Weight::Notable)
            {
                info!(log, "directory: a server's entry changed"; "event" => "server_changed",
                    "server" => &*server.id, "addr" => %server.addr(), "incarnation" => server.incarnation,
                    "in_use" => is_new,
                    "leaving" => server.is_leaving,
                    "layers" => server.held.map(|held| format!("{}-{}", held.start, held.end)));
            }
        }
    }
}

fn log_removed(relay: &Relay, id: &EngineId, cause: &str) {
    if let Some(log) = relay.events.line(Weight::Notable) {
        warn!(log, "directory: a server was removed"; "event" => "server_removed",
            "server" => &**id, "cause" => cause);
    }
}
