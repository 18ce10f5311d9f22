//! Discovery: reads the platform's list, polls engines, and rebuilds the snapshot
//! that the request path reads.
//!
//! The list names the backend servers, with a delay. Each engine is polled by one
//! instance of its failure domain, which passes the results on in its heartbeats.
//! An engine whose polls fail counts as lost until one succeeds. When the list, the
//! engine or a peer reports that a server is leaving, this takes effect with the
//! next snapshot.

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
use crate::peers;
use crate::registry::EnginePoll;
use crate::registry::PollContext;
use crate::snapshot::Snapshot;

/// Most engines polled concurrently.
const MAX_CONCURRENT_POLLS: usize = 32;
/// How often the admission queues are served while requests are queued.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two polls of the info of assigned engines.
const INFO_INTERVAL: Duration = Duration::from_millis(700);
/// Cache events are read in every n-th polling round.
const ROUNDS_PER_CACHE_READ: u64 = 4;

/// Builds a snapshot and replaces the current one.
pub(crate) fn rebuild(entry: &EntryState) {
    let _one_at_a_time = entry.registry.lock_rebuild();
    let former = entry.snapshot.load_full();
    let next = Snapshot::next(
        &former,
        entry.config.table(),
        entry.registry.engines(),
        entry.registry.services(),
    );
    entry.snapshot.store(Arc::new(next));
}

/// Merges the engine digests of a peer's heartbeat.
pub(crate) fn merge_digests(entry: &EntryState, digests: &[EngineDigest]) {
    if entry.registry.merge_digests(clock::now(), digests) {
        rebuild(entry);
        entry.admission.place_waiting();
    }
}

pub(crate) fn start(entry: &Arc<EntryState>) {
    tokio::spawn(follow_list(entry.clone()));
    tokio::spawn(follow_engines(entry.clone()));
    tokio::spawn(place_periodically(entry.clone()));
}

async fn follow_list(entry: Arc<EntryState>) {
    let interval = Duration::from_millis(entry.settings.limits.list_interval_ms);
    let mut failures = 0;
    loop {
        match entry.platform.instances().await {
            Ok(list) => {
                failures = 0;
                apply_list(&entry, list);
            }
            Err(error) => {
                failures += 1;
                info!(entry.log, "discovery: platform's list not read; the last one stays";
                    "part" => "discovery", "failures" => failures, "error" => %error);
                if let Some(list) = fetch_list_from_peer(&entry).await {
                    apply_list(&entry, list);
                }
            }
        }
        let slower = interval * (1 + failures.min(4));
        tokio::time::sleep(jittered(slower)).await;
    }
}

fn apply_list(entry: &EntryState, list: InstanceList) {
    if entry.registry.apply_list(list.instances) {
        rebuild(entry);
        entry.list_changed.notify_one();
    }
}

/// Fetches the list from a random live peer, for an instance that can't read the
/// platform. The peer's list may be newer, or the only one available.
async fn fetch_list_from_peer(entry: &EntryState) -> Option<InstanceList> {
    let peers: Vec<SocketAddr> = {
        let members = entry.peers.lock();
        let live = members
            .members()
            .filter(|member| member.state == MemberState::Live);
        live.map(|member| member.heartbeat.peer_addr).collect()
    };
    let chosen = rand::rng().random_range(0..peers.len().max(1));
    let addr = *peers.get(chosen)?;
    match peers::send_request(entry, addr, &PeerRequest::Instances).await {
        Ok(PeerResponse::Instances(list)) if !list.instances.is_empty() => Some(list),
        _ => None,
    }
}

async fn follow_engines(entry: Arc<EntryState>) {
    let limits = &entry.settings.limits;
    let shortest = Duration::from_millis(limits.load_interval_ms);
    let mut round = 0;
    let mut info_polled_at: Option<Instant> = None;
    loop {
        round += 1;
        let now = clock::now();
        let is_info_due =
            info_polled_at.is_none_or(|at| now.saturating_duration_since(at) >= INFO_INTERVAL);
        if is_info_due {
            info_polled_at = Some(now);
        }
        let polled = poll_engines(&entry, round, is_info_due).await;
        let interval = poll_interval(polled, limits.ask_bytes_per_s, shortest);
        let changed = entry.list_changed.notified();
        let _ = tokio::time::timeout(jittered(interval), changed).await;
    }
}

/// Polls the engines that are due on this instance; returns their number.
async fn poll_engines(entry: &Arc<EntryState>, round: u64, is_info_due: bool) -> usize {
    let by_domain = entry.peers.lock().live_by_domain();
    let all: Vec<InstanceId> = by_domain.values().flatten().cloned().collect();
    let context = PollContext {
        own: &entry.instance,
        failure_domain: &entry.failure_domain,
        by_domain: &by_domain,
        all: &all,
        bytes_per_s: entry.settings.limits.ask_bytes_per_s,
    };
    let polls = entry.registry.due_polls(clock::now(), &context);
    let polled = polls.len();
    let polls = polls
        .into_iter()
        .map(|poll| poll_engine(entry, poll, round, is_info_due));
    let changes: Vec<bool> = stream::iter(polls)
        .buffer_unordered(MAX_CONCURRENT_POLLS)
        .collect()
        .await;
    if changes.contains(&true) {
        rebuild(entry);
        entry.peers.wake.notify_waiters();
    }
    if polled > 0 {
        entry.admission.place_waiting();
    }
    polled
}

async fn poll_engine(
    entry: &Arc<EntryState>,
    poll: EnginePoll,
    round: u64,
    is_info_due: bool,
) -> bool {
    let EnginePoll { engine, addr, .. } = poll;
    // A poll skipped because of a backoff doesn't count as failed.
    if entry.backoffs.remaining(addr).is_some() {
        return false;
    }
    let Ok(load) = entry.engines.load(addr).await else {
        return entry.registry.record_info(clock::now(), &engine, None);
    };
    entry.registry.record_load(clock::now(), &engine, load);
    if round.is_multiple_of(ROUNDS_PER_CACHE_READ)
        && let Ok(events) = entry
            .engines
            .cache_events(addr, poll.next_cache_event)
            .await
    {
        let mut prefixes = entry
            .prefixes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        prefixes.on_events(&engine, &events);
        entry.registry.record_next_cache_event(&engine, events.next);
    }
    if poll.reason == PollReason::Assigned && !is_info_due {
        return false;
    }
    let info = entry.engines.info(addr).await.ok();
    entry.registry.record_info(clock::now(), &engine, info)
}

async fn place_periodically(entry: Arc<EntryState>) {
    loop {
        entry.admission.wait_until_queued().await;
        tokio::time::sleep(QUEUE_INTERVAL).await;
        entry.admission.place_waiting();
    }
}
