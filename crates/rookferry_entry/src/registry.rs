//! Registry of the backend servers in the platform's list.
//!
//! It combines the list with the results of this instance's own polls and with the
//! digests that peers send in heartbeats. The snapshot of engines and services is
//! built from it, and it decides which engines to poll next.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::Engine;
use rookferry_core::EngineState;
use rookferry_core::EngineStats;
use rookferry_core::PollInput;
use rookferry_core::PollReason;
use rookferry_core::ServiceInstance;
use rookferry_core::engine_tag;
use rookferry_core::extra_polls_allowed;
use rookferry_core::info_tag;
use rookferry_core::poll_reason;
use rookferry_wire::DomainId;
use rookferry_wire::EngineDigest;
use rookferry_wire::EngineId;
use rookferry_wire::EngineInfo;
use rookferry_wire::InstanceEntry;
use rookferry_wire::InstanceId;
use rookferry_wire::InstanceKind;
use rookferry_wire::InstanceList;
use rookferry_wire::InstanceState;
use rookferry_wire::LoadReport;

/// Consecutive failed polls after which an engine counts as lost.
const LOST_AFTER_FAILURES: u32 = 2;

#[derive(Debug)]
struct ServerRecord {
    entry: InstanceEntry,
    tag: u32,
    info: Option<EngineInfo>,
    failed_polls: u32,
    next_cache_event: u64,
    stats: Arc<EngineStats>,
    /// Last load report from the engine itself, with the time of receipt.
    report: Option<(Instant, LoadReport)>,
    /// Whether this instance is assigned to poll it.
    is_assigned: bool,
    /// Time of the last poll or digest; `None` while its info is missing or outdated.
    last_update: Option<Instant>,
}

/// Inputs for the choice of engines to poll: this instance, the live instances,
/// and the polling budget.
#[derive(Debug)]
pub(crate) struct PollContext<'a> {
    pub(crate) own: &'a InstanceId,
    pub(crate) failure_domain: &'a DomainId,
    pub(crate) by_domain: &'a BTreeMap<DomainId, Vec<InstanceId>>,
    pub(crate) all: &'a [InstanceId],
    pub(crate) bytes_per_s: u32,
}

/// An engine to poll, and why.
#[derive(Debug)]
pub(crate) struct EnginePoll {
    pub(crate) engine: EngineId,
    pub(crate) addr: SocketAddr,
    pub(crate) next_cache_event: u64,
    pub(crate) reason: PollReason,
}

/// State of all listed backend servers.
#[derive(Debug, Default)]
pub(crate) struct ServerRegistry {
    servers: Mutex<BTreeMap<EngineId, ServerRecord>>,
    peers: Mutex<Vec<InstanceEntry>>,
    /// Locked while a snapshot is built and stored, so that an older one never
    /// replaces a newer one.
    rebuilding: Mutex<()>,
}

