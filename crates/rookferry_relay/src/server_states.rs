//! What this instance currently assumes about the servers, beyond their entries.
//!
//! Everything is keyed by [`ServerKey`], so a restarted process starts with a clean
//! state. Where sources differ, the later statement wins: liveness evidence after a
//! suspicion, accepted work after a refusal, a report by its age. An entry with new
//! content ends the effect of a refusal, and the state of a removed entry is dropped, so
//! memory is bounded by the servers in use.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::Guard;
use rookferry_core::BackendServer;
use rookferry_core::Backoffs;
use rookferry_core::DepartedServers;
use rookferry_core::Departure;
use rookferry_core::DepartureObservation;
use rookferry_core::RefusingServers;
use rookferry_core::ServerHealth;
use rookferry_core::ServerKey;
use rookferry_core::ServerLimits;
use rookferry_core::ServerLoad;
use rookferry_core::SuspectedServers;
use rookferry_net::clock;

use crate::broken_runs::BrokenRunTable;
use crate::liveness::LivenessTable;
use crate::load::LoadTable;
use crate::mutex::lock;
use crate::view::ServerTable;

/// What this instance currently assumes about the servers.
#[derive(Debug)]
pub(crate) struct ServerStates {
    /// Results of requests, by server.
    health: Mutex<ServerHealth>,
    /// Servers that accept no new work although their load was low.
    refusing: Mutex<RefusingServers>,
    /// Servers that peers of the failure domain suspect.
    suspected: ArcSwap<SuspectedServers>,
    /// Backoffs that servers requested from this instance.
    backoffs: ArcSwap<Backoffs<ServerKey>>,
    /// Servers that are leaving.
    departed: ArcSwap<DepartedServers>,
    /// Requests per second that servers accept from all instances together.
    limits: ArcSwap<ServerLimits>,
    /// When each last gave liveness evidence, and its last report.
    pub(crate) liveness: LivenessTable,
    /// Broken runs, until it is known whether their servers have exited.
    pub(crate) broken_runs: BrokenRunTable,
    /// Load that this instance has in flight, by server.
    pub(crate) loads: LoadTable,
    /// Load that the peers have in flight, by server.
    peer_loads: ArcSwap<BTreeMap<ServerKey, ServerLoad>>,
}

impl ServerStates {
    /// Starts without any state. `chance`, from 0 to 1, is random per instance.
    pub(crate) fn new(chance: f64) -> Self {
        Self {
            health: Mutex::new(ServerHealth::new()),
            refusing: Mutex::new(RefusingServers::new(chance)),
            suspected: ArcSwap::default(),
            backoffs: ArcSwap::default(),
            departed: ArcSwap::default(),
            limits: ArcSwap::default(),
            liveness: LivenessTable::new(),
            broken_runs: BrokenRunTable::default(),
            loads: LoadTable::default(),
            peer_loads: ArcSwap::default(),
        }
    }

