//! Monitors and repairs the path of a running request.
//!
//! A stage that is lost, leaving or reassigned is replaced by an order to the first
//! engine, which keeps the request. The path is checked when the fleet changes, and
//! when the stream stalls; engines of a stalled stream are probed first.
//!
//! When a stream counts as stalled follows the pace of the instance's streams: the bounds
//! of its service's tracker rise while all engines are slow. A budget limits the probes
//! meanwhile.

mod repair;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use metrics::counter;
use rookferry_core::ModelShape;
use rookferry_core::PaceTracker;
use rookferry_core::PathStage;
use rookferry_core::PipelinePath;
use rookferry_core::RunId;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;
use rookferry_core::ServingService;
use rookferry_core::StallBounds;
use rookferry_net::clock;
use rookferry_wire::LayerRange;
use slog::warn;
use tokio::sync::watch;

use crate::engines::StageState;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::liveness::LastSeen;
use crate::load::LoadGuard;
use crate::mutex::lock;
use crate::probe;
use crate::quarantine::Reach;
use crate::quarantine::RunBreak;
use crate::relay::Relay;
use crate::request::CallerRequest;
use crate::stream_opener::StreamTarget;
use crate::upstream::Upstream;

/// Age of an engine's last liveness evidence, from any stream, from which a stalled
/// stream has it probed at the fixed stall bound. It rises in proportion to that bound.
const SILENT_AFTER: Duration = Duration::from_millis(60);
/// The same before the first event, where prefill is the likelier cause. It covers a
/// heartbeat of the instances that share the engines.
const SILENT_BEFORE_FIRST: Duration = Duration::from_millis(200);
/// Time until a stream that is still stalled is checked again; doubles each time.
const STALL_RECHECK_AFTER: Duration = Duration::from_millis(150);
/// Stall from which all engines of the path are asked for a report on their speed. It
/// rises by as much as the stall bound.
const SLOW_AFTER: Duration = Duration::from_millis(200);
/// Age from which an engine's report is requested again.
const MIN_REPORT_AGE: Duration = Duration::from_millis(500);

/// How long a stream whose repair was refused for lack of cache waits until the next
/// repair; doubles each time.
///
/// Load pattern: a seventh of the engines is lost and the others are full, while the
/// fleet changes many times a second. With a repair at each change, each stream would
/// be refused dozens of times.
const REFUSED_REPAIR_PAUSE: Duration = Duration::from_millis(150);

/// The path of a running request, with the state of its monitoring and repair.
pub(crate) struct PathSupervisor {
    relay: Arc<Relay>,
    request: Arc<CallerRequest>,
    service: ServingService,
    model: Arc<ModelShape>,
    path: PipelinePath,
    /// Signals changes of the fleet.
    fleet: watch::Receiver<u64>,
    /// When the path is probed unless events arrive before.
    check_at: Instant,
    check_pause: Duration,
    /// When the last event arrived, or the request was sent.
    stalled_since: Instant,
    /// Engines that refused a repair since the last successful one.
    refused: Vec<ServerKey>,
    /// Earliest time of the next repair, after a refusal or during a backoff.
    repair_at: Instant,
    repair_pause: Duration,
    repairs: u32,
    /// Whether the path has to be checked. Stays set when an arriving event cancels
    /// a check.
    must_check: bool,
    /// Whether no other run can take over, so that a repair may cost any time.
    allows_costly_repair: bool,
    phase: RunPhase,
    /// Whether an event has arrived that all engines of the current path contributed to.
    is_proven: bool,
    /// Engines at which the run broke.
    broken_engines: Vec<ServerKey>,
    run: RunId,
    /// When the run reached each engine of its path.
    joined: HashMap<ServerKey, Instant>,
    /// The first engine, with the record of how the run was sent to it.
    upstream: Option<Upstream>,
    /// The engines' liveness evidence, in the order of the stages.
    last_seen: Vec<LastSeen>,
    /// The pace of the service's streams.
    pace: Arc<Mutex<PaceTracker>>,
    load: LoadGuard,
}

/// How far the current run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunPhase {
    /// No event has arrived.
    Waiting,
    /// Events arrive.
    Running,
    /// The stream hangs, and that was reported.
    Hung,
}

