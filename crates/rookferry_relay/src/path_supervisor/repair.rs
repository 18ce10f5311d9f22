//! Replaces lost and leaving stages of a running request's path by an order to its
//! first engine.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use metrics::counter;
use metrics::histogram;
use rookferry_core::PathFinder;
use rookferry_core::PathStage;
use rookferry_core::PipelinePath;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use slog::warn;

use super::NO_ROOM_PAUSE;
use super::PathKeeper;
use super::STALL_AFTER;
use super::STALL_AGAIN;
use super::Watched;
use super::joined;
use super::signs;
use super::track_load;
use crate::engines::StageState;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::permits::PathPermits;
use crate::probe;

/// Timeout for the order to change a request's path.
const REPATH_TIMEOUT: Duration = Duration::from_millis(250);
/// Paths tried for one repair.
const MAX_REPAIR_TRIES: usize = 3;

/// Outcome of an order to change a request's path.
enum Moved {
    Done,
    /// The named engine, if any, lacks free cache or can't be reached.
    Refused(Option<ServerKey>),
    /// The first engine isn't running the request.
    Unknown,
    /// The order got no answer.
    Failed,
}

impl PathKeeper {
    /// Replaces stages that are lost or leaving, with up to [`MAX_REPAIR_TRIES`] paths.
    pub(super) async fn repair(&mut self) -> Watched {
        for _ in 0..MAX_REPAIR_TRIES {
            let lost = self.stages_in(StageState::Lost);
            let leaving = self.stages_in(StageState::Leaving);
            let first = self.path.first().clone();
            self.note_broken(&lost);
            if lost.contains(&first) {
                // An engine that refuses new connections may still serve this one.
                let stands_still = clock::since(self.stalled_since) >= STALL_AFTER;
                let is_out = self.relay.beliefs.health().is_out(first.server);
                return if is_out && stands_still {
                    Watched::FirstLost
                } else {
                    Watched::Fine
                };
            }
            // A quarantined request is not moved to further servers.
            if self.relay.is_quarantined(&self.request) {
                return Watched::Fine;
            }
            if clock::now() < self.repair_at {
                return Watched::Fine;
            }
            let Some((replaced, path)) = self.replacement(&lost, &leaving) else {
                return Watched::Fine;
            };
            if let Some(left) = self.relay.beliefs.backoff_left(first.server) {
                return self.put_off(left, !lost.is_empty());
            }
            if !self.keeps_run && self.adds_crossings(&path) {
                return Watched::Costly;
            }
            // The refused permit excludes its engine from the next path.
            let Some(permits) = self.permits_for_new(&path).await else {
                continue;
            };
            let moved_at = clock::now();
            match self.move_to(&path, &permits).await {
                Moved::Done => {
                    self.note_repaired(&replaced, &path);
                    self.load = track_load(&self.relay, &self.request, &path);
                    self.signs = signs(&self.relay, &path);
                    self.join(&path, moved_at);
                    self.path = path;
                    self.is_proven = false;
                    self.refused.clear();
                    self.repair_pause = NO_ROOM_PAUSE;
                    self.look_at = clock::now() + STALL_AGAIN;
                    return Watched::Fine;
                }
                Moved::Refused(Some(engine)) => {
                    self.relay.engine_refused(engine, &self.model);
                    probe::check_soon(&self.relay, engine);
                    self.refused.push(engine);
                }
                Moved::Refused(None) => {
                    self.repair_at = clock::now() + self.repair_pause;
                    self.repair_pause *= 2;
                    return Watched::Fine;
                }
                Moved::Unknown | Moved::Failed => return Watched::Fine,
            }
        }
        Watched::Fine
    }

    /// Records when the run reached the engines of a new path; those it already
    /// passed keep their time.
    fn join(&mut self, path: &PipelinePath, at: Instant) {
        let before = std::mem::replace(&mut self.joined, joined(path, at));
        for (server, joined_at) in before {
            if let Some(known) = self.joined.get_mut(&server) {
                *known = joined_at;
            }
        }
    }

    /// Handles a backoff from the first engine, which takes no orders meanwhile.
    ///
    /// A stream with a lost stage would stall for that time, so another run is preferred
    /// if one may begin; otherwise the repair is postponed.
    fn put_off(&mut self, left: Duration, has_lost: bool) -> Watched {
        if has_lost && !self.keeps_run {
            return Watched::Costly;
        }
        self.repair_at = clock::now() + left;
        Watched::Fine
    }

    /// Records that the run broke at lost stages. The first engine is left out: its
    /// exit ends the run, which is recorded there.
    fn note_broken(&mut self, lost: &[PathStage]) {
        let first = self.path.first().server;
        for stage in lost.iter().filter(|stage| stage.server != first) {
            self.note_broken_at(stage.server);
        }
    }

