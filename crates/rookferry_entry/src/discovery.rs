//! Which engines and services there are, how they are, and the snapshot that
//! requests read.
//!
//! The platform's list names instances and is late. Each engine is asked for
//! what it says of itself and for its load; an engine that doesn't answer is
//! taken for lost until it does. What the list or the engine says about
//! leaving is in force with the next snapshot.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream;
use rookferry_core::Engine;
use rookferry_core::EngineState;
use rookferry_core::EngineStats;
use rookferry_core::ServiceInstance;
use rookferry_wire::EngineId;
use rookferry_wire::EngineInfo;
use rookferry_wire::InstanceEntry;
use rookferry_wire::InstanceKind;
use rookferry_wire::InstanceState;
use slog::info;

use crate::config_sync::jittered;
use crate::entry::EntryState;
use crate::snapshot::Snapshot;

/// Engines asked at once.
const ASKED_AT_ONCE: usize = 32;
/// Failed asks in a row after which an engine is taken for lost.
const LOST_AFTER: u32 = 2;
/// How often waiting requests are looked at when nothing else does.
const PUMP_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct KnownServer {
    entry: InstanceEntry,
    info: Option<EngineInfo>,
    failed_asks: u32,
    next_cache_event: u64,
    stats: Arc<EngineStats>,
}

/// All backend servers that the list names.
#[derive(Debug, Default)]
pub(crate) struct Known {
    servers: Mutex<BTreeMap<EngineId, KnownServer>>,
    peers: Mutex<Vec<InstanceEntry>>,
    /// Held while a snapshot is built, so that an older one never replaces a
    /// newer one.
    rebuilding: Mutex<()>,
}

