//! Replaces stages of a running request's path by an order to its first engine.

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
use super::enter;
use super::joined;
use super::signs;
use crate::engines::StageState;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::permits::PathPermits;
use crate::probe;

/// How long the order to move a request may take.
const REPATH_TIMEOUT: Duration = Duration::from_millis(250);
/// Paths tried for one repair.
const MAX_REPAIR_TRIES: usize = 3;

/// What became of an order to move a request.
enum Moved {
    Done,
    /// The engine named, if any, has no room or isn't there.
    Refused(Option<ServerKey>),
    /// The request isn't running there.
    Unknown,
    Failed,
}

impl PathKeeper {
    /// Replaces stages that can't be used.
    pub(super) async fn repair(&mut self) -> Watched {
        for _ in 0..MAX_REPAIR_TRIES {
            let lost = self.stages_in(StageState::Lost);
            let leaving = self.stages_in(StageState::Leaving);
            let first = self.path.first().clone();
            self.note_broken(&lost);
            if lost.contains(&first) {
                // One that takes no new connections may still serve this one.
                let stands_still = clock::since(self.stalled_since) >= STALL_AFTER;
                let is_out = self.relay.states.health().is_out(first.server);
                return if is_out && stands_still {
                    Watched::FirstLost
                } else {
                    Watched::Fine
                };
            }
            // What its servers end under isn't handed to others either.
            if self.relay.is_held(&self.request) {
                return Watched::Fine;
            }
            if clock::now() < self.repair_at {
                return Watched::Fine;
            }
            let Some((replaced, path)) = self.replacement(&lost, &leaving) else {
                return Watched::Fine;
            };
            if let Some(left) = self.relay.states.backoff_left(first.server) {
                return self.put_off(left, !lost.is_empty());
            }
            if !self.keeps_run && self.adds_crossings(&path) {
                return Watched::Costly;
            }
            // An engine with a limit may have no permit; the next path is without it.
            let Some(permits) = self.permits_for_new(&path).await else {
                continue;
            };
            let moved_at = clock::now();
            match self.move_to(&path, &permits).await {
                Moved::Done => {
                    self.note_repaired(&replaced, &path);
                    self.load = enter(&self.relay, &self.request, &path);
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
                    probe::spawn_check(&self.relay, engine);
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

    /// The run comes to the engines of a path that it didn't pass yet.
    fn join(&mut self, path: &PipelinePath, at: Instant) {
        let before = std::mem::replace(&mut self.joined, joined(path, at));
        for (server, joined_at) in before {
            if let Some(known) = self.joined.get_mut(&server) {
                *known = joined_at;
            }
        }
    }

    /// Orders to the first engine are backed off from, and a stream with a lost stage
    /// would stand still meanwhile; another run, if one may begin, goes on at once.
    fn put_off(&mut self, left: Duration, has_lost: bool) -> Watched {
        if has_lost && !self.keeps_run {
            return Watched::Costly;
        }
        self.repair_at = clock::now() + left;
        Watched::Fine
    }

    /// The run is broken at lost stages; the first engine's end is the run's
    /// own.
    fn note_broken(&mut self, lost: &[PathStage]) {
        let first = self.path.first().server;
        for stage in lost.iter().filter(|stage| stage.server != first) {
            self.note_broken_at(stage.server);
        }
    }

    fn adds_crossings(&self, path: &PipelinePath) -> bool {
        let view = self.relay.view.load();
        let Some(table) = &view.servers else {
            return false;
        };
        table.crossings(path) > table.crossings(&self.path)
    }

    /// A path without lost stages, and without leaving ones where that takes
    /// no more crossings: a leaving engine serves a while yet, and moving a
    /// request over the link between domains takes longer than most have left.
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

    /// The permits to move the request to engines that it doesn't pass yet.
    async fn permits_for_new(&self, path: &PipelinePath) -> Option<PathPermits> {
        let stages = path.stages().iter().map(|stage| stage.server);
        let is_new = |server: &ServerKey| {
            let mut known = self.path.stages().iter();
            !known.any(|stage| stage.server == *server)
        };
        let servers = stages.filter(is_new).collect();
        self.relay.permits_for(&self.request, servers).await
    }

    /// Orders the first engine to move the request to another path.
    async fn move_to(&self, path: &PipelinePath, permits: &PathPermits) -> Moved {
        let protocol = &self.relay.protocol;
        let call = protocol.repath_call(&self.request.attempt, path);
        let upstream = self.relay.upstream(path.first().server, &self.service);
        let request = call.request(upstream.server.addr);
        self.relay.note_passed(permits);
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
                self.note_failed("not running there", None);
                Moved::Unknown
            }
            status => {
                let at_fault = protocol.refused_stage(&answer.body);
                self.note_failed(status.as_str(), at_fault);
                Moved::Refused(at_fault.and_then(|addr| self.relay.engine_at(addr, path)))
            }
        }
    }

    fn note_failed(&self, cause: &str, at_fault: Option<SocketAddr>) {
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            warn!(log, "stream: its path could not be changed"; "event" => "order_failed",
                "request" => &self.request.attempt, "order" => "repath", "cause" => cause,
                "at_fault" => at_fault.map(|addr| addr.to_string()));
        }
    }

    fn note_repaired(&mut self, lost: &[PathStage], path: &PipelinePath) {
        self.repairs += 1;
        let stalled = clock::since(self.stalled_since);
        counter!("rookferry_path_repairs_total").increment(1);
        histogram!("rookferry_path_repair_seconds").record(stalled.as_secs_f64());
        let Some(log) = self.relay.events.line(Weight::Notable) else {
            return;
        };
        let lost: Vec<String> = lost.iter().map(|stage| stage.addr().to_string()).collect();
        warn!(log, "stream: lost stages are replaced"; "event" => "path_repaired",
            "request" => &self.request.attempt, "lost" => lost.join(","),
            "since_last_event_ms" => millis(stalled), "stages" => path.stages().len());
    }
}
