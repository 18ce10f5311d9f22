//! Keeps configuration and backend servers as the platform's store has them.
//!
//! A watch that ends without news confirms what is known, as of when it was
//! sent. So watches are short: they bound the age of a configuration.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::BackendServer;
use rookferry_core::Directory;
use rookferry_core::DirectoryChange;
use rookferry_core::pause_in_line;
use rookferry_net::clock;
use rookferry_wire::EngineId;
use rookferry_wire::ObjectVersion;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use crate::event_log::Weight;
use crate::relay::Relay;
use crate::store::AsOf;
use crate::store::StoreError;
use crate::view::ServerTable;

/// How long a watch of the configuration waits. What it confirms is as old as
/// its start, so the age goes from one wait to two; when the store goes away
/// that much of the bound for removed keys is gone already.
const CONFIG_WAIT: Duration = Duration::from_millis(600);
/// How long a watch of the servers waits; bounds how long a connection that
/// died silently hides changes.
const SERVERS_WAIT: Duration = Duration::from_secs(2);
/// The same while entries are missing whose time is running.
const MISSING_WAIT: Duration = Duration::from_millis(300);
/// Pause after news of servers, in which more of a burst gathers; a
/// twentieth of the time in which leaving servers must be heard of.
const BURST: Duration = Duration::from_millis(100);
/// How often an instance that relies on peers looks whether it still may.
const RELY_PAUSE: Duration = Duration::from_millis(150);
/// How often an instance that has just started looks whether its peers have
/// told it what they know.
const START_PAUSE: Duration = Duration::from_millis(25);
/// How long after an outage removals may be lapses; they show in the first
/// answers, and a later removal is a server that left.
const LAPSES_AFTER: Duration = Duration::from_millis(300);

/// Calls that fail, and how long to wait before the next.
struct Outage {
    name: &'static str,
    since: Option<Instant>,
    /// Failed calls in a row.
    failures: u32,
}

impl Outage {
    const fn none(name: &'static str) -> Self {
        Self {
            name,
            since: None,
            failures: 0,
        }
    }

    /// A call went well; tells whether that ends an outage.
    fn ended(&mut self, relay: &Relay) -> bool {
        self.failures = 0;
        let Some(since) = self.since.take() else {
            return false;
        };
        relay
            .events
            .dependency_regained(self.name, clock::since(since));
        true
    }

    /// Counts as away, for a reason.
    fn begin(&mut self, relay: &Relay, cause: &dyn Display) {
        if self.since.is_none() {
            self.since = Some(clock::now());
            relay.events.dependency_lost(self.name, cause);
        }
    }

    async fn failed(&mut self, relay: &Relay, error: &StoreError) {
        self.begin(relay, error);
        self.failures = self.failures.saturating_add(1);
        let pause = pause_in_line(self.failures, relay.rank(clock::now()));
        tokio::time::sleep(pause).await;
    }
}

/// How long to leave the store alone before the next look.
fn look_pause(relay: &Relay) -> Duration {
    if relay.awaits_peers() {
        START_PAUSE
    } else {
        RELY_PAUSE
    }
}

/// Keeps the configuration.
pub(crate) async fn keep_config(relay: Arc<Relay>) {
    let mut after: Option<ObjectVersion> = None;
    let mut outage = Outage::none("store: configuration");
    loop {
        if relay.leaves_store() {
            tokio::time::sleep(look_pause(&relay)).await;
            continue;
        }
        let asked_at = clock::now();
        let read = match after {
            None => relay.store.config().await,
            Some(after) => relay.store.watch_config(after, CONFIG_WAIT).await,
        };
        match read {
            Ok(AsOf {
                revision, value, ..
            }) => {
                outage.ended(&relay);
                relay.is_store_away.store(false, Ordering::Relaxed);
                after = Some(revision);
                if let Some(config) = value {
                    relay.adopt_config(config, "store", asked_at);
                } else if let Some(version) = relay.config_version() {
                    relay.confirm_config(version, asked_at);
                }
            }
            Err(StoreError::Forgotten) => after = None,
            Err(error) => {
                relay.is_store_away.store(true, Ordering::Relaxed);
                outage.failed(&relay, &error).await;
            }
        }
    }
}

/// Keeps the backend servers.
pub(crate) async fn keep_servers(relay: Arc<Relay>) {
    let mut after: Option<ObjectVersion> = None;
    let mut outage = Outage::none("store: servers");
    let mut directory = Directory::new();
    let mut lapses_until: Option<Instant> = None;
    // The configuration that says which entries are the site's.
    let mut judged_by: Option<u64> = None;
    let mut from_peers = relay.peer_servers.subscribe();
    loop {
        let wait = if directory.has_missing() {
            MISSING_WAIT
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
                    lapses_until = Some(now + LAPSES_AFTER);
                }
                let may_have_lapsed = lapses_until.is_some_and(|until| now < until);
                after = read.version().max(after);
                take_in(&relay, &mut directory, read, may_have_lapsed, now)
            }
            Err(StoreError::Forgotten) => {
                after = None;
                false
            }
            Err(error) => {
                outage.failed(&relay, &error).await;
                false
            }
        };
        let expired = directory.expire(now, relay.settings.bounds.lapse_grace());
        for id in &expired {
            note_removed(&relay, id, "it did not come back after the outage");
        }
        let is_news = is_changed || !expired.is_empty();
        if is_news {
            let view = relay.view.load_full();
            let is_usable = |server: &BackendServer| view.is_usable(server);
            let unusable = directory.unusable(is_usable).cloned().collect();
            let version = after.unwrap_or(0);
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

/// The next newer list that a peer gives. Nothing is lost when this is
/// dropped while it waits.
async fn next_list(
    relay: &Relay,
    from_peers: &mut watch::Receiver<Option<AsOf<Vec<BackendServer>>>>,
) -> Read {
    loop {
        if from_peers.changed().await.is_err() {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
        let list = from_peers.borrow_and_update().clone();
        let own = relay.servers_version();
        if let Some(list) = list.filter(|list| list.revision > own) {
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
    after: Option<ObjectVersion>,
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
    List(AsOf<Vec<BackendServer>>),
    Changes(AsOf<Vec<DirectoryChange>>),
    /// A peer's list.
    Peer(AsOf<Vec<BackendServer>>),
    /// Nothing new, but another configuration to judge entries by.
    OtherConfig,
    /// Servers whose new processes told of themselves.
    Restarted(Vec<BackendServer>),
}

impl Read {
    /// The version of the store that it is from, if it is from there.
    const fn version(&self) -> Option<ObjectVersion> {
        match self {
            Self::List(list) | Self::Peer(list) => Some(list.revision),
            Self::Changes(changes) => Some(changes.revision),
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
    may_have_lapsed: bool,
    now: Instant,
) -> bool {
    match read {
        Read::List(list) => {
            directory.replace(list.value, may_have_lapsed, now);
            true
        }
        Read::Peer(list) => {
            directory.replace(list.value, false, now);
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
                take_change(relay, directory, change, may_have_lapsed, now);
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