impl Known {
    fn lock_rebuild(&self) -> std::sync::MutexGuard<'_, ()> {
        self.rebuilding
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Entry instances that the list names.
    pub(crate) fn peers(&self) -> Vec<InstanceEntry> {
        self.peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<EngineId, KnownServer>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the list; returns whether anything changed.
    fn listed(&self, instances: Vec<InstanceEntry>) -> bool {
        let mut servers = self.lock();
        let mut peers = Vec::new();
        let mut former = std::mem::take(&mut *servers);
        let mut is_changed = false;
        for entry in instances {
            if entry.kind == InstanceKind::Entry {
                peers.push(entry);
                continue;
            }
            let known = former.remove(&entry.name);
            is_changed |= known.as_ref().is_none_or(|known| known.entry != entry);
            let server = match known {
                Some(known) if known.entry.addr == entry.addr => KnownServer { entry, ..known },
                _ => KnownServer {
                    entry,
                    info: None,
                    failed_asks: 0,
                    next_cache_event: 0,
                    stats: Arc::default(),
                },
            };
            servers.insert(server.entry.name.clone(), server);
        }
        is_changed |= !former.is_empty();
        *self.peers.lock().unwrap_or_else(PoisonError::into_inner) = peers;
        is_changed
    }

    fn engines(&self) -> Vec<Engine> {
        let servers = self.lock();
        let engines = servers.values().filter_map(|server| {
            let info = server.info.clone()?;
            Some(Engine {
                state: state_of(server, info.leaving),
                info,
                addr: server.entry.addr,
                failure_domain: server.entry.failure_domain.clone(),
                stats: server.stats.clone(),
            })
        });
        engines.collect()
    }

    fn services(&self) -> Vec<ServiceInstance> {
        let servers = self.lock();
        let services = servers
            .values()
            .filter(|server| server.entry.kind == InstanceKind::AppEngine);
        let services = services.map(|server| ServiceInstance {
            instance: server.entry.name.clone(),
            addr: server.entry.addr,
            failure_domain: server.entry.failure_domain.clone(),
            labels: server.entry.labels.clone(),
            state: state_of(server, false),
            stats: server.stats.clone(),
        });
        services.collect()
    }

    fn to_ask(&self) -> Vec<(EngineId, SocketAddr, u64)> {
        let servers = self.lock();
        let engines = servers
            .values()
            .filter(|server| server.entry.kind == InstanceKind::ModelEngine);
        engines
            .map(|server| {
                (
                    server.entry.name.clone(),
                    server.entry.addr,
                    server.next_cache_event,
                )
            })
            .collect()
    }

    /// Takes an engine's answer; returns whether its state changed.
    fn answered(&self, name: &EngineId, info: Option<EngineInfo>) -> bool {
        let mut servers = self.lock();
        let Some(server) = servers.get_mut(name) else {
            return false;
        };
        let was_lost = server.failed_asks >= LOST_AFTER;
        let Some(info) = info else {
            server.failed_asks = server.failed_asks.saturating_add(1);
            return !was_lost && server.failed_asks >= LOST_AFTER;
        };
        server.failed_asks = 0;
        let is_changed = was_lost || server.info.as_ref() != Some(&info);
        server.info = Some(info);
        is_changed
    }

    fn stats(&self, name: &EngineId) -> Option<Arc<EngineStats>> {
        self.lock().get(name).map(|server| server.stats.clone())
    }

    fn cache_events_read(&self, name: &EngineId, next: u64) {
        if let Some(server) = self.lock().get_mut(name) {
            server.next_cache_event = next;
        }
    }
}

fn state_of(server: &KnownServer, says_leaving: bool) -> EngineState {
    if says_leaving || server.entry.state == InstanceState::Leaving {
        return EngineState::Leaving;
    }
    if server.failed_asks >= LOST_AFTER {
        return EngineState::Lost;
    }
    EngineState::Live
}

/// Puts a new snapshot in place of the one that requests read.
pub(crate) fn rebuild(entry: &EntryState) {
    let _one_at_a_time = entry.known.lock_rebuild();
    let former = entry.snapshot.load_full();
    let next = Snapshot::next(
        &former,
        entry.config.table(),
        entry.known.engines(),
        entry.known.services(),
    );
    entry.snapshot.store(Arc::new(next));
}

pub(crate) fn start(entry: &Arc<EntryState>) {
    tokio::spawn(follow_list(entry.clone()));
    tokio::spawn(follow_engines(entry.clone()));
    tokio::spawn(pump(entry.clone()));
}

async fn follow_list(entry: Arc<EntryState>) {
    let interval = Duration::from_millis(entry.settings.limits.list_interval_ms);
    let mut failures = 0;
    loop {
        match entry.platform.instances().await {
            Ok(list) => {
                failures = 0;
                if entry.known.listed(list.instances) {
                    rebuild(&entry);
                    ask_all(&entry).await;
                }
            }
            Err(error) => {
                failures += 1;
                info!(entry.log, "discovery: list not read, the last one stays";
                    "part" => "discovery", "failures" => failures, "error" => %error);
            }
        }
        let slower = interval * (1 + failures.min(4));
        tokio::time::sleep(jittered(slower)).await;
    }
}

async fn follow_engines(entry: Arc<EntryState>) {
    let interval = Duration::from_millis(entry.settings.limits.load_interval_ms);
    loop {
        ask_all(&entry).await;
        tokio::time::sleep(jittered(interval)).await;
    }
}

async fn ask_all(entry: &Arc<EntryState>) {
    let asks = entry.known.to_ask().into_iter();
    let asks = asks.map(|(name, addr, from)| ask_one(entry, name, addr, from));
    let changes: Vec<bool> = stream::iter(asks)
        .buffer_unordered(ASKED_AT_ONCE)
        .collect()
        .await;
    if changes.contains(&true) {
        rebuild(entry);
        entry.admission.pump();
    }
}

async fn ask_one(entry: &Arc<EntryState>, name: EngineId, addr: SocketAddr, from: u64) -> bool {
    let info = entry.engines.info(addr).await.ok();
    let is_answering = info.is_some();
    let is_changed = entry.known.answered(&name, info);
    if !is_answering {
        return is_changed;
    }
    let (load, events) = tokio::join!(
        entry.engines.load(addr),
        entry.engines.cache_events(addr, from)
    );
    if let Ok(load) = load
        && let Some(stats) = entry.known.stats(&name)
    {
        stats.reported(Instant::now(), &load);
    }
    if let Ok(events) = events {
        let mut prefixes = entry
            .prefixes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        prefixes.on_events(&name, &events);
        entry.known.cache_events_read(&name, events.next);
    }
    is_changed
}

async fn pump(entry: Arc<EntryState>) {
    loop {
        tokio::time::sleep(PUMP_INTERVAL).await;
        entry.admission.pump();
    }
}
