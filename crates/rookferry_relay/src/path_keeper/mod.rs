//! Looks after the path of a running request.
//!
//! A stage that is lost, leaving or reassigned is replaced by an order to the
//! first engine, which keeps the request. What tells: the fleet changed, or
//! the stream stands still and probes of the path's engines stay unanswered.

mod repair;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use rookferry_core::ModelShape;
use rookferry_core::PathStage;
use rookferry_core::PipelinePath;
use rookferry_core::RunId;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;
use rookferry_core::ServingService;
use rookferry_net::clock;
use rookferry_wire::LayerRange;
use slog::warn;
use tokio::sync::watch;

use crate::engines::StageState;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::liveness::LastSeen;
use crate::load::LoadGuard;
use crate::opener::StreamTarget;
use crate::probe;
use crate::quarantine::BrokenAt;
use crate::quarantine::Reach;
use crate::relay::Relay;
use crate::request::CallerRequest;

/// How long a stream may stand still before its path is probed. Events come
/// every 20 to 50 ms at the published step times; a pause of 200 ms makes an
/// answer late, and probing and repair need part of that.
const STALL_AFTER: Duration = Duration::from_millis(90);
/// How long an engine may have given no sign, through any stream, before a
/// stream that stands still has it probed.
const SILENT_AFTER: Duration = Duration::from_millis(60);
/// The same before the first event, where reading the prompt is the likelier
/// cause: a heartbeat of the instances that share the engines fits in.
const SILENT_BEFORE_FIRST: Duration = Duration::from_millis(200);
/// How long a stream may wait for its first event before its path is probed.
const FIRST_EVENT_AFTER: Duration = Duration::from_millis(220);
/// Time until a stream that goes on standing still is looked at again; doubles.
const STALL_AGAIN: Duration = Duration::from_millis(150);
/// How long a stream may stand still without a lost stage before another run
/// is worth its price; clients wait for two seconds.
const HUNG_AFTER: Duration = Duration::from_millis(500);
/// The same before the first event: it leaves a third of the usual objective
/// of 500 ms to the other run.
const FIRST_EVENT_HUNG_AFTER: Duration = Duration::from_millis(350);
/// A stall after which all engines of the path are asked how slow they are.
const SLOW_AFTER: Duration = Duration::from_millis(200);
/// Least age of a report that is asked for again.
const REPORT_AGAIN: Duration = Duration::from_millis(500);

/// How long a stream whose repair found no room waits until the next; doubles.
///
/// Load pattern: a seventh of the engines is lost and the others are full, while
/// the fleet changes many times a second. With a try at each change, each stream
/// would be refused dozens of times.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(150);

/// The path of a running request.
pub(crate) struct PathKeeper {
    relay: Arc<Relay>,
    request: Arc<CallerRequest>,
    service: ServingService,
    model: Arc<ModelShape>,
    path: PipelinePath,
    fleet: watch::Receiver<u64>,
    look_at: Instant,
    look_pause: Duration,
    stalled_since: Instant,
    refused: Vec<ServerKey>,
    /// When the path may be repaired again after a refusal for want of room.
    repair_at: Instant,
    repair_pause: Duration,
    repairs: u32,
    /// Whether the path has to be looked through; stays set while a look is
    /// cut off by events that come.
    must_check: bool,
    /// Whether no other run takes over, so that a repair may cost what it costs.
    keeps_run: bool,
    progress: Progress,
    /// Whether an event has come that all engines of the path had a part in.
    is_proven: bool,
    /// Engines at which the run broke.
    broken_at: Vec<ServerKey>,
    run: RunId,
    /// When it came to the engines of its path.
    joined: HashMap<ServerKey, Instant>,
    signs: Vec<LastSeen>,
    load: LoadGuard,
}

/// How far the current run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// No event has come.
    Waiting,
    /// Events come.
    Running,
    /// It stands still, and that was told.
    Hung,
}

/// What became of a look at the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Watched {
    /// The path is as good as it gets.
    Fine,
    /// The first engine is lost, and the run with it.
    FirstLost,
    /// Nothing is lost, and still nothing has come for long.
    Hung,
    /// A lost stage could only be replaced in another failure domain. The
    /// link there would carry all the request's tokens again, which takes
    /// longer than another run within one domain.
    Costly,
}

impl PathKeeper {
    pub(crate) fn new(target: &StreamTarget, path: PipelinePath) -> Self {
        let StreamTarget {
            relay,
            request,
            service,
            model,
        } = target;
        let now = clock::now();
        Self {
            load: enter(relay, request, &path),
            signs: signs(relay, &path),
            fleet: relay.fleet_changes.subscribe(),
            relay: relay.clone(),
            request: request.clone(),
            service: service.clone(),
            model: model.clone(),
            look_at: now + FIRST_EVENT_AFTER,
            look_pause: STALL_AGAIN,
            stalled_since: now,
            refused: Vec::new(),
            repair_at: now,
            repair_pause: NO_ROOM_PAUSE,
            repairs: 0,
            must_check: false,
            keeps_run: false,
            progress: Progress::Waiting,
            is_proven: false,
            broken_at: Vec::new(),
            run: rand::random(),
            joined: joined(&path, now),
            path,
        }
    }

    pub(crate) const fn path(&self) -> &PipelinePath {
        &self.path
    }

    pub(crate) const fn run(&self) -> RunId {
        self.run
    }

    pub(crate) const fn repairs(&self) -> u32 {
        self.repairs
    }