/// Result of a check of the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PathCheck {
    /// The path needs no action, or none is possible now.
    NoAction,
    /// The first engine is lost, or the own path to it, and the run with it.
    FirstEngineLost,
    /// No engine is lost, but no event has arrived for too long.
    Hung,
    /// A lost stage could only be replaced in another failure domain. The link between
    /// domains would carry all the request's tokens again, which takes longer than
    /// another run within one domain. Or the first engine asked for a backoff.
    RepairTooCostly,
}

impl PathSupervisor {
    /// Starts monitoring a path, and counts the request at its engines.
    pub(crate) fn new(target: &StreamTarget, path: PipelinePath) -> Self {
        let StreamTarget {
            relay,
            request,
            service,
            model,
        } = target;
        let now = clock::now();
        let pace = relay.pace_trackers.of(&service.name);
        let first_event_bound = lock(&pace).bounds(now).first_event;
        Self {
            load: track_load(relay, request, &path),
            last_seen: last_seen(relay, &path),
            fleet: relay.fleet_changes.subscribe(),
            relay: relay.clone(),
            request: request.clone(),
            service: service.clone(),
            model: model.clone(),
            check_at: now + first_event_bound,
            check_pause: STALL_RECHECK_AFTER,
            stalled_since: now,
            refused: Vec::new(),
            repair_at: now,
            repair_pause: REFUSED_REPAIR_PAUSE,
            repairs: 0,
            must_check: false,
            allows_costly_repair: false,
            phase: RunPhase::Waiting,
            is_proven: false,
            broken_engines: Vec::new(),
            run: rand::random(),
            joined: joined(&path, now),
            upstream: None,
            pace,
            path,
        }
    }

    /// Sets what the run is sent over.
    pub(crate) fn set_upstream(&mut self, upstream: Upstream) {
        self.upstream = Some(upstream);
    }

    pub(crate) const fn path(&self) -> &PipelinePath {
        &self.path
    }

    pub(crate) const fn run(&self) -> RunId {
        self.run
    }

    /// Number of repairs of the run's path.
    pub(crate) const fn repairs(&self) -> u32 {
        self.repairs
    }

    /// Records that the run broke at its first engine, or with the connection to it.
    pub(crate) fn record_broken_at_first(&mut self) {
        self.record_broken_at(self.path.first().server);
    }

    /// Records that the run broke at an engine of its path; once per engine.
    fn record_broken_at(&mut self, server: ServerKey) {
        if self.broken_engines.contains(&server) {
            return;
        }
        self.broken_engines.push(server);
        let progress = if self.is_proven {
            RunProgress::Answering
        } else {
            RunProgress::Begun
        };
        let is_first = server == self.path.first().server;
        let broken = RunBreak {
            server,
            run: self.run,
            reach: if is_first {
                Reach::Direct
            } else {
                Reach::Forwarded
            },
            progress,
            joined_at: self.joined_at(server),
        };
        self.relay.record_broken_run(&self.request, broken);
    }

    /// When the run reached an engine of its path; now for any other.
    pub(crate) fn joined_at(&self, server: ServerKey) -> Instant {
        let joined = self.joined.get(&server).copied();
        joined.unwrap_or_else(clock::now)
    }

    /// The path for logs, as `addr=start-end` parts joined by commas.
    pub(crate) fn describe(&self) -> String {
        let stages = self.path.stages().iter();
        let parts: Vec<String> = stages
            .map(|stage| {
                format!(
                    "{}={}-{}",
                    stage.addr(),
                    stage.layers.start,
                    stage.layers.end
                )
            })
            .collect();
        parts.join(",")
    }