    /// Whether a path crosses the link between failure domains more often than the
    /// current one.
    fn adds_crossings(&self, path: &PipelinePath) -> bool {
        let view = self.relay.view.load();
        let Some(table) = &view.servers else {
            return false;
        };
        table.crossings(path) > table.crossings(&self.path)
    }

    /// The stages to replace, and a path without them.
    ///
    /// Leaving stages are replaced only if that adds no crossings: a leaving engine
    /// serves for a while yet, and moving a request over the link between domains takes
    /// longer than most requests have left.
    fn replacement(
        &self,
        lost: &[PathStage],
        leaving: &[PathStage],
    ) -> Option<(Vec<PathStage>, PipelinePath)> {
        let first = self.path.first();
        let movable = leaving.iter().filter(|stage| *stage != first);
        let both: Vec<PathStage> = lost.iter().chain(movable).cloned().collect();
        if both.len() > lost.len()
            && let Some(path) = self.path_without(&both)
            && !self.adds_crossings(&path)
        {
            return Some((both, path));
        }
        if lost.is_empty() {
            return None;
        }
        Some((lost.to_vec(), self.path_without(lost)?))
    }

    /// The best path that replaces the given stages and keeps the others.
    fn path_without(&self, lost: &[PathStage]) -> Option<PipelinePath> {
        let view = self.relay.view.load();
        let table = view.servers.as_ref()?;
        let engines =
            self.relay
                .pipeline_engines(table, &self.service, &self.model, self.request.urgency);
        let usable = engines
            .iter()
            .filter(|engine| !self.refused.contains(&engine.server));
        let finder = PathFinder::new(self.model.layers, usable);
        finder.repair(
            &self.path,
            &self.relay.settings.domain,
            self.request.tokens(),
            |stage| lost.contains(stage),
        )
    }

    /// The permits for the engines of a new path that the request doesn't pass yet.
    async fn permits_for_new(&self, path: &PipelinePath) -> Option<PathPermits> {
        let stages = path.stages().iter().map(|stage| stage.server);
        let is_new = |server: &ServerKey| {
            let mut known = self.path.stages().iter();
            !known.any(|stage| stage.server == *server)
        };
        let servers = stages.filter(is_new).collect();
        self.relay.permits_for(&self.request, servers).await
    }

    /// Orders the first engine to continue the request on another path.
    async fn move_to(&self, path: &PipelinePath, permits: &PathPermits) -> Moved {
        let protocol = &self.relay.protocol;
        let call = protocol.repath_call(&self.request.attempt, path);
        let upstream = self.relay.upstream(path.first().server, &self.service);
        let request = call.request(upstream.server.addr);
        self.relay.record_unpermitted(permits);
        let answer = self.relay.call(upstream, request, REPATH_TIMEOUT).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.note_failed(&error.to_string(), None);
                return Moved::Failed;
            }
        };
        match answer.status {
            status if status.is_success() => Moved::Done,
            StatusCode::NOT_FOUND => {
                self.note_failed("the first engine isn't running the request", None);
                Moved::Unknown
            }
            status => {
                let at_fault = protocol.refused_stage(&answer.body);
                self.note_failed(status.as_str(), at_fault);
                Moved::Refused(at_fault.and_then(|addr| self.relay.engine_at(addr, path)))
            }
        }
    }

    /// Logs an order that failed or was refused, with the address that it names.
    fn note_failed(&self, cause: &str, at_fault: Option<SocketAddr>) {
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            warn!(log, "stream: the order to change its path failed"; "event" => "order_failed",
                "request" => &self.request.attempt, "order" => "repath", "cause" => cause,
                "at_fault" => at_fault.map(|addr| addr.to_string()));
        }
    }

    /// Counts and logs a repair.
    fn note_repaired(&mut self, lost: &[PathStage], path: &PipelinePath) {
        self.repairs += 1;
        let stalled = clock::since(self.stalled_since);
        counter!("rookferry_path_repairs_total").increment(1);
        histogram!("rookferry_path_repair_seconds").record(stalled.as_secs_f64());
        let Some(log) = self.relay.events.line(Weight::Notable) else {
            return;
        };
        let lost: Vec<String> = lost.iter().map(|stage| stage.addr().to_string()).collect();
        warn!(log, "stream: path repaired, stages replaced"; "event" => "path_repaired",
            "request" => &self.request.attempt, "lost" => lost.join(","),
            "since_last_event_ms" => millis(stalled), "stages" => path.stages().len());
    }
}
