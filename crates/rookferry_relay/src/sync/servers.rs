//! Keeps the list of backend servers in step with the store and the peers.
//!
//! Updates come from the store (lists and watches), from peers (whole lists), and from
//! engines' reports of a restart. The result is a [`ServerTable`] that is activated in
//! the relay. An entry whose removal may be an artefact of an outage or a restore is
//! retained for a grace period.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::BackendServer;
use rookferry_core::Directory;
use rookferry_core::DirectoryChange;
use rookferry_core::ListDoubts;
use rookferry_core::ListVersion;
use rookferry_core::StoreVersion;
use rookferry_net::clock;
use rookferry_wire::EngineId;
use rookferry_wire::StoreEra;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use super::look_pause;
use super::outage::Outage;
use crate::event_log::Weight;
use crate::relay::Relay;
use crate::store::StoreError;
use crate::tracked_store::Versioned;
use crate::view::ServerTable;

/// Pause after a change, in which more changes of a burst accumulate; a twentieth of the
/// time in which leaving servers must be known.
const BURST: Duration = Duration::from_millis(100);
/// How long after an outage a removed entry may only have lapsed. Lapses show in the
/// first answers; a later removal is a server that left.
const LAPSES_AFTER: Duration = Duration::from_millis(300);
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
}

/// Keeps the list of backend servers until the process exits.
///
/// The store is read concurrently with all other input: peers' lists and other updates
/// are applied while a call is in flight and in the pauses between calls.
pub(crate) async fn keep_servers(relay: Arc<Relay>) {
    let mut keeper = ServersKeeper::new(relay.clone());
    let mut from_peers = relay.peer_servers.subscribe();
    let mut reading = Box::pin(keeper.next_read());
    loop {
        let before = keeper.after;
        let has_read = tokio::select! {
            // A store that refuses at once must not starve the peers' lists.
            biased;
            read = next_list(&relay, &mut from_peers) => {
                keeper.take(Ok(read));
                false
            }
            servers = relay.restarts.next() => {
                keeper.take(Ok(Read::Restarted(servers)));
                false
            }
            () = other_config(&relay, keeper.judged_by), if keeper.after.is_some() => {
                keeper.take(Ok(Read::OtherConfig));
                false
            }
            () = until(keeper.expires_at()) => {
                keeper.take(Ok(Read::Expiring));
                false
            }
            read = &mut reading => {
                keeper.take(read);
                true
            }
        };
        if has_read || keeper.after != before {
            reading = Box::pin(keeper.next_read());
        }
    }
}

/// Waits until a time; forever if there is none.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => clock::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// State of the server list on this instance.
struct ServersKeeper {
    relay: Arc<Relay>,
    directory: Directory,
    /// The store version to watch from; `None` if everything must be listed.
    after: Option<StoreVersion>,
    /// The version of the list.
    version: ListVersion,
    /// When the store may be read next.
    read_at: Instant,
    outage: Outage,
    doubtful: DoubtfulTimes,
    /// Version of the configuration that determined which entries are usable.
    judged_by: Option<u64>,
}

impl ServersKeeper {
    fn new(relay: Arc<Relay>) -> Self {
        Self {
            relay,
            directory: Directory::new(),
            after: None,
            version: ListVersion::default(),
            read_at: clock::now(),
            outage: Outage::none("store: servers"),
            doubtful: DoubtfulTimes::default(),
            judged_by: None,
        }
    }

    /// The next call to the store, after its pause and backoff.
    fn next_read(&self) -> impl Future<Output = Result<Read, StoreError>> + use<> {
        let (relay, after, read_at) = (self.relay.clone(), self.after, self.read_at);
        let (counts_as_away, failures) = (self.outage.is_begun(), self.outage.failures());
        async move {
            clock::sleep_until(read_at).await;
            failures.wait_in_line(&relay).await;
            read_servers(&relay, after, counts_as_away).await
        }
    }

    /// When the first lapsed entry expires, if there is one.
    fn expires_at(&self) -> Option<Instant> {
        let grace = self.relay.settings.bounds.lapse_grace();
        self.directory.expires_at(grace)
    }

