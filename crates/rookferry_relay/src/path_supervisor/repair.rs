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

use super::PathCheck;
use super::PathSupervisor;
use super::REFUSED_REPAIR_PAUSE;
use super::STALL_RECHECK_AFTER;
use super::joined;
use super::last_seen;
use super::track_load;
use crate::engines::StageState;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::list_at_send::ListAtSend;
use crate::permits::PathPermits;
use crate::probe;

/// Timeout for the order to change a request's path.
const REPATH_TIMEOUT: Duration = Duration::from_millis(250);
/// Paths tried for one repair.
const MAX_REPAIR_TRIES: usize = 3;

/// Outcome of an order to change a request's path.
enum RepathOutcome {
    Done,
    /// The named engine, if any, lacks free cache or can't be reached.
    Refused(Option<ServerKey>),
    /// The first engine isn't running the request.
    Unknown,
    /// The order got no answer.
    Failed,
}

impl PathSupervisor {
    /// Replaces stages that are lost or leaving, with up to [`MAX_REPAIR_TRIES`] paths.
    pub(super) async fn repair(&mut self) -> PathCheck {
        for _ in 0..MAX_REPAIR_TRIES {
            let lost = self.stages_in(StageState::Lost);
            let leaving = self.stages_in(StageState::Leaving);
            let first = self.path.first().clone();
            self.record_broken_stages(&lost);
            if lost.contains(&first) {
                // An engine that refuses new connections may still serve this one.
                let stands_still = self.has_stalled();
                let is_out = self.relay.states.health().is_unresponsive(first.server);
                return if is_out && stands_still {
                    PathCheck::FirstEngineLost
                } else {
                    PathCheck::NoAction
                };
            }
            if self.is_cut_from_first() {
                return PathCheck::FirstEngineLost;
            }
            // A quarantined request is not moved to further servers.
            if self.relay.is_quarantined(&self.request) {
                return PathCheck::NoAction;
            }
            if clock::now() < self.repair_at {
                return PathCheck::NoAction;
            }
            let confirmation = self.relay.servers_confirmation();
            let servers = ListAtSend::new(&self.relay.view.load(), confirmation);
            let Some((replaced, path)) = self.replacement(&lost, &leaving) else {
                return PathCheck::NoAction;
            };
            if let Some(left) = self.relay.states.backoff_left(first.server) {
                return self.handle_backoff(left, !lost.is_empty());
            }
            if !self.allows_costly_repair && self.adds_crossings(&path) {
                return PathCheck::RepairTooCostly;
            }
            // The refused permit excludes its engine from the next path.
            let Some(permits) = self.permits_for_new(&path).await else {
                continue;
            };
            let ordered_at = clock::now();
            match self.order_repath(&path, &permits).await {
                RepathOutcome::Done => {
                    self.request.sends.record(servers);
                    self.record_repair(&replaced, &path);
                    self.load = track_load(&self.relay, &self.request, &path);
                    self.last_seen = last_seen(&self.relay, &path);
                    self.record_joined(&path, ordered_at);
                    self.path = path;
                    self.is_proven = false;
                    self.refused.clear();
                    self.repair_pause = REFUSED_REPAIR_PAUSE;
                    self.check_at = clock::now() + STALL_RECHECK_AFTER;
                    return PathCheck::NoAction;
                }
                RepathOutcome::Refused(Some(engine)) => {
                    self.relay.engine_refused(engine, &self.model);
                    probe::spawn_check(&self.relay, engine);
                    self.refused.push(engine);
                }
                RepathOutcome::Refused(None) => {
                    self.repair_at = clock::now() + self.repair_pause;
                    self.repair_pause *= 2;
                    return PathCheck::NoAction;
                }
                RepathOutcome::Unknown | RepathOutcome::Failed => return PathCheck::NoAction,
            }
        }
        PathCheck::NoAction
    }

    /// Whether the stream stalls because the connection that it was sent over has broken,
    /// while its first engine is alive.
    fn is_cut_from_first(&self) -> bool {
        let is_cut_off = self
            .upstream
            .as_ref()
            .is_some_and(|upstream| self.relay.is_cut_off(upstream));
        is_cut_off && self.has_stalled()
    }

    /// Records when the run reached the engines of a new path; those it already
    /// passed keep their time.
    fn record_joined(&mut self, path: &PipelinePath, at: Instant) {
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
    fn handle_backoff(&mut self, left: Duration, has_lost: bool) -> PathCheck {
        if has_lost && !self.allows_costly_repair {
            return PathCheck::RepairTooCostly;
        }
        self.repair_at = clock::now() + left;
        PathCheck::NoAction
    }

    /// Records that the run broke at lost stages. The first engine is left out: its
    /// exit ends the run, which is recorded there.
    fn record_broken_stages(&mut self, lost: &[PathStage]) {
        let first = self.path.first().server;
        for stage in lost.iter().filter(|stage| stage.server != first) {
            self.record_broken_at(stage.server);
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
    async fn order_repath(&self, path: &PipelinePath, permits: &PathPermits) -> RepathOutcome {
        let protocol = &self.relay.protocol;
        let call = protocol.repath_call(&self.request.attempt, path);
        let upstream = self.relay.upstream(path.first().server, &self.service);
        let request = call.request(upstream.server.addr);
        self.relay.record_unpermitted(permits);
        let answer = self.relay.call(&upstream, request, REPATH_TIMEOUT).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.log_failed_order(&error.to_string(), None);
                return RepathOutcome::Failed;
            }
        };
        match answer.status {
            status if status.is_success() => RepathOutcome::Done,
            StatusCode::NOT_FOUND => {
                self.log_failed_order("the first engine isn't running the request", None);
                RepathOutcome::Unknown
            }
            status => {
                let refused_by = protocol.refusing_stage_addr(&answer.body);
                self.log_failed_order(status.as_str(), refused_by);
                RepathOutcome::Refused(refused_by.and_then(|addr| self.relay.engine_at(addr, path)))
            }
        }
    }

    /// Logs an order that failed or was refused, with the address that it names.
    fn log_failed_order(&self, cause: &str, refused_by: Option<SocketAddr>) {
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            warn!(log, "stream: the order to change its path failed"; "event" => "order_failed",
                "request" => &self.request.attempt, "order" => "repath", "cause" => cause,
                "at_fault" => refused_by.map(|addr| addr.to_string()));
        }
    }

    /// Counts and logs a repair.
    fn record_repair(&mut self, lost: &[PathStage], path: &PipelinePath) {
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
            "since_last_event_ms" => millis(stalled), "stages" => path.stages().len(),
            self.request.sends.last());
    }
}