impl ServerRegistry {
    /// The listed entry instances.
    pub(crate) fn peers(&self) -> Vec<InstanceEntry> {
        self.peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn lock_rebuild(&self) -> MutexGuard<'_, ()> {
        self.rebuilding
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<EngineId, ServerRecord>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no backend server is usable: none is listed, or engines are listed and
    /// the info of none is known yet.
    pub(crate) fn is_empty(&self) -> bool {
        let servers = self.lock();
        let mut engines = servers
            .values()
            .filter(|server| server.entry.kind == InstanceKind::ModelEngine)
            .peekable();
        if engines.peek().is_none() {
            return servers.is_empty();
        }
        engines.all(|server| server.info.is_none())
    }

    /// The last list, for peers that can't read the platform.
    pub(crate) fn list(&self) -> InstanceList {
        let servers = self.lock();
        let servers = servers.values().map(|server| server.entry.clone());
        InstanceList {
            instances: servers.chain(self.peers()).collect(),
        }
    }

    /// Replaces the list; returns whether a backend server was added, removed or
    /// changed. A server at a new address starts without state.
    pub(crate) fn apply_list(&self, instances: Vec<InstanceEntry>) -> bool {
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
                Some(known) if known.entry.addr == entry.addr => ServerRecord { entry, ..known },
                _ => ServerRecord::new(entry),
            };
            servers.insert(server.entry.name.clone(), server);
        }
        is_changed |= !former.is_empty();
        *self.peers.lock().unwrap_or_else(PoisonError::into_inner) = peers;
        is_changed
    }

    /// All engines whose info is known.
    pub(crate) fn engines(&self) -> Vec<Engine> {
        let servers = self.lock();
        let engines = servers.values().filter_map(|server| {
            let info = server.info.clone()?;
            Some(Engine {
                state: server.state(),
                info,
                addr: server.entry.addr,
                failure_domain: server.entry.failure_domain.clone(),
                stats: server.stats.clone(),
            })
        });
        engines.collect()
    }

    /// All servers of plain services.
    pub(crate) fn services(&self) -> Vec<ServiceInstance> {
        let servers = self.lock();
        let services = servers
            .values()
            .filter(|server| server.entry.kind == InstanceKind::AppEngine);
        let services = services.map(|server| ServiceInstance {
            instance: server.entry.name.clone(),
            addr: server.entry.addr,
            failure_domain: server.entry.failure_domain.clone(),
            labels: server.entry.labels.clone(),
            state: server.state(),
            stats: server.stats.clone(),
        });
        services.collect()
    }

    /// The engines to poll now: those assigned to this instance, and as many others
    /// as the budget allows. Of these, engines of its own failure domain go first,
    /// then those with the oldest update.
    pub(crate) fn due_polls(&self, now: Instant, context: &PollContext<'_>) -> Vec<EnginePoll> {
        let mut servers = self.lock();
        let mut own = Vec::new();
        let mut others = Vec::new();
        let mut without_info = 0;
        for server in servers.values_mut() {
            if server.entry.kind != InstanceKind::ModelEngine {
                continue;
            }
            let is_local = server.entry.failure_domain == *context.failure_domain;
            let reason = server.reason_to_poll(now, context);
            server.is_assigned = reason == Some(PollReason::Assigned);
            let Some(reason) = reason else {
                continue;
            };
            without_info += usize::from(server.info.is_none());
            if reason == PollReason::Assigned {
                own.push(server.poll(reason));
            } else {
                others.push((!is_local, server.last_update, server.poll(reason)));
            }
        }
        others.sort_by_key(|(is_remote, last_update, _)| (*is_remote, *last_update));
        let allowed = extra_polls_allowed(own.len(), without_info, context.bytes_per_s);
        own.extend(others.into_iter().take(allowed).map(|(.., poll)| poll));
        own
    }

    /// Records an engine's info, or a failed poll if there is none; returns whether
    /// its info or state changed.
    pub(crate) fn record_info(
        &self,
        now: Instant,
        name: &EngineId,
        info: Option<EngineInfo>,
    ) -> bool {
        let mut servers = self.lock();
        let Some(server) = servers.get_mut(name) else {
            return false;
        };
        server.last_update = Some(now);
        let former = server.state();
        let Some(info) = info else {
            server.failed_polls = server.failed_polls.saturating_add(1);
            return server.state() != former;
        };
        server.failed_polls = 0;
        let is_changed = server.info.as_ref() != Some(&info);
        server.info = Some(info);
        is_changed || server.state() != former
    }

    /// Records a load report that was polled from an engine.
    pub(crate) fn record_load(&self, now: Instant, name: &EngineId, report: LoadReport) {
        if let Some(server) = self.lock().get_mut(name) {
            server.stats.record_report(now, &report);
            server.report = Some((now, report));
        }
    }

    pub(crate) fn record_next_cache_event(&self, name: &EngineId, next: u64) {
        if let Some(server) = self.lock().get_mut(name) {
            server.next_cache_event = next;
        }
    }

    /// Digests of the engines that this instance polls, for its heartbeats.
    pub(crate) fn digests(&self, now: Instant) -> Vec<EngineDigest> {
        let servers = self.lock();
        let own = servers.values().filter(|server| server.is_assigned);
        own.filter_map(|server| server.digest(now)).collect()
    }

    /// Merges a peer's digests, except for engines that this instance polls itself;
    /// returns whether an engine's state changed.
    pub(crate) fn merge_digests(&self, now: Instant, digests: &[EngineDigest]) -> bool {
        let mut servers = self.lock();
        let by_tag: BTreeMap<u32, &EngineDigest> = digests
            .iter()
            .map(|digest| (digest.engine, digest))
            .collect();
        let mut is_changed = false;
        for server in servers.values_mut() {
            let Some(digest) = by_tag.get(&server.tag) else {
                continue;
            };
            if !server.is_assigned {
                is_changed |= server.merge_digest(now, digest);
            }
        }
        is_changed
    }
}