    /// Applies an update, and activates a new list if anything changed.
    fn take(&mut self, read: Result<Read, StoreError>) {
        let now = clock::now();
        let source = read.as_ref().map_or("store", Read::source);
        let is_from_peer = matches!(read, Ok(Read::Peer(_)));
        let newest_at = read.as_ref().ok().and_then(Read::newest_at);
        let is_changed = match read {
            Ok(Read::StoreAway) => {
                let cause = "the configuration can't be read either";
                self.outage.begin(&self.relay, &cause);
                false
            }
            Ok(read) => self.take_read(read, now),
            Err(StoreError::Forgotten | StoreError::Outdated) => {
                self.after = None;
                self.outage.watch_refused();
                false
            }
            Err(error) => {
                self.outage.failed(&self.relay, &error);
                false
            }
        };
        let grace = self.relay.settings.bounds.lapse_grace();
        let expired = self.directory.expire(now, grace);
        for id in &expired.gone {
            note_removed(
                &self.relay,
                id,
                "its entry did not come back after the outage",
            );
        }
        if !expired.is_empty() {
            self.version = self.version.changed();
        }
        if is_changed || !expired.is_empty() {
            self.put_in_force(source);
        }
        if let Some(newest_at) = newest_at {
            self.relay.confirm_servers(self.version, newest_at);
            if is_from_peer {
                self.relay.note_contact_by_bodies();
            }
        }
    }

    /// Applies an update; returns whether anything changed.
    fn take_read(&mut self, read: Read, now: Instant) -> bool {
        let is_from_store = read.is_from_store();
        if is_from_store {
            self.read_at = now;
            if self.outage.ended(&self.relay) {
                self.doubtful.outage_ended(now);
            }
            if matches!(read, Read::Changes(_)) {
                self.outage.watch_went_on();
            }
        }
        let version = read.version();
        if let Some(version) = version {
            let store = version.store;
            self.relay.store.hear_era(store.era);
            self.doubtful.listed(&self.relay, store.era, now);
            self.after = Some(store);
        }
        let is_changed = take_in(&self.relay, &mut self.directory, read, &self.doubtful, now);
        if let Some(version) = version.filter(|_| is_changed) {
            self.version = version;
        }
        if is_changed && is_from_store {
            // Entries change in bursts; one later call returns the rest of the burst.
            self.read_at = now + BURST;
        }
        is_changed
    }

    fn put_in_force(&mut self, source: &'static str) {
        let view = self.relay.view.load_full();
        let is_usable = |server: &BackendServer| view.is_usable(server);
        let unusable = self.directory.unusable(is_usable).cloned().collect();
        let servers = self.directory.in_use(is_usable);
        let table = ServerTable::new(self.version, servers, unusable);
        self.judged_by = view.config_version();
        self.relay.adopt_servers(table, source);
    }
}

/// Periods in which the store's view of the servers may be wrong.
#[derive(Debug, Default)]
struct DoubtfulTimes {
    /// Until when a removed entry may only have lapsed.
    lapses_until: Option<Instant>,
    /// The era of the list.
    era: Option<StoreEra>,
    /// Until when entries may have outdated content.
    old_until: Option<Instant>,
}

impl DoubtfulTimes {
    fn outage_ended(&mut self, now: Instant) {
        self.lapses_until = Some(now + LAPSES_AFTER);
    }

    /// Records the era of a received list or change.
    fn listed(&mut self, relay: &Relay, era: StoreEra, now: Instant) {
        let before = self.era.replace(era);
        if before.is_some_and(|before| before != era) {
            let heartbeat = Duration::from_millis(relay.settings.bounds.heartbeat_ms);
            self.lapses_until = Some(now + LAPSES_AFTER);
            self.old_until = Some(now + heartbeat * HEARTBEATS_TO_LAPSE);
        }
    }

    /// Whether a server whose entry is removed now may only have lapsed.
    fn may_lapse(&self, now: Instant) -> bool {
        self.lapses_until.is_some_and(|until| now < until)
    }

    /// What may be wrong with a list from the store.
    fn of_stores_list(&self, now: Instant) -> ListDoubts {
        let doubts = self.of_peers_list(now);
        ListDoubts {
            may_lack: self.may_lapse(now),
            may_have_gone_unseen: doubts.may_be_old.is_some(),
            ..doubts
        }
    }

    /// What may be wrong with a list from a peer, which has already handled missing
    /// entries.
    fn of_peers_list(&self, now: Instant) -> ListDoubts {
        let old_for = self
            .old_until
            .map(|until| until.saturating_duration_since(now));
        ListDoubts {
            may_lack: false,
            may_be_old: old_for.filter(|old_for| !old_for.is_zero()),
            may_have_gone_unseen: false,
        }
    }
}

/// The next newer list from a peer. Cancel safe.
async fn next_list(relay: &Relay, from_peers: &mut watch::Receiver<Option<PeerList>>) -> Read {
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
            return Read::Peer(list);
        }
    }
}

