//! Backend servers as routing and connections need them: their capacity, the load in
//! flight, and this instance's share of their connections.
//!
//! Inputs are the server table, the server states and the peers' loads; the results are
//! the candidates that paths are planned with.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::Guard;
use rookferry_core::BackendServer;
use rookferry_core::Backoffs;
use rookferry_core::DepartedServers;
use rookferry_core::ModelShape;
use rookferry_core::PathStage;
use rookferry_core::PermitTracker;
use rookferry_core::PipelineEngine;
use rookferry_core::PipelinePath;
use rookferry_core::ProbeRole;
use rookferry_core::ServerHealth;
use rookferry_core::ServerKey;
use rookferry_core::ServerLoad;
use rookferry_core::ServingService;
use rookferry_core::SuspectedServers;
use rookferry_core::Urgency;
use rookferry_net::clock;
use rookferry_wire::LayerRange;
use slog::warn;

use crate::event_log::Weight;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::upstream::Dial;
use crate::upstream::SentRecord;
use crate::upstream::Upstream;
use crate::view::ServerTable;

/// The share of a server's connections that instances of its own failure domain divide
/// among themselves; the other instances divide the rest.
const LOCAL_CONNECTION_SHARE: f64 = 0.6;
/// Least connections that an instance may open to a server.
const MIN_CONNECTIONS: usize = 3;

/// Age from which an instance knows its peers' loads: representatives begin after 0.4 s
/// and send them every 0.3 s.
const PEER_LOADS_KNOWN_AFTER: Duration = Duration::from_secs(1);

/// State of a stage of a path in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageState {
    /// It holds its layers, and nothing speaks against it.
    Usable,
    /// It is leaving or unloading the layers, and serves running requests until then.
    Leaving,
    /// It doesn't answer, has restarted or was removed.
    Lost,
}