    pub(crate) fn health(&self) -> MutexGuard<'_, ServerHealth> {
        lock(&self.health)
    }

    pub(crate) fn refusing(&self) -> MutexGuard<'_, RefusingServers> {
        lock(&self.refusing)
    }

    pub(crate) fn suspected(&self) -> Arc<SuspectedServers> {
        self.suspected.load_full()
    }

    /// The backoffs that servers requested.
    pub(crate) fn backoffs(&self) -> Guard<Arc<Backoffs<ServerKey>>> {
        self.backoffs.load()
    }

    /// The servers that are leaving.
    pub(crate) fn departed(&self) -> Guard<Arc<DepartedServers>> {
        self.departed.load()
    }

    /// Records a backoff that a server requested; returns its length.
    pub(crate) fn back_off(&self, server: ServerKey, requested: Duration) -> Duration {
        update(&self.backoffs, |backoffs| {
            backoffs.back_off(server, requested, clock::now())
        })
    }

    /// The time left to back off from a server; `None` if there is no backoff.
    pub(crate) fn backoff_left(&self, server: ServerKey) -> Option<Duration> {
        self.backoffs.load().left(server, clock::now())
    }

    /// Records that a server says that it is leaving. Returns whether that is new.
    pub(crate) fn record_leaving(&self, server: ServerKey) -> bool {
        // Every answer of the server repeats it.
        !self.departed.load().contains(server)
            && update(&self.departed, |departed| {
                departed.record(server, Departure::Leaving, clock::now())
            })
    }

    /// Records a departure that a peer reports. Returns whether that is new.
    pub(crate) fn record_peer_departure(&self, seen: DepartureObservation) -> bool {
        // Every heartbeat repeats it.
        !self.departed.load().knows(seen.server, seen.departure)
            && update(&self.departed, |departed| {
                departed.merge(seen, clock::now())
            })
    }

    /// Whether a server is leaving, by its entry, its own answers or peers' reports.
    pub(crate) fn is_leaving(&self, server: &BackendServer) -> bool {
        self.departed.load().excludes(server)
    }

    /// The limits that servers have given.
    pub(crate) fn limits(&self) -> Guard<Arc<ServerLimits>> {
        self.limits.load()
    }

    /// Changes the servers' limits; `take` may run more than once.
    pub(crate) fn update_limits<T: Default>(&self, take: impl Fn(&mut ServerLimits) -> T) -> T {
        update(&self.limits, take)
    }

    /// The load that other instances have in flight at a server.
    pub(crate) fn peer_load(&self, server: ServerKey) -> ServerLoad {
        let loads = self.peer_loads.load();
        loads.get(&server).copied().unwrap_or_default()
    }

    /// Replaces the peers' summed loads and their suspicions.
    pub(crate) fn update_from_peers(
        &self,
        loads: BTreeMap<ServerKey, ServerLoad>,
        suspected: SuspectedServers,
    ) {
        self.peer_loads.store(Arc::new(loads));
        self.suspected.store(Arc::new(suspected));
    }

    /// Follows a changed server list: discards refusals of servers whose entries have
    /// changed, and all state of servers that aren't in it.
    pub(crate) fn apply_list(&self, before: Option<&ServerTable>, servers: &ServerTable) {
        let mut refusing = self.refusing();
        for server in servers.all() {
            let known = before.and_then(|before| before.get(server.key));
            if !known.is_some_and(|known| known.has_same_content(server)) {
                refusing.entry_changed(server.key);
            }
        }
        let is_known = |server| servers.get(server).is_some();
        refusing.retain(is_known);
        drop(refusing);
        self.health().retain(is_known);
        self.liveness.retain(is_known);
        if !self.backoffs.load().is_empty() {
            update(&self.backoffs, |backoffs| backoffs.expire(clock::now()));
        }
        update(&self.departed, |departed| {
            record_departures(departed, before, servers);
        });
        if !self.limits.load().is_empty() {
            self.update_limits(|limits| limits.retain(clock::now(), is_known));
        }
    }
}

/// Records the departures that follow from a new list.
fn record_departures(
    departed: &mut DepartedServers,
    before: Option<&ServerTable>,
    servers: &ServerTable,
) {
    let now = clock::now();
    let version = servers.version();
    departed.adopt_list(version, now, |server| servers.get(server).is_some());
    for server in servers.all().iter().filter(|server| server.is_leaving) {
        departed.record(server.key, Departure::Leaving, now);
    }
    // The list itself is unchanged if only a newer configuration makes some entries
    // unusable.
    let before = before.filter(|before| before.version() < version);
    let before = before.map_or(&[][..], |before| before.all());
    for server in before {
        if !servers.lists(server.key) {
            departed.record(server.key, Departure::Gone(version), now);
        }
    }
}

/// Changes a copy of the value and stores it; `change` may run more than once.
fn update<V: Clone, T: Default>(value: &ArcSwap<V>, change: impl Fn(&mut V) -> T) -> T {
    let mut outcome = T::default();
    value.rcu(|value| {
        let mut value = V::clone(value);
        outcome = change(&mut value);
        value
    });
    outcome
}
