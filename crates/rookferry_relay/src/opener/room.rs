//! Looks for a path with room, waits for one at the door, or turns a request
//! away.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rookferry_core::PipelineEngine;
use rookferry_core::PipelinePath;
use rookferry_net::clock;
use slog::info;
use slog::warn;

use super::Opener;
use crate::door::Place;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::mutex::lock;
use crate::refusal::Refusal;

/// How often the first that waits looks for room that others' word or an
/// engine's estimate brought, which nothing tells of.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// What a look for room came to.
enum Room {
    /// No engines cover the layers.
    None,
    /// All engines of a path have room.
    On(PipelinePath),
    /// The fullest engine of the best path has none.
    Full(PipelineEngine),
    /// The best path crosses the link between failure domains, which has none
    /// for some time.
    NoLink(Duration),
}

impl Opener<'_> {
    /// A path with room for the request; it waits for one while it can be in
    /// time. One that waited at an engine would be late, and make others late for as
    /// long as the site is over its capacity.
    pub(super) async fn choose_with_room(&self) -> Result<Option<PipelinePath>, Refusal> {
        let request = &self.target.request;
        let door = &self.target.relay.admission_gate;
        let service = &self.target.service.name;
        let objective = request.route.latency_objective;
        let mut full = None;
        if !door.is_behind(service, request.urgency) {
            match self.look_for_room() {
                Room::None => return Ok(None),
                Room::On(path) => return Ok(Some(path)),
                Room::Full(engine) => full = Some(engine),
                Room::NoLink(wait) => return Err(self.turn_away_from_link(wait)),
            }
        }
        let place = door.join(service, request.urgency);
        loop {
            if !place.is_hopeful(objective, request.held_for()) {
                return Err(self.turn_away(full.as_ref(), &place));
            }
            let left = objective.saturating_sub(request.held_for());
            place.changed(left.min(LOOK_AGAIN)).await;
            if !place.is_next() {
                continue;
            }
            match self.look_for_room() {
                Room::None => return Ok(None),
                Room::On(path) => {
                    self.note_let_in(&place);
                    return Ok(Some(path));
                }
                Room::Full(engine) => full = Some(engine),
                Room::NoLink(wait) => return Err(self.turn_away_from_link(wait)),
            }
        }
    }

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

    /// Takes a path's part of the link between failure domains.
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

    /// Sent all the same, it would stand still with all others on the link
    /// until its caller leaves.
    fn turn_away_from_link(&self, wait: Duration) -> Refusal {
        let request = &self.target.request;
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: the link between domains is full"; "event" => "link_full",
                "request" => &request.attempt, "tokens" => request.tokens(),
                "held_ms" => millis(request.held_for()), "retry_after_ms" => millis(wait));
        }
        Refusal::Overloaded(wait)
    }

    fn note_let_in(&self, place: &Place) {
        let request = &self.target.request;
        if let Some(log) = self.target.relay.events.line(Weight::Routine) {
            info!(log, "stream: there is room after a wait"; "event" => "let_in",
                "request" => &request.attempt, "held_ms" => millis(request.held_for()),
                "waiting" => place.waiting());
        }
    }

    fn turn_away(&self, full: Option<&PipelineEngine>, place: &Place) -> Refusal {
        let overload = self.target.relay.admission_gate.turn_away();
        let request = &self.target.request;
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: the engines have no room"; "event" => "no_room",
                "request" => &request.attempt, "tokens" => request.tokens(),
                "engine" => full.map(|engine| engine.engine.to_string()),
                "addr" => full.map(|engine| engine.addr().to_string()),
                "used_tokens" => full.map(|engine| engine.used_tokens),
                "room_tokens" => full.map(|engine| engine.cache_tokens),
                "waiting" => place.waiting(),
                "held_ms" => millis(request.held_for()),
                "overload_ms" => millis(overload.lasted),
                "retry_after_ms" => millis(overload.retry_after));
        }
        Refusal::Overloaded(overload.retry_after)
    }
}