/// Waits until the active configuration is another than `version`.
async fn other_config(relay: &Relay, version: Option<u64>) {
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
    counts_as_away: bool,
) -> Result<Read, StoreError> {
    loop {
        if !relay.leaves_store() {
            if !relay.is_store_away.load(Ordering::Relaxed) {
                break;
            }
            if !counts_as_away {
                return Ok(Read::StoreAway);
            }
        }
        tokio::time::sleep(look_pause(relay)).await;
    }
    let wait = relay.settings.bounds.news_budget().watch_wait();
    match after {
        None => relay.store.servers().await.map(Read::List),
        Some(after) => {
            let changes = relay.store.watch_servers(after, wait).await;
            changes.map(Read::Changes)
        }
    }
}

enum Read {
    List(Versioned<Vec<BackendServer>>),
    Changes(Versioned<Vec<DirectoryChange>>),
    /// A list from a peer.
    Peer(PeerList),
    /// No new entries, but another configuration that determines which are usable.
    OtherConfig,
    /// Servers whose new processes have reported themselves.
    Restarted(Vec<BackendServer>),
    /// The grace period of some entries is over.
    Expiring,
    /// The store isn't read, because the configuration can't be read either.
    StoreAway,
}

impl Read {
    /// The version of the resulting list.
    const fn version(&self) -> Option<ListVersion> {
        match self {
            Self::List(list) => Some(ListVersion::of(list.version)),
            Self::Changes(changes) => Some(ListVersion::of(changes.version)),
            Self::Peer(list) => Some(list.version),
            Self::Restarted(_) | Self::OtherConfig | Self::Expiring | Self::StoreAway => None,
        }
    }

    /// The source, as logged.
    const fn source(&self) -> &'static str {
        match self {
            Self::List(_) | Self::Changes(_) | Self::StoreAway => "store",
            Self::Peer(_) => "peer",
            Self::OtherConfig => "configuration",
            Self::Restarted(_) => "report",
            Self::Expiring => "time",
        }
    }

    /// When the resulting list was last known to be the newest.
    const fn newest_at(&self) -> Option<Instant> {
        match self {
            Self::List(list) => Some(list.asked_at),
            Self::Changes(changes) => Some(changes.asked_at),
            Self::Peer(list) => list.newest_at,
            _ => None,
        }
    }

    const fn is_from_store(&self) -> bool {
        matches!(self, Self::List(_) | Self::Changes(_))
    }
}

/// Applies an update to the directory; returns whether anything changed.
fn take_in(
    relay: &Relay,
    directory: &mut Directory,
    read: Read,
    doubtful: &DoubtfulTimes,
    now: Instant,
) -> bool {
    match read {
        Read::List(list) => {
            directory.replace(list.value, doubtful.of_stores_list(now), now);
            true
        }
        Read::Peer(list) => {
            directory.replace(list.servers, doubtful.of_peers_list(now), now);
            true
        }
        Read::OtherConfig => true,
        Read::Expiring | Read::StoreAway => false,
        Read::Restarted(servers) => {
            for server in servers {
                directory.apply(DirectoryChange::Updated(server), now);
            }
            true
        }
        Read::Changes(changes) => {
            let is_changed = !changes.value.is_empty();
            for change in changes.value {
                take_change(relay, directory, change, doubtful.may_lapse(now), now);
            }
            is_changed
        }
    }
}

fn take_change(
    relay: &Relay,
    directory: &mut Directory,
    change: DirectoryChange,
    may_have_lapsed: bool,
    now: Instant,
) {
    match change {
        DirectoryChange::Removed(id) if may_have_lapsed => directory.lapse(&id, now),
        DirectoryChange::Removed(id) => {
            note_removed(relay, &id, "its entry was removed");
            directory.apply(DirectoryChange::Removed(id), now);
        }
        DirectoryChange::Unusable(id) => {
            note_removed(relay, &id, "its entry no longer describes a server");
            directory.apply(DirectoryChange::Unusable(id), now);
        }
        DirectoryChange::Updated(server) => {
            let before = directory.get(&server.id).cloned();
            let is_news = directory.apply(DirectoryChange::Updated(server.clone()), now);
            if before.as_ref() != Some(&server)
                && let Some(log) = relay.events.line(Weight::Notable)
            {
                info!(log, "directory: a server's entry changed"; "event" => "server_changed",
                    "server" => &*server.id, "addr" => %server.addr(), "incarnation" => server.incarnation,
                    "in_use" => is_news,
                    "leaving" => server.is_leaving,
                    "layers" => server.held.map(|held| format!("{}-{}", held.start, held.end)));
            }
        }
    }
}

fn note_removed(relay: &Relay, id: &EngineId, cause: &str) {
    if let Some(log) = relay.events.line(Weight::Notable) {
        warn!(log, "directory: a server was removed"; "event" => "server_removed",
            "server" => &**id, "cause" => cause);
    }
}
