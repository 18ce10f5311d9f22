//! Keeps the list of backend servers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::BackendServer;
use rookferry_core::Directory;
use rookferry_core::DirectoryChange;
use rookferry_core::ListDoubts;
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

/// How long a watch of the servers waits; bounds how long a connection that
/// died silently hides changes.
const SERVERS_WAIT: Duration = Duration::from_secs(2);
/// The same while the time of some entries is running.
const EXPIRING_WAIT: Duration = Duration::from_millis(300);
/// Pause after news of servers, in which more of a burst gathers; a
/// twentieth of the time in which leaving servers must be heard of.
const BURST: Duration = Duration::from_millis(100);
/// How long after an outage removals may be lapses; they show in the first
/// answers, and a later removal is a server that left.
const LAPSES_AFTER: Duration = Duration::from_millis(300);
/// Heartbeats of a server without which its entry goes, and one for the way.
const HEARTBEATS_TO_LAPSE: u32 = 4;

/// Keeps the backend servers.
pub(crate) async fn keep_servers(relay: Arc<Relay>) {
    let mut after: Option<StoreVersion> = None;
    let mut outage = Outage::none("store: servers");
    let mut directory = Directory::new();
    let mut doubtful = DoubtfulTimes::default();
    // The configuration that says which entries are the site's.
    let mut judged_by: Option<u64> = None;
    let mut from_peers = relay.peer_servers.subscribe();
    let lapse_grace = relay.settings.bounds.lapse_grace();
    loop {
        let is_expiring = directory.expires_at(lapse_grace).is_some();
        let wait = if is_expiring {
            EXPIRING_WAIT
        } else {
            SERVERS_WAIT
        };
        let read = tokio::select! {
            // A store that refuses at once must not keep peers' lists out.
            biased;
            read = next_list(&relay, &mut from_peers) => Ok(read),
            servers = relay.restarts.next() => Ok(Read::Restarted(servers)),
            () = other_config(&relay, judged_by), if after.is_some() => Ok(Read::OtherConfig),
            read = read_servers(&relay, after, wait, &mut outage) => read,
        };
        let now = clock::now();
        let source = read.as_ref().map_or("store", Read::source);
        let is_changed = match read {
            Ok(read) => {
                if read.is_from_store() && outage.ended(&relay) {
                    doubtful.outage_ended(now);
                }
                if let Some(version) = read.version() {
                    relay.store.hear_era(version.era);
                    doubtful.listed(&relay, version.era, now);
                    after = Some(version);
                }
                take_in(&relay, &mut directory, read, &doubtful, now)
            }
            Err(StoreError::Forgotten | StoreError::Outdated) => {
                after = None;
                false
            }
            Err(error) => {
                let pause = outage.failed(&relay, &error);
                tokio::time::sleep(pause).await;
                false
            }
        };
        let expired = directory.expire(now, lapse_grace);
        for id in &expired.gone {
            note_removed(&relay, id, "it did not come back after the outage");
        }
        let is_news = is_changed || !expired.is_empty();
        if is_news {
            let view = relay.view.load_full();
            let is_usable = |server: &BackendServer| view.is_usable(server);
            let unusable = directory.unusable(is_usable).cloned().collect();
            let version = after.unwrap_or(view.servers_version());
            let table = ServerTable::new(version, directory.in_use(is_usable), unusable);
            judged_by = view.config_version();
            relay.adopt_servers(table, source);
        }
        if is_news {
            // Entries change in bursts; one call brings those that follow.
            tokio::time::sleep(BURST).await;
        }
    }
}

/// Times in which what the store shows of servers is doubtful.
#[derive(Debug, Default)]
struct DoubtfulTimes {
    /// Until when removals may be lapses.
    lapses_until: Option<Instant>,
    /// The era that the list is of.
    era: Option<StoreEra>,
    /// Until when entries may be as they once were.
    old_until: Option<Instant>,
}

impl DoubtfulTimes {
    fn outage_ended(&mut self, now: Instant) {
        self.lapses_until = Some(now + LAPSES_AFTER);
    }