    /// Time since the last event, or since the request was sent.
    pub(crate) fn stalled_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.stalled_since)
    }

    /// Records that the stream starts, which adds a probe to the budget.
    pub(crate) fn record_stream_start(&self) {
        lock(&self.pace).record_start();
    }

    /// Records arrived events, which show that all engines of the path are alive.
    pub(crate) fn record_progress(&mut self, now: Instant) {
        let bounds = self.record_pace(now);
        self.stalled_since = now;
        self.check_at = now + bounds.running;
        self.check_pause = STALL_RECHECK_AFTER;
        if self.phase != RunPhase::Running {
            self.relay.engines_accepted(self.path.stages(), now);
        }
        self.phase = RunPhase::Running;
        self.is_proven = true;
        for seen in &self.last_seen {
            seen.record(now);
        }
    }

    /// Records the time that arrived events took, unless the path was repaired meanwhile;
    /// returns the bounds after that.
    fn record_pace(&self, now: Instant) -> StallBounds {
        let took = self.stalled_for(now);
        let mut pace = lock(&self.pace);
        if self.is_proven {
            pace.record_gap(took, now);
        } else if self.repairs == 0 {
            pace.record_first_event(took, now);
        }
        pace.bounds(now)
    }

    fn bounds(&self, now: Instant) -> StallBounds {
        lock(&self.pace).bounds(now)
    }

    /// Whether the stream is silent for as long as a running one counts as stalled.
    fn has_stalled(&self) -> bool {
        let now = clock::now();
        self.stalled_for(now) >= self.bounds(now).running
    }

    /// Waits until the path must be checked, then checks and repairs it.
    ///
    /// May be cancelled at any point; the next call repeats the check.
    pub(crate) async fn watch(&mut self) -> PathCheck {
        if !self.must_check {
            tokio::select! {
                () = clock::sleep_until(self.check_at) => self.probe_path().await,
                _ = self.fleet.changed() => {}
            }
            self.must_check = true;
        }
        let watched = self.repair().await;
        self.must_check = false;
        if watched == PathCheck::NoAction && self.is_hung() {
            self.phase = RunPhase::Hung;
            return PathCheck::Hung;
        }
        watched
    }

    /// Whether the stream has stalled for too long; true once per stall.
    fn is_hung(&self) -> bool {
        let now = clock::now();
        let bounds = self.bounds(now);
        let bound = match self.phase {
            RunPhase::Waiting => bounds.first_event_hung,
            RunPhase::Running => bounds.hung,
            RunPhase::Hung => return false,
        };
        self.stalled_for(now) >= bound
    }

    /// Probes the engines of a stalled stream's path that were silent for too long, and
    /// asks for the reports of all if the stall goes on.
    async fn probe_path(&mut self) {
        let now = clock::now();
        let stalled = self.stalled_for(now);
        let bounds = self.bounds(now);
        let fixed = StallBounds::FIXED;
        let (bound, fixed_bound, fixed_silent_after) = match self.phase {
            RunPhase::Waiting => (bounds.first_event, fixed.first_event, SILENT_BEFORE_FIRST),
            RunPhase::Running | RunPhase::Hung => (bounds.running, fixed.running, SILENT_AFTER),
        };
        let raised_by = bound.saturating_sub(fixed_bound);
        // The bound has risen since the check was scheduled.
        if !raised_by.is_zero() && stalled < bound {
            self.check_at = self.stalled_since + bound;
            return;
        }
        let silent_after =
            fixed_silent_after.mul_f64(bound.as_secs_f64() / fixed_bound.as_secs_f64());
        let slow_after = SLOW_AFTER + raised_by;
        let signs = &self.relay.states.liveness;
        let first = self.path.first().server;
        // Peers' evidence says nothing of the own path to the first engine.
        let upstream = self.relay.upstream(first, &self.service);
        let is_path_broken = self.relay.broken_path(&upstream).is_some();
        // A lost connection is evidence of a failure at any pace.
        let is_connection_lost = |server| {
            let answered_at = self.relay.pool.answered_directly_at(server);
            let broke_at = self.relay.pool.broke_directly_at(server);
            server == first && is_path_broken
                || broke_at.is_some_and(|at| answered_at.is_none_or(|answered| at >= answered))
        };
        let is_path_silent = |server: ServerKey| {
            let answered_at = self.relay.pool.answered_directly_at(server);
            let since = |at| now.saturating_duration_since(at);
            server == first
                && !is_path_broken
                && answered_at.is_some_and(|at| since(at) >= silent_after)
        };
        let is_asked = |server: ServerKey, seen: &LastSeen| {
            let is_slow = stalled >= slow_after && signs.report_age(server, now) >= MIN_REPORT_AGE;
            (is_slow || seen.age(now) >= silent_after || is_path_silent(server))
                && signs.begin_probe_if(server, probe::PROBE_REUSE, now, || {
                    is_connection_lost(server) || self.take_probe(now)
                })
        };
        let mut engines: Vec<_> = self.path.stages().iter().zip(&self.last_seen).collect();
        // The budget may not suffice for all, and the longest silent is the likeliest lost.
        engines.sort_by_key(|(_, seen)| Reverse(seen.age(now)));
        engines.retain(|(stage, seen)| is_asked(stage.server, seen));
        let probes = engines.into_iter().map(|(stage, _)| {
            let upstream = self.relay.upstream(stage.server, &self.service);
            probe::check(&self.relay, upstream)
        });
        let found = join_all(probes).await;
        let lost = found.iter().filter(|is_alive| !**is_alive).count();
        let asked = found.len();
        if asked > 0
            && let Some(log) = self.relay.events.line(Weight::Notable)
        {
            warn!(log, "stream: stalled, its engines were probed"; "event" => "path_stalled",
                "request" => &self.request.attempt, "stalled_ms" => millis(stalled),
                "bound_ms" => millis(bound), "path" => self.describe(), "probed" => asked, "lost" => lost);
        }
        self.check_at = clock::now() + self.check_pause;
        self.check_pause *= 2;
        self.check_by_hung_bound();
    }

    /// Moves the next check forward to the time at which the stream counts as hung, if the
    /// bounds are raised: the first check then comes later than usual.
    fn check_by_hung_bound(&mut self) {
        let now = clock::now();
        let bounds = self.bounds(now);
        if bounds == StallBounds::FIXED {
            return;
        }
        let hung_after = match self.phase {
            RunPhase::Waiting => bounds.first_event_hung,
            RunPhase::Running => bounds.hung,
            RunPhase::Hung => return,
        };
        let hung_at = self.stalled_since + hung_after;
        if hung_at > now {
            self.check_at = self.check_at.min(hung_at);
        }
    }

    /// Takes a probe out of the budget; counts it if none is left.
    fn take_probe(&self, now: Instant) -> bool {
        let is_taken = lock(&self.pace).take_probe(now);
        if !is_taken {
            counter!("rookferry_probes_denied_total").increment(1);
        }
        is_taken
    }

    /// The state of a stage; lost if its engine refused a repair.
    fn state_of(&self, stage: &PathStage) -> StageState {
        let view = self.relay.view.load();
        let Some(table) = &view.servers else {
            return StageState::Usable;
        };
        if self.refused.contains(&stage.server) {
            return StageState::Lost;
        }
        self.relay.stage_state(table, stage)
    }

    fn stages_in(&self, state: StageState) -> Vec<PathStage> {
        let stages = self.path.stages().iter();
        stages
            .filter(|stage| self.state_of(stage) == state)
            .cloned()
            .collect()
    }

    /// Allows costly repairs, since no other run can take over.
    pub(crate) fn allow_costly_repair(&mut self) {
        self.allows_costly_repair = true;
        self.must_check = true;
    }
}

