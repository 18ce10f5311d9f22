//! Fetches versions that a peer advertises as newer, and confirms the current ones.
//!
//! Input is each received heartbeat. A newer configuration or server list is fetched over
//! TCP in a task of its own; an equal version only updates the time at which it was last
//! known to be the newest.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::Heartbeat;
use rookferry_core::ListVersion;
use rookferry_net::clock;

use super::transfer;
use crate::list_at_send::ListConfirmer;
use crate::mutex::lock;
use crate::relay::Relay;

/// How long this instance's own watch may take to deliver a version before it is fetched
/// from a peer.
const OWN_WATCH_GRACE: Duration = Duration::from_millis(120);
/// How long a fetch of a version blocks another one, if it doesn't end before.
const FETCH_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Fetches the configuration and the server list from peers.
pub(super) struct BodyFetcher {
    relay: Arc<Relay>,
    config: Arc<FetchGate<u64>>,
    servers: Arc<FetchGate<ListVersion>>,
}

/// Blocks fetches of the same or an older version while one is in progress, for at most
/// `FETCH_RETRY_AFTER`, however many peers advertise it.
#[derive(Debug, Default)]
struct FetchGate<V> {
    begun: Mutex<Option<(V, Instant)>>,
}

impl<V: Copy + Ord> FetchGate<V> {
    fn begin(&self, version: V) -> bool {
        let mut begun = lock(&self.begun);
        let is_begun = begun
            .is_some_and(|(begun, at)| begun >= version && clock::since(at) < FETCH_RETRY_AFTER);
        if !is_begun {
            *begun = Some((version, clock::now()));
        }
        !is_begun
    }

    fn end(&self, version: V) {
        let mut begun = lock(&self.begun);
        if begun.is_some_and(|(begun, _)| begun == version) {
            *begun = None;
        }
    }
}

/// A fetch in progress, until it is dropped.
struct FetchGuard<V: Copy + Ord> {
    gate: Arc<FetchGate<V>>,
    version: V,
}

impl<V: Copy + Ord> FetchGuard<V> {
    fn new(gate: &Arc<FetchGate<V>>, version: V) -> Self {
        Self {
            gate: gate.clone(),
            version,
        }
    }
}

impl<V: Copy + Ord> Drop for FetchGuard<V> {
    fn drop(&mut self) {
        self.gate.end(self.version);
    }
}

impl BodyFetcher {
    pub(super) fn new(relay: Arc<Relay>) -> Self {
        Self {
            relay,
            config: Arc::default(),
            servers: Arc::default(),
        }
    }

    /// Records that a peer has a version that this instance lacks.
    fn record_offer(&self) {
        *lock(&self.relay.offered_at) = Some(clock::now());
    }

    /// Fetches a newer server list, unless this instance's own watch delivers it first.
    pub(super) fn handle_servers(&self, beat: &Heartbeat, from: SocketAddr) {
        let version = beat.servers.version;
        let is_newer = self.relay.servers_version() < version;
        if !is_newer || self.relay.store.is_denied(version.store.era) {
            return;
        }
        self.record_offer();
        if !self.servers.begin(version) {
            return;
        }
        let relay = self.relay.clone();
        let fetching = FetchGuard::new(&self.servers, version);
        tokio::spawn(async move {
            let _fetching = fetching;
            if !relay.skips_store() {
                tokio::time::sleep(OWN_WATCH_GRACE).await;
            }
            if relay.servers_version() < version {
                transfer::fetch_servers(&relay, from).await;
            }
        });
    }

    /// Handles the configuration version of a peer: a newer one is fetched, an equal one
    /// is confirmed as of the peer's own confirmation.
    ///
    /// The peer echoes a timestamp of this instance, relative to `epoch`; the age is
    /// subtracted from it, so a delayed message only makes the confirmation look older.
    pub(super) fn handle_config(&self, beat: &Heartbeat, from: SocketAddr, epoch: Instant) {
        let Some(config) = beat.config else {
            return;
        };
        let own = self.relay.config_version();
        if own.is_none_or(|own| own < config.version) {
            self.record_offer();
            if !self.config.begin(config.version) {
                return;
            }
            let relay = self.relay.clone();
            let fetching = FetchGuard::new(&self.config, config.version);
            tokio::spawn(async move {
                let _fetching = fetching;
                if !relay.skips_store() {
                    tokio::time::sleep(OWN_WATCH_GRACE).await;
                }
                transfer::fetch_config(&relay, from).await;
            });
            return;
        }
        if own != Some(config.version) {
            return;
        }
        if let Some(at) = known_at(beat, config.age_ms, epoch) {
            self.relay.confirm_config(config.version, at);
        }
    }

    /// Handles the ages in a peer's heartbeat: when its server list was last the newest,
    /// and when it last knew the store's content. The latter counts only from peers
    /// of the same failure domain, since each domain reads the store itself.
    pub(super) fn handle_ages(&self, beat: &Heartbeat, from: SocketAddr, epoch: Instant) {
        let servers = beat.servers;
        let list_at = servers
            .age_ms
            .and_then(|age_ms| known_at(beat, age_ms, epoch));
        if let Some(at) = list_at {
            let by = ListConfirmer::Peer(from);
            self.relay.confirm_servers(servers.version, at, by);
        }
        let is_local = beat.domain == self.relay.settings.domain;
        let Some(store) = beat.store.filter(|_| is_local) else {
            return;
        };
        let reader = store.reader.unwrap_or(from);
        let is_other = reader != self.relay.settings.listen.peers;
        if let Some(at) = known_at(beat, store.age_ms, epoch).filter(|_| is_other) {
            self.relay.store.record_peer_contact(at, reader);
        }
    }
}

/// When a peer knew something of the given age, by this instance's clock, as echoed by
/// the peer.
fn known_at(beat: &Heartbeat, age_ms: u64, epoch: Instant) -> Option<Instant> {
    beat.echo?.known_at(age_ms, epoch, clock::now())
}
