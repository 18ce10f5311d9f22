//! What this instance believes of the servers beside their entries.
//!
//! All of it is kept by [`ServerKey`], so a process that starts again begins
//! with nothing against it. Where sources differ, the later word counts: a sign
//! of life after a doubt, accepted work after a refusal, a report by its age. An
//! entry that says something new ends a refusal's effect, and one that goes
//! takes all that was believed of its server along, so that memory is bounded
//! by the servers in use.

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
use crate::load::LoadTable;
use crate::mutex::lock;
use crate::signs::Signs;
use crate::view::ServerTable;

/// What is believed of servers.
#[derive(Debug)]
pub(crate) struct ServerBeliefs {
    /// What requests met at each.
    health: Mutex<ServerHealth>,
    /// Those that take no new work.
    closed: Mutex<RefusingServers>,
    /// Those that others of the failure domain have trouble with.
    doubted: ArcSwap<SuspectedServers>,
    /// The backoffs that they asked this instance for.
    backoffs: ArcSwap<Backoffs<ServerKey>>,
    /// Those that leave.
    departed: ArcSwap<DepartedServers>,
    /// The requests a second that they take of all instances together.
    limits: ArcSwap<ServerLimits>,
    /// When each last gave a sign, and what it reported.
    pub(crate) signs: Signs,
    /// Runs that broke, until it is known whether their servers have ended.
    pub(crate) broken_runs: BrokenRunTable,
    /// What this instance has under way at each.
    pub(crate) loads: LoadTable,
    /// What the others have.
    peer_loads: ArcSwap<BTreeMap<ServerKey, ServerLoad>>,
}

impl ServerBeliefs {
    /// Nothing is believed. `chance`, from 0 to 1, is the instance's own.
    pub(crate) fn new(chance: f64) -> Self {
        Self {
            health: Mutex::new(ServerHealth::new()),
            closed: Mutex::new(RefusingServers::new(chance)),
            doubted: ArcSwap::default(),
            backoffs: ArcSwap::default(),
            departed: ArcSwap::default(),
            limits: ArcSwap::default(),
            signs: Signs::new(),
            broken_runs: BrokenRunTable::default(),
            loads: LoadTable::default(),
            peer_loads: ArcSwap::default(),
        }
    }

    pub(crate) fn health(&self) -> MutexGuard<'_, ServerHealth> {
        lock(&self.health)
    }

    pub(crate) fn closed(&self) -> MutexGuard<'_, RefusingServers> {
        lock(&self.closed)
    }

    pub(crate) fn doubted(&self) -> Arc<SuspectedServers> {
        self.doubted.load_full()
    }

    /// The backoffs that servers asked for.
    pub(crate) fn backoffs(&self) -> Guard<Arc<Backoffs<ServerKey>>> {
        self.backoffs.load()
    }

    /// The servers that leave.
    pub(crate) fn departed(&self) -> Guard<Arc<DepartedServers>> {
        self.departed.load()
    }

    /// A server asked for a backoff; tells how long it is.
    pub(crate) fn back_off(&self, server: ServerKey, asked: Duration) -> Duration {
        update(&self.backoffs, |backoffs| {
            backoffs.back_off(server, asked, clock::now())
        })
    }

    /// How much longer to back off from a server, if at all.
    pub(crate) fn backoff_left(&self, server: ServerKey) -> Option<Duration> {
        self.backoffs.load().left(server, clock::now())
    }

    /// A server said that it leaves. Tells whether that is news.
    pub(crate) fn note_leaving(&self, server: ServerKey) -> bool {
        // Each of its answers says so.
        !self.departed.load().contains(server)
            && update(&self.departed, |departed| {
                departed.record(server, Departure::Leaving, clock::now())
            })
    }

    /// Takes another instance's word on a server that leaves in. Tells whether that is
    /// news.
    pub(crate) fn hear_departure(&self, seen: DepartureObservation) -> bool {
        // Each heartbeat tells the same again.
        !self.departed.load().knows(seen.server, seen.departure)
            && update(&self.departed, |departed| {
                departed.merge(seen, clock::now())
            })
    }

    /// Whether a server leaves, by its entry, its own answers or others' word.
    pub(crate) fn is_leaving(&self, server: &BackendServer) -> bool {
        server.is_leaving || self.departed.load().contains(server.key)
    }

    /// The limits that servers named.
    pub(crate) fn limits(&self) -> Guard<Arc<ServerLimits>> {
        self.limits.load()
    }

    /// Takes a word on a server's limit in.
    pub(crate) fn update_limits<T: Default>(&self, take: impl Fn(&mut ServerLimits) -> T) -> T {
        update(&self.limits, take)
    }

    /// What other instances have under way at a server.
    pub(crate) fn peer_load(&self, server: ServerKey) -> ServerLoad {
        let loads = self.peer_loads.load();
        loads.get(&server).copied().unwrap_or_default()
    }

    /// Takes the others' word in, as last summed.
    pub(crate) fn hear(&self, loads: BTreeMap<ServerKey, ServerLoad>, doubted: SuspectedServers) {
        self.peer_loads.store(Arc::new(loads));
        self.doubted.store(Arc::new(doubted));
    }

    /// The list of servers changed: forgets refusals of those whose entries say
    /// something new, and all of those that aren't in it.
    pub(crate) fn adopt(&self, before: Option<&ServerTable>, servers: &ServerTable) {
        let mut closed = self.closed();
        for server in servers.all() {
            let known = before.and_then(|before| before.get(server.key));
            if !known.is_some_and(|known| known.has_same_content(server)) {
                closed.entry_changed(server.key);
            }
        }
        let is_known = |server| servers.get(server).is_some();
        closed.retain(is_known);
        drop(closed);
        self.health().retain(is_known);
        self.signs.retain(is_known);
        if !self.backoffs.load().is_empty() {
            update(&self.backoffs, |backoffs| backoffs.expire(clock::now()));
        }
        update(&self.departed, |departed| {
            note_departures(departed, before, servers);
        });
        if !self.limits.load().is_empty() {
            self.update_limits(|limits| limits.retain(clock::now(), is_known));
        }
    }
}

/// What a new list says of servers that leave.
fn note_departures(
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
    // The list is as it was where a newer configuration has no use for some.
    let before = before.filter(|before| before.version() < version);
    let before = before.map_or(&[][..], |before| before.all());
    for server in before {
        if !servers.lists(server.key) {
            departed.record(server.key, Departure::Gone(version), now);
        }
    }
}

/// Changes a copy and puts it in the place of the value; the change may run again.
fn update<V: Clone, T: Default>(value: &ArcSwap<V>, change: impl Fn(&mut V) -> T) -> T {
    let mut outcome = T::default();
    value.rcu(|value| {
        let mut value = V::clone(value);
        outcome = change(&mut value);
        value
    });
    outcome
}
