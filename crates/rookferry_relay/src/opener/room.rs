//! Admission of a stream: finds a path with free cache on all engines, queues for one,
//! or refuses the request.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rookferry_core::PipelineEngine;
use rookferry_core::PipelinePath;
use rookferry_net::clock;
use slog::info;
use slog::warn;

use super::Opener;
use crate::admission_gate::QueueEntry;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::mutex::lock;
use crate::refusal::Refusal;

/// How often the first request of the queue checks for free cache. Changes by peers'
/// load reports or by an engine's estimated capacity give no notification.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// Result of a check for free cache.
enum Room {
    /// No engines cover the layers.
    None,
    /// All engines of the path have enough free cache.
    On(PipelinePath),
    /// The fullest engine of the best path, which lacks free cache.
    Full(PipelineEngine),
    /// The best path crosses the link between failure domains, whose bandwidth is used
    /// up for this time.
    NoLink(Duration),
}

impl Opener<'_> {
    /// Finds a path with free cache for the request, queueing while it can still meet
    /// its latency objective.
    ///
    /// A request that waited at an engine instead would be late, and would delay others
    /// for as long as the site is over its capacity. None if no engines cover the layers.
    pub(super) async fn choose_with_room(&self) -> Result<Option<PipelinePath>, Refusal> {
        let request = &self.target.request;
        let gate = &self.target.relay.door;
        let service = &self.target.service.name;
        let objective = request.route.latency_objective;
        let mut full = None;
        if !gate.must_wait(service, request.urgency) {
            match self.look_for_room() {
                Room::None => return Ok(None),
                Room::On(path) => return Ok(Some(path)),
                Room::Full(engine) => full = Some(engine),
                Room::NoLink(wait) => return Err(self.turn_away_from_link(wait)),
            }
        }
        let entry = gate.join(service, request.urgency);
        loop {
            if !entry.can_meet_objective(objective, request.elapsed()) {
                return Err(self.turn_away(full.as_ref(), &entry));
            }
            let left = objective.saturating_sub(request.elapsed());
            entry.changed(left.min(LOOK_AGAIN)).await;
            if !entry.is_next() {
                continue;
            }
            match self.look_for_room() {
                Room::None => return Ok(None),
                Room::On(path) => {
                    self.note_let_in(&entry);
                    return Ok(Some(path));
                }
                Room::Full(engine) => full = Some(engine),
                Room::NoLink(wait) => return Err(self.turn_away_from_link(wait)),
            }
        }
    }

    /// Checks whether the best path has free cache, and reserves its share of the link.
    fn look_for_room(&self) -> Room {
        let home = &self.target.relay.settings.domain;
        let tokens = self.target.request.tokens();
        let found = self.with_finder(&[], |finder| {
            let path = match finder.find(home, tokens) {
                Ok(path) => path,
                Err(no_path) => {
                    self.note_no_path(&no_path);
                    return Room::None;
                }
            };
            match finder.fullest(&path, tokens) {
                Some(full) if full.overfill > 0.0 => Room::Full(full.engine.clone()),
                _ => Room::On(path),
            }
        });
        match found.unwrap_or(Room::None) {
            Room::On(path) => self.over_link(path),
            other => other,
        }
    }

    /// Reserves the time that a path needs on the link between failure domains.
    fn over_link(&self, path: PipelinePath) -> Room {
        let relay = &self.target.relay;
        let view = relay.view.load();
        let crossings = view
            .servers
            .as_ref()
            .map_or(0, |table| table.crossings(&path));
        let tokens = self.target.request.tokens();
        let needed_ms = self.target.model.crossing_ms(tokens) * crossings as f64;
        if needed_ms <= 0.0 {
            return Room::On(path);
        }
        let instances = relay.instances.load(Ordering::Relaxed);
        let taken = lock(&relay.link_pace).take(needed_ms, instances, clock::now());
        match taken {
            Ok(()) => Room::On(path),
            Err(wait) => Room::NoLink(wait),
        }
    }

    /// Refuses a request for which the link has no bandwidth. If it were sent, it would
    /// stall with all others on the link until its caller gave up.
    fn turn_away_from_link(&self, wait: Duration) -> Refusal {
        let request = &self.target.request;
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: refused, the link between failure domains is full";
                "event" => "link_full",
                "request" => &request.attempt, "tokens" => request.tokens(),
                "held_ms" => millis(request.elapsed()), "retry_after_ms" => millis(wait));
        }
        Refusal::Overloaded(wait)
    }

    fn note_let_in(&self, entry: &QueueEntry) {
        let request = &self.target.request;
        if let Some(log) = self.target.relay.events.line(Weight::Routine) {
            info!(log, "stream: admitted after queueing"; "event" => "let_in",
                "request" => &request.attempt, "held_ms" => millis(request.elapsed()),
                "waiting" => entry.waiting());
        }
    }

    /// Refuses a request that can't meet its objective in the queue.
    fn turn_away(&self, full: Option<&PipelineEngine>, entry: &QueueEntry) -> Refusal {
        let overload = self.target.relay.door.refuse();
        let request = &self.target.request;
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: refused, the engines' caches are full"; "event" => "no_room",
                "request" => &request.attempt, "tokens" => request.tokens(),
                "engine" => full.map(|engine| engine.engine.to_string()),
                "addr" => full.map(|engine| engine.addr().to_string()),
                "used_tokens" => full.map(|engine| engine.used_tokens),
                "room_tokens" => full.map(|engine| engine.cache_tokens),
                "waiting" => entry.waiting(),
                "held_ms" => millis(request.elapsed()),
                "overload_ms" => millis(overload.lasted),
                "retry_after_ms" => millis(overload.retry_after));
        }
        Refusal::Overloaded(overload.retry_after)
    }
}
