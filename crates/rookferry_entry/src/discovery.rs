//! Follows the platform's list and the engines, and builds the snapshot that
//! requests read.
//!
//! The list names backend servers and is late. Each engine is asked by one
//! instance of its failure domain, which passes on by heartbeat what it hears.
//! An engine that doesn't answer is taken for lost until it does. What the
//! list, the engine or a peer says about leaving is in force with the next
//! snapshot.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream;
use rand::RngExt;
use rookferry_core::MemberState;
use rookferry_core::PollReason;
use rookferry_core::poll_interval;
use rookferry_net::clock;
use rookferry_wire::EngineDigest;
use rookferry_wire::InstanceId;
use rookferry_wire::InstanceList;
use rookferry_wire::PeerRequest;
use rookferry_wire::PeerResponse;
use slog::info;

use crate::config_sync::jittered;
use crate::entry::EntryState;
use crate::known::Ask;
use crate::known::Asker;
use crate::peers;
use crate::snapshot::Snapshot;

/// Engines asked at once.
const ASKED_AT_ONCE: usize = 32;
/// How often waiting requests are looked at when nothing else does.
const PUMP_INTERVAL: Duration = Duration::from_millis(20);
/// How long an engine's word about itself may be old before it is asked again.
const DESCRIBE_INTERVAL: Duration = Duration::from_millis(700);
/// Asks between two looks at an engine's cache events.
const CACHE_ROUNDS: u64 = 4;

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

/// Takes what a peer passes on about engines.
pub(crate) fn heard(entry: &EntryState, digests: &[EngineDigest]) {
    if entry.known.heard(clock::now(), digests) {
        rebuild(entry);
        entry.admission.pump();
    }
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
                listed(&entry, list);
            }
            Err(error) => {
                failures += 1;
                info!(entry.log, "discovery: list not read, the last one stays";
                    "part" => "discovery", "failures" => failures, "error" => %error);
                if let Some(list) = ask_peer_for_list(&entry).await {
                    listed(&entry, list);
                }
            }
        }
        let slower = interval * (1 + failures.min(4));
        tokio::time::sleep(jittered(slower)).await;
    }
}

fn listed(entry: &EntryState, list: InstanceList) {
    if entry.known.listed(list.instances) {
        rebuild(entry);
        entry.list_changed.notify_one();
    }
}

/// An instance that can't read the platform's list takes a peer's, which may
/// be newer than its own, or the only one that it gets.
async fn ask_peer_for_list(entry: &EntryState) -> Option<InstanceList> {
    let peers: Vec<SocketAddr> = {
        let members = entry.peers.lock();
        let live = members
            .members()
            .filter(|member| member.state == MemberState::Live);
        live.map(|member| member.heartbeat.peer_addr).collect()
    };
    let chosen = rand::rng().random_range(0..peers.len().max(1));
    let addr = *peers.get(chosen)?;
    match peers::ask(entry, addr, &PeerRequest::Instances).await {
        Ok(PeerResponse::Instances(list)) if !list.instances.is_empty() => Some(list),
        _ => None,
    }
}

async fn follow_engines(entry: Arc<EntryState>) {
    let limits = &entry.settings.limits;
    let shortest = Duration::from_millis(limits.load_interval_ms);
    let mut round = 0;
    let mut described_at: Option<Instant> = None;
    loop {
        round += 1;
        let now = clock::now();
        let is_describing =
            described_at.is_none_or(|at| now.saturating_duration_since(at) >= DESCRIBE_INTERVAL);
        if is_describing {
            described_at = Some(now);
        }
        let asked = ask_all(&entry, round, is_describing).await;
        let interval = poll_interval(asked, limits.ask_bytes_per_s, shortest);
        let changed = entry.list_changed.notified();
        let _ = tokio::time::timeout(jittered(interval), changed).await;
    }
}

/// Asks those engines that are to be asked here; returns how many there were.
async fn ask_all(entry: &Arc<EntryState>, round: u64, is_describing: bool) -> usize {
    let by_domain = entry.peers.lock().live_by_domain();
    let all: Vec<InstanceId> = by_domain.values().flatten().cloned().collect();
    let instance = Asker {
        own: &entry.instance,
        failure_domain: &entry.failure_domain,
        by_domain: &by_domain,
        all: &all,
        bytes_per_s: entry.settings.limits.ask_bytes_per_s,
    };
    let asks = entry.known.to_ask(clock::now(), &instance);
    let asked = asks.len();
    let asks = asks
        .into_iter()
        .map(|ask| ask_one(entry, ask, round, is_describing));
    let changes: Vec<bool> = stream::iter(asks)
        .buffer_unordered(ASKED_AT_ONCE)
        .collect()
        .await;
    if changes.contains(&true) {
        rebuild(entry);
        entry.peers.wake.notify_waiters();
    }
    if asked > 0 {
        entry.admission.pump();
    }
    asked
}

async fn ask_one(entry: &Arc<EntryState>, ask: Ask, round: u64, is_describing: bool) -> bool {
    let Ask { engine, addr, .. } = ask;
    // That it isn't asked says nothing against it.
    if entry.backoffs.remaining(addr).is_some() {
        return false;
    }
    let Ok(load) = entry.engines.load(addr).await else {
        return entry.known.described(clock::now(), &engine, None);
    };
    entry.known.reported(clock::now(), &engine, load);
    if round.is_multiple_of(CACHE_ROUNDS)
        && let Ok(events) = entry.engines.cache_events(addr, ask.next_cache_event).await
    {
        let mut prefixes = entry
            .prefixes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        prefixes.on_events(&engine, &events);
        entry.known.cache_events_read(&engine, events.next);
    }
    if ask.reason == PollReason::Assigned && !is_describing {
        return false;
    }
    let info = entry.engines.info(addr).await.ok();
    entry.known.described(clock::now(), &engine, info)
}

async fn pump(entry: Arc<EntryState>) {
    loop {
        entry.admission.someone_waits().await;
        tokio::time::sleep(PUMP_INTERVAL).await;
        entry.admission.pump();
    }
}