impl ServerRecord {
    fn reason_to_poll(&self, now: Instant, context: &PollContext<'_>) -> Option<PollReason> {
        let of_domain = context.by_domain.get(&self.entry.failure_domain);
        let input = PollInput {
            engine: &self.entry.name,
            candidates: of_domain.map_or(context.all, Vec::as_slice),
            is_described: self.info.is_some(),
            last_update: self.last_update,
        };
        poll_reason(now, context.own, &input)
    }

    fn poll(&self, reason: PollReason) -> EnginePoll {
        EnginePoll {
            engine: self.entry.name.clone(),
            addr: self.entry.addr,
            next_cache_event: self.next_cache_event,
            reason,
        }
    }

    fn new(entry: InstanceEntry) -> Self {
        Self {
            tag: engine_tag(&entry.name),
            entry,
            info: None,
            failed_polls: 0,
            next_cache_event: 0,
            stats: Arc::default(),
            report: None,
            is_assigned: false,
            last_update: None,
        }
    }

    fn state(&self) -> EngineState {
        let says_leaving = self.info.as_ref().is_some_and(|info| info.leaving);
        if says_leaving || self.entry.state == InstanceState::Leaving {
            return EngineState::Leaving;
        }
        if self.failed_polls >= LOST_AFTER_FAILURES {
            return EngineState::Lost;
        }
        EngineState::Live
    }

    fn digest(&self, now: Instant) -> Option<EngineDigest> {
        let info = self.info.as_ref()?;
        let (at, report) = self.report.as_ref()?;
        let age = now.saturating_duration_since(*at) + Duration::from_millis(report.age_ms);
        Some(EngineDigest {
            engine: self.tag,
            streams: u16::try_from(report.streams).unwrap_or(u16::MAX),
            step_us: u32::try_from(report.step_us).unwrap_or(u32::MAX),
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            info_tag: info_tag(info),
            is_lost: self.failed_polls >= LOST_AFTER_FAILURES,
            is_leaving: info.leaving,
        })
    }

    fn merge_digest(&mut self, now: Instant, digest: &EngineDigest) -> bool {
        let Some(info) = self.info.as_mut() else {
            return false;
        };
        let former = (self.failed_polls >= LOST_AFTER_FAILURES, info.leaving);
        // Changed info has to be polled from the engine; only `leaving` is urgent and
        // taken from the peer.
        info.leaving = digest.is_leaving;
        let is_described = info_tag(info) == digest.info_tag;
        self.failed_polls = if digest.is_lost {
            LOST_AFTER_FAILURES
        } else {
            0
        };
        self.last_update = if is_described { Some(now) } else { None };
        let report = LoadReport {
            age_ms: u64::from(digest.age_ms),
            queued_steps: 0,
            streams: u32::from(digest.streams),
            step_us: u64::from(digest.step_us),
        };
        self.stats.record_report(now, &report);
        former != (digest.is_lost, digest.is_leaving)
    }
}