    /// The run is lost with its first engine, or its connection broke.
    pub(crate) fn note_broken_at_first(&mut self) {
        self.note_broken_at(self.path.first().server);
    }

    /// The run broke at an engine of its path; that is looked into once.
    fn note_broken_at(&mut self, server: ServerKey) {
        if self.broken_at.contains(&server) {
            return;
        }
        self.broken_at.push(server);
        let progress = if self.is_proven {
            RunProgress::Answering
        } else {
            RunProgress::Begun
        };
        let is_first = server == self.path.first().server;
        let broken = BrokenAt {
            server,
            run: self.run,
            reach: if is_first {
                Reach::Direct
            } else {
                Reach::ByAnother
            },
            progress,
            joined_at: self.joined_at(server),
        };
        self.relay.run_broke(&self.request, broken);
    }

    /// When the run came to an engine of its path.
    pub(crate) fn joined_at(&self, server: ServerKey) -> Instant {
        let joined = self.joined.get(&server).copied();
        joined.unwrap_or_else(clock::now)
    }

    /// The path as a line for logs.
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

    /// How long ago the last event came, or the request was sent.
    pub(crate) fn stands_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.stalled_since)
    }

    /// Events came.
    pub(crate) fn progressed(&mut self, now: Instant) {
        self.stalled_since = now;
        self.look_at = now + STALL_AFTER;
        self.look_pause = STALL_AGAIN;
        if self.progress != Progress::Running {
            self.relay.engines_accepted(self.path.stages(), now);
        }
        self.progress = Progress::Running;
        self.is_proven = true;
        for sign in &self.signs {
            sign.record(now);
        }
    }

    /// Waits until the path must be looked at, and looks after it.
    pub(crate) async fn watch(&mut self) -> Watched {
        if !self.must_check {
            tokio::select! {
                () = clock::sleep_until(self.look_at) => self.look().await,
                _ = self.fleet.changed() => {}
            }
            self.must_check = true;
        }
        let watched = self.repair().await;
        self.must_check = false;
        if watched == Watched::Fine && self.is_hung() {
            self.progress = Progress::Hung;
            return Watched::Hung;
        }
        watched
    }

    /// Whether it has stood still for too long; said once a pause.
    fn is_hung(&self) -> bool {
        let bound = match self.progress {
            Progress::Waiting => FIRST_EVENT_HUNG_AFTER,
            Progress::Running => HUNG_AFTER,
            Progress::Hung => return false,
        };
        clock::since(self.stalled_since) >= bound
    }

    /// The stream stands still: asks every engine of the path for a sign.
    async fn look(&mut self) {
        let stalled = clock::since(self.stalled_since);
        let now = clock::now();
        let silent = self.path.stages().iter().zip(&self.signs);
        let signs = &self.relay.states.liveness;
        let silent_after = match self.progress {
            Progress::Waiting => SILENT_BEFORE_FIRST,
            Progress::Running | Progress::Hung => SILENT_AFTER,
        };
        let is_asked = |server: ServerKey, sign: &LastSeen| {
            let is_slow = stalled >= SLOW_AFTER && signs.report_age(server, now) >= REPORT_AGAIN;
            (is_slow || sign.age(now) >= silent_after)
                && signs.begin_probe(server, probe::PROBE_REUSE, now)
        };
        let probes = silent
            .filter(|(stage, sign)| is_asked(stage.server, sign))
            .map(|(stage, _)| {
                let upstream = self.relay.upstream(stage.server, &self.service);
                probe::check(&self.relay, upstream)
            });
        let found = join_all(probes).await;
        let lost = found.iter().filter(|is_alive| !**is_alive).count();
        let asked = found.len();
        if asked > 0
            && let Some(log) = self.relay.events.line(Weight::Notable)
        {
            warn!(log, "stream: it stands still"; "event" => "path_stalled",
                "request" => &self.request.attempt, "stalled_ms" => millis(stalled),
                "path" => self.describe(), "probed" => asked, "lost" => lost);
        }
        self.look_at = clock::now() + self.look_pause;
        self.look_pause *= 2;
    }

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

    /// No other run takes over: a costly repair is better than none.
    pub(crate) fn keep_run(&mut self) {
        self.keeps_run = true;
        self.must_check = true;
    }
}

impl Drop for PathKeeper {
    fn drop(&mut self) {
        // The load's own drop comes after this; a waiter looks a moment later.
        self.relay.admission_gate.note_freed(&self.service.name);
    }
}

fn enter(relay: &Relay, request: &CallerRequest, path: &PipelinePath) -> LoadGuard {
    let view = relay.view.load();
    // An engine keeps a token's cache for the layers that it runs only.
    let part = |stage: &PathStage| {
        let held = view.server(stage.server).and_then(|server| server.held);
        let held = held.map_or(stage.layers.len(), LayerRange::len);
        f64::from(stage.layers.len()) / f64::from(held.max(stage.layers.len()).max(1))
    };
    let parts = path
        .stages()
        .iter()
        .map(|stage| (stage.server, request.tokens() * part(stage)));
    relay.states.loads.enter(parts.collect())
}

fn joined(path: &PipelinePath, now: Instant) -> HashMap<ServerKey, Instant> {
    let stages = path.stages().iter();
    stages.map(|stage| (stage.server, now)).collect()
}

fn signs(relay: &Relay, path: &PipelinePath) -> Vec<LastSeen> {
    let stages = path.stages().iter();
    stages
        .map(|stage| relay.states.liveness.last_seen(stage.server))
        .collect()
}