    /// A list or changes of an era came.
    fn listed(&mut self, relay: &Relay, era: StoreEra, now: Instant) {
        let before = self.era.replace(era);
        if before.is_some_and(|before| before != era) {
            let heartbeat = Duration::from_millis(relay.settings.bounds.heartbeat_ms);
            self.lapses_until = Some(now + LAPSES_AFTER);
            self.old_until = Some(now + heartbeat * HEARTBEATS_TO_LAPSE);
        }
    }

    /// Whether a server whose entry goes now may only have lapsed.
    fn may_lapse(&self, now: Instant) -> bool {
        self.lapses_until.is_some_and(|until| now < until)
    }

    /// What may be wrong with a list that the store gives.
    fn of_stores_list(&self, now: Instant) -> ListDoubts {
        ListDoubts {
            may_lack: self.may_lapse(now),
            ..self.of_peers_list(now)
        }
    }

    /// What may be wrong with a list that a peer gives: what it lacks has been looked
    /// into there.
    fn of_peers_list(&self, now: Instant) -> ListDoubts {
        let old_for = self
            .old_until
            .map(|until| until.saturating_duration_since(now));
        ListDoubts {
            may_lack: false,
            may_be_old: old_for.filter(|old_for| !old_for.is_zero()),
        }
    }
}

/// The next newer list that a peer gives. Nothing is lost when this is
/// dropped while it waits.
async fn next_list(
    relay: &Relay,
    from_peers: &mut watch::Receiver<Option<Versioned<Vec<BackendServer>>>>,
) -> Read {
    loop {
        if from_peers.changed().await.is_err() {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
        let list = from_peers.borrow_and_update().clone();
        let own = relay.servers_version();
        if let Some(list) =
            list.filter(|list| list.version > own && !relay.store.is_denied(list.version.era))
        {
            return Read::Peer(list);
        }
    }
}

/// Waits until another configuration is in force than that of a version.
async fn other_config(relay: &Relay, version: Option<u64>) {
    let mut versions = relay.versions.subscribe();
    while relay.config_version() == version {
        if versions.changed().await.is_err() {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
    }
}

async fn read_servers(
    relay: &Relay,
    after: Option<StoreVersion>,
    wait: Duration,
    outage: &mut Outage,
) -> Result<Read, StoreError> {
    loop {
        if !relay.leaves_store() {
            if !relay.is_store_away.load(Ordering::Relaxed) {
                break;
            }
            outage.begin(relay, &"the configuration can't be read either");
        }
        tokio::time::sleep(look_pause(relay)).await;
    }
    match after {
        None => relay.store.servers().await.map(Read::List),
        Some(after) => relay
            .store
            .watch_servers(after, wait)
            .await
            .map(Read::Changes),
    }
}

enum Read {
    List(Versioned<Vec<BackendServer>>),
    Changes(Versioned<Vec<DirectoryChange>>),
    /// A peer's list.
    Peer(Versioned<Vec<BackendServer>>),
    /// Nothing new, but another configuration to judge entries by.
    OtherConfig,
    /// Servers whose new processes told of themselves.
    Restarted(Vec<BackendServer>),
}

impl Read {
    /// The version of the store that it is from, if it is from there.
    const fn version(&self) -> Option<StoreVersion> {
        match self {
            Self::List(list) | Self::Peer(list) => Some(list.version),
            Self::Changes(changes) => Some(changes.version),
            Self::Restarted(_) | Self::OtherConfig => None,
        }
    }

    /// Where it is from, as logged.
    const fn source(&self) -> &'static str {
        match self {
            Self::List(_) | Self::Changes(_) => "store",
            Self::Peer(_) => "peer",
            Self::OtherConfig => "configuration",
            Self::Restarted(_) => "report",
        }
    }

    const fn is_from_store(&self) -> bool {
        matches!(self, Self::List(_) | Self::Changes(_))
    }
}

/// Takes news in; tells whether anything changed.
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
            directory.replace(list.value, doubtful.of_peers_list(now), now);
            true
        }
        Read::OtherConfig => true,
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
            note_removed(relay, &id, "its entry is gone");
            directory.apply(DirectoryChange::Removed(id), now);
        }
        DirectoryChange::Unusable(id) => {
            note_removed(relay, &id, "its entry doesn't describe a server any more");
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
        warn!(log, "directory: a server is gone"; "event" => "server_removed",
            "server" => &**id, "cause" => cause);
    }
}
