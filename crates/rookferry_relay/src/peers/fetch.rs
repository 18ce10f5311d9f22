//! Fetches what a heartbeat tells to be newer, and confirms what is not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::Heartbeat;
use rookferry_core::ListVersion;
use rookferry_net::clock;

use super::exchange;
use crate::mutex::lock;
use crate::relay::Relay;

/// How long an own watch may take to bring a version that a peer has.
const OWN_WATCH_FIRST: Duration = Duration::from_millis(120);
/// How long a version that is being fetched isn't fetched again, if the fetch
/// doesn't end before.
const FETCH_AGAIN: Duration = Duration::from_millis(1_500);

/// Fetches the configuration and the list of servers from peers.
pub(super) struct ListFetch {
    relay: Arc<Relay>,
    config: Arc<FetchGate<u64>>,
    servers: Arc<FetchGate<ListVersion>>,
}

/// Lets a version be fetched once at a time, though many peers tell of it.
#[derive(Debug, Default)]
struct FetchGate<V> {
    begun: Mutex<Option<(V, Instant)>>,
}

impl<V: Copy + Ord> FetchGate<V> {
    fn begin(&self, version: V) -> bool {
        let mut begun = lock(&self.begun);
        let is_begun =
            begun.is_some_and(|(begun, at)| begun >= version && clock::since(at) < FETCH_AGAIN);
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

/// A fetch, until it ends.
struct Fetching<V: Copy + Ord> {
    gate: Arc<FetchGate<V>>,
    version: V,
}

impl<V: Copy + Ord> Fetching<V> {
    fn new(gate: &Arc<FetchGate<V>>, version: V) -> Self {
        Self {
            gate: gate.clone(),
            version,
        }
    }
}

impl<V: Copy + Ord> Drop for Fetching<V> {
    fn drop(&mut self) {
        self.gate.end(self.version);
    }
}

impl ListFetch {
    pub(super) fn new(relay: Arc<Relay>) -> Self {
        Self {
            relay,
            config: Arc::default(),
            servers: Arc::default(),
        }
    }

    /// A peer has something that this instance lacks.
    fn note_offer(&self) {
        *lock(&self.relay.offered_at) = Some(clock::now());
    }

    /// A peer has newer servers: they are asked for, unless the own watch
    /// brings them first.
    pub(super) fn take_servers(&self, beat: &Heartbeat, from: SocketAddr) {
        let version = beat.servers.version;
        let is_newer = self.relay.servers_version() < version;
        if !is_newer || self.relay.store.is_denied(version.store.era) {
            return;
        }
        self.note_offer();
        if !self.servers.begin(version) {
            return;
        }
        let relay = self.relay.clone();
        let fetching = Fetching::new(&self.servers, version);
        tokio::spawn(async move {
            let _fetching = fetching;
            if !relay.leaves_store() {
                tokio::time::sleep(OWN_WATCH_FIRST).await;
            }
            if relay.servers_version() < version {
                exchange::fetch_servers(&relay, from).await;
            }
        });
    }

    /// A peer's word on the configuration: a newer version is fetched, the
    /// same one is confirmed as of the peer's confirmation.
    ///
    /// The peer's age counts from when it got this instance's own clock, which
    /// counts from `epoch`, so that a message that was long on its way only
    /// looks older.
    pub(super) fn take_config(&self, beat: &Heartbeat, from: SocketAddr, epoch: Instant) {
        let Some(config) = beat.config else {
            return;
        };
        let own = self.relay.config_version();
        if own.is_none_or(|own| own < config.version) {
            self.note_offer();
            if !self.config.begin(config.version) {
                return;
            }
            let relay = self.relay.clone();
            let fetching = Fetching::new(&self.config, config.version);
            tokio::spawn(async move {
                let _fetching = fetching;
                if !relay.leaves_store() {
                    tokio::time::sleep(OWN_WATCH_FIRST).await;
                }
                exchange::fetch_config(&relay, from).await;
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

    /// A peer's word on when its list of servers was the newest, and on when what the
    /// store has was known; the latter counts within the domain, which reads the store
    /// for itself.
    pub(super) fn take_ages(&self, beat: &Heartbeat, epoch: Instant) {
        let servers = beat.servers;
        let list_at = servers
            .age_ms
            .and_then(|age_ms| known_at(beat, age_ms, epoch));
        if let Some(at) = list_at {
            self.relay.confirm_servers(servers.version, at);
        }
        let is_near = beat.domain == self.relay.settings.domain;
        let store_age_ms = beat.store_age_ms.filter(|_| is_near);
        let store_at = store_age_ms.and_then(|age_ms| known_at(beat, age_ms, epoch));
        if let Some(at) = store_at {
            self.relay.store.hear_contact(at);
        }
    }
}

/// When a peer knew something of an age, by this instance's clock, which it sends back.
fn known_at(beat: &Heartbeat, age_ms: u64, epoch: Instant) -> Option<Instant> {
    beat.echo?.known_at(age_ms, epoch, clock::now())
}