impl Relay {
    /// Records that an engine refused a request, for lack of free cache or because it
    /// accepts no new work. Returns whether it has free cache by what is known, so that
    /// it now counts as refusing.
    pub(crate) fn engine_refused(&self, server: ServerKey, model: &ModelShape) -> bool {
        let now = clock::now();
        let used_tokens = self.load_of(server).tokens;
        let view = self.view.load();
        let entry = view.server(server);
        let room_tokens = entry.map_or(0.0, |entry| published_cache_tokens(entry, model));
        let (was_refusing, is_closed) = {
            let mut refusing = self.states.refusing();
            let was_refusing = refusing.is_refusing(server, now);
            (
                was_refusing,
                refusing.refused(server, used_tokens, room_tokens, now),
            )
        };
        if !is_closed {
            self.states
                .health()
                .refused_for_capacity(server, used_tokens, now);
        } else if !was_refusing && let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "health: a server refuses new work"; "event" => "server_closed",
                "server" => %server.addr, "source" => "own", "used_tokens" => used_tokens,
                "room_tokens" => room_tokens);
        }
        is_closed
    }

    /// The engine that is meant where only an address is given: the incarnation that the
    /// path uses, else the one in use at the address.
    pub(crate) fn engine_at(&self, addr: SocketAddr, path: &PipelinePath) -> Option<ServerKey> {
        let mut stages = path.stages().iter();
        let stage = stages.find(|stage| stage.addr() == addr);
        stage
            .map(|stage| stage.server)
            .or_else(|| self.view.load().server_at(addr))
    }

    /// Records that engines accepted a request's work.
    pub(crate) fn engines_accepted(&self, stages: &[PathStage], now: Instant) {
        let mut refusing = self.states.refusing();
        for stage in stages {
            refusing.accepted(stage.server, now);
        }
    }

    /// The engines of a service that may be a stage now.
    pub(crate) fn pipeline_engines(
        &self,
        table: &ServerTable,
        service: &ServingService,
        model: &ModelShape,
        urgency: Urgency,
    ) -> Vec<PipelineEngine> {
        self.pipeline_engines_at(clock::now(), table, service, model, urgency)
    }

    /// The engines that may be a stage at time `at`, when some backoffs will have ended
    /// and some permits can be requested again.
    pub(crate) fn pipeline_engines_at(
        &self,
        at: Instant,
        table: &ServerTable,
        service: &ServingService,
        model: &ModelShape,
        urgency: Urgency,
    ) -> Vec<PipelineEngine> {
        let now = clock::now();
        let filter = self.server_filter(urgency);
        let health = &filter.health;
        let refusing = self.states.refusing();
        let suspected = self.states.suspected();
        let usable = table
            .of(&service.name)
            .filter(|server| filter.accepts(server, at));
        let engines = usable.filter_map(|server| {
            let mut engine = self.pipeline_engine(server, model, health, now)?;
            engine.is_refusing = refusing.is_refusing(server.key, now)
                || self.is_suspected(&suspected, server.key, now);
            if health.is_full(server.key, now) {
                engine.used_tokens = engine.cache_tokens;
            }
            Some(engine)
        });
        engines.collect()
    }

    /// When servers of a service that accept nothing now may accept requests again: the
    /// ends of backoffs, and the times at which permits can be requested; the earliest
    /// first.
    ///
    /// These are points in time, because a duration that is counted from another time
    /// than the one it was computed at ends microseconds early, when the server is still
    /// backed off from.
    pub(crate) fn retry_times(
        &self,
        table: &ServerTable,
        service: &ServingService,
        urgency: Urgency,
        now: Instant,
    ) -> RetryTimes {
        let backoffs = self.states.backoffs();
        let book = self.permits.tracker();
        let mut wait = RetryTimes::default();
        for server in table.of(&service.name) {
            wait.times.extend(backoffs.until(server.key, now));
            let Some(until) = book.refused_until(server.key, urgency, now) else {
                continue;
            };
            wait.times.push(until);
            let spread = book.spread(server.key);
            wait.spread = Some(wait.spread.map_or(spread, |known| known.min(spread)));
        }
        wait.times.sort_unstable();
        wait
    }

    /// A filter for the servers that may get a request of some urgency.
    pub(crate) fn server_filter(&self, urgency: Urgency) -> ServerFilter<'_> {
        ServerFilter {
            health: self.states.health(),
            backoffs: self.states.backoffs(),
            departed: self.states.departed(),
            book: self.permits.tracker(),
            urgency,
        }
    }

    /// Whether peers suspect a server that has given no liveness evidence since.
    fn is_suspected(&self, suspected: &SuspectedServers, server: ServerKey, now: Instant) -> bool {
        // Liveness lookups take a lock, and few servers are suspected.
        if suspected.since(server).is_none() {
            return false;
        }
        let seen_at = now.checked_sub(self.states.liveness.last_seen(server).age(now));
        suspected.is_excluded(server, seen_at)
    }

    /// What this instance, of the given rank, uses a suspected server for.
    pub(crate) fn probe_role(&self, server: ServerKey, rank: usize) -> ProbeRole {
        ProbeRole {
            has_requests: self.states.loads.of(server).requests > 0,
            plans_layers: self.holds_lease.load(Ordering::Relaxed),
            rank,
        }
    }

    fn pipeline_engine(
        &self,
        server: &BackendServer,
        model: &ModelShape,
        health: &ServerHealth,
        now: Instant,
    ) -> Option<PipelineEngine> {
        let held = server.held.filter(|held| !held.is_empty())?;
        let kind = server
            .accelerator
            .as_deref()
            .and_then(|name| model.kind(name));
        Some(PipelineEngine {
            engine: server.id.clone(),
            server: server.key,
            domain: server.domain.clone(),
            held,
            layer_step_ms: model.layer_step_ms(kind)
                * self.states.liveness.slowdown(server.key, now),
            cache_tokens: health.capacity_tokens(
                server.key,
                published_cache_tokens(server, model),
                now,
            ),
            used_tokens: self.load_of(server.key).tokens,
            is_refusing: false,
        })
    }

    /// The load in flight at a server, from this instance and the peers it receives from.
    ///
    /// Instances that start together don't receive each other's loads yet, so each would
    /// use all the free cache, and engines were overfilled after a power loss. Until the
    /// loads are known, every sharing instance is assumed to have as much in flight as
    /// this one.
    pub(crate) fn load_of(&self, server: ServerKey) -> ServerLoad {
        let own = self.states.loads.of(server);
        let mut load = own;
        load += self.states.peer_load(server);
        if self.age() >= PEER_LOADS_KNOWN_AFTER {
            return load;
        }
        let assumed = own.times(self.instances_sharing(server));
        ServerLoad {
            requests: load.requests.max(assumed.requests),
            tokens: load.tokens.max(assumed.tokens),
        }
    }

    /// How many instances may have requests in flight at a server.
    pub(crate) fn instances_sharing(&self, server: ServerKey) -> usize {
        let known = if self.is_local(server) {
            &self.local_instances
        } else {
            &self.instances
        };
        known.load(Ordering::Relaxed)
    }

    /// Whether a server is in this instance's failure domain.
    fn is_local(&self, server: ServerKey) -> bool {
        let view = self.view.load();
        let entry = view.server(server);
        entry.is_some_and(|entry| entry.domain == self.settings.domain)
    }

    /// State of a stage of a path in use.
    pub(crate) fn stage_state(&self, table: &ServerTable, stage: &PathStage) -> StageState {
        if self.states.health().is_unresponsive(stage.server) {
            return StageState::Lost;
        }
        // A restarted engine has no state of the request.
        let Some(server) = table.get(stage.server) else {
            return StageState::Lost;
        };
        let holds_layers = server.held.is_some_and(|held| held.covers(stage.layers));
        // Layers that are being unloaded still serve running requests.
        if self.states.is_leaving(server) || !holds_layers {
            return StageState::Leaving;
        }
        StageState::Usable
    }

    /// A server with this instance's share of its connections. Most requests stay in
    /// their failure domain, so its instances have the larger share.
    pub(crate) fn upstream(&self, server: ServerKey, service: &ServingService) -> Upstream {
        let limit = f64::from(service.max_connections);
        let local = self.local_instances.load(Ordering::Relaxed).max(1);
        let all = self.instances.load(Ordering::Relaxed).max(local);
        let share = if self.is_local(server) {
            limit * LOCAL_CONNECTION_SHARE / local as f64
        } else {
            limit * (1.0 - LOCAL_CONNECTION_SHARE) / all.saturating_sub(local).max(1) as f64
        };
        Upstream {
            server,
            service: service.name.clone(),
            dial: Dial::Any,
            sent: SentRecord::default(),
            max_connections: floor_to_usize(share).max(MIN_CONNECTIONS),
        }
    }
}