impl Drop for PathSupervisor {
    fn drop(&mut self) {
        // The load guard is dropped right after this; a woken request checks later.
        self.relay.admission_gate.record_freed(&self.service.name);
    }
}

/// Counts the request at the engines of its path.
fn track_load(relay: &Relay, request: &CallerRequest, path: &PipelinePath) -> LoadGuard {
    let view = relay.view.load();
    // An engine caches a token only for the layers that it runs.
    let part = |stage: &PathStage| {
        let held = view.server(stage.server).and_then(|server| server.held);
        let held = held.map_or(stage.layers.len(), LayerRange::len);
        f64::from(stage.layers.len()) / f64::from(held.max(stage.layers.len()).max(1))
    };
    let parts = path
        .stages()
        .iter()
        .map(|stage| (stage.server, request.tokens() * part(stage)));
    relay.states.loads.track(parts.collect())
}

/// The engines of a path, each with the same time.
fn joined(path: &PipelinePath, now: Instant) -> HashMap<ServerKey, Instant> {
    let stages = path.stages().iter();
    stages.map(|stage| (stage.server, now)).collect()
}

/// The liveness evidence of a path's engines, in the order of the stages.
fn last_seen(relay: &Relay, path: &PipelinePath) -> Vec<LastSeen> {
    let stages = path.stages().iter();
    stages
        .map(|stage| relay.states.liveness.last_seen(stage.server))
        .collect()
}