/// Decides which servers may get a new request, by their entries, the results of earlier
/// requests, their announced departures and the refused permits.
pub(crate) struct ServerFilter<'a> {
    pub(crate) health: MutexGuard<'a, ServerHealth>,
    backoffs: Guard<Arc<Backoffs<ServerKey>>>,
    departed: Guard<Arc<DepartedServers>>,
    book: MutexGuard<'a, PermitTracker>,
    urgency: Urgency,
}

impl ServerFilter<'_> {
    /// Whether a server may get a request at a time.
    pub(crate) fn accepts(&self, server: &BackendServer, at: Instant) -> bool {
        let refused = self.book.refused_until(server.key, self.urgency, at);
        !self.health.is_unresponsive(server.key)
            && !self.departed.excludes(server)
            && self.backoffs.until(server.key, at).is_none()
            && refused.is_none()
    }
}

/// When a server may be available again where none is.
#[derive(Debug, Default)]
pub(crate) struct RetryTimes {
    /// The times at which to check again, the earliest first.
    pub(crate) times: Vec<Instant>,
    /// If permits were refused, the time over which callers' retries are spread.
    spread: Option<Duration>,
}

impl RetryTimes {
    /// The refusal for a caller where a server accepts requests from `end` on.
    pub(crate) fn refusal(&self, end: Instant, now: Instant) -> Refusal {
        let left = end.saturating_duration_since(now);
        match self.spread {
            // With the same time for all, every refused caller would come back at once.
            Some(spread) => Refusal::AtLimit(left + spread.mul_f64(rand::random())),
            None => Refusal::BackedOff(left),
        }
    }
}

/// Tokens that fit on an engine beside the layers that it holds, as published.
fn published_cache_tokens(server: &BackendServer, model: &ModelShape) -> f64 {
    let held = server.held.map_or(0, LayerRange::len);
    let kind = server
        .accelerator
        .as_deref()
        .and_then(|name| model.kind(name));
    kind.map_or(0.0, |kind| model.cache_tokens(kind, held))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates, and the share isn't below 0"
)]
const fn floor_to_usize(share: f64) -> usize {
    share as usize
}
