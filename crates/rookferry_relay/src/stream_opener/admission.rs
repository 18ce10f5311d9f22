//! Admission of a stream: finds a path with free cache on all engines, queues for one,
//! or refuses the request.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rookferry_core::AdmissionClass;
use rookferry_core::PipelineEngine;
use rookferry_core::PipelinePath;
use rookferry_net::clock;
use slog::info;
use slog::warn;

use super::StreamOpener;
use super::StreamTarget;
use crate::admission_gate::QueueEntry;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::mutex::lock;
use crate::refusal::Refusal;

/// How often the first request of the queue checks for free cache. Changes by peers'
/// load reports or by an engine's estimated capacity give no notification.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Known fill of an engine's cache up to which all classes may use the whole cache, so that
/// a large request isn't refused at a calm site.
const CONTENDED_FILL: f64 = 0.4;
/// Most that peers are assumed to have admitted, as a share of the cache. A single large
/// request times the number of peers exceeds any cache.
const MAX_ASSUMED_FILL: f64 = 0.25;

/// Result of a check for free cache.
enum CacheCheck {
    /// No engines cover the layers.
    NoPath,
    /// All engines of the path have enough free cache.
    Free(PipelinePath),
    /// The fullest engine of the best path, which lacks free cache.
    Full(PipelineEngine),
    /// The best path crosses the link between failure domains, whose bandwidth is used
    /// up for this time.
    LinkFull(Duration),
}

impl StreamOpener<'_> {
    /// Finds a path with free cache for the request, queueing while it can still meet
    /// its latency objective.
    ///
    /// A request that waited at an engine instead would be late, and would delay others
    /// for as long as the site is over its capacity. None if no engines cover the layers.
    pub(super) async fn choose_with_free_cache(&self) -> Result<Option<PipelinePath>, Refusal> {
        let request = &self.target.request;
        let gate = &self.target.relay.admission_gate;
        let service = &self.target.service.name;
        let class = self.class();
        let objective = self.queue_objective(class);
        let mut full = None;
        if !gate.must_wait(service, class) {
            match self.check_free_cache(class) {
                CacheCheck::NoPath => return Ok(None),
                CacheCheck::Free(path) => {
                    self.record_admitted();
                    return Ok(Some(path));
                }
                CacheCheck::Full(engine) => full = Some(engine),
                CacheCheck::LinkFull(wait) => return Err(self.refuse_for_link(wait)),
            }
        }
        let entry = gate.join(service, class);
        loop {
            if !entry.can_meet_objective(objective, request.elapsed()) {
                return Err(self.refuse_overloaded(class, full.as_ref(), &entry));
            }
            let left = objective.saturating_sub(request.elapsed());
            entry.changed(left.min(QUEUE_POLL_INTERVAL)).await;
            if !entry.is_next() {
                continue;
            }
            match self.check_free_cache(class) {
                CacheCheck::NoPath => return Ok(None),
                CacheCheck::Free(path) => {
                    self.record_admitted();
                    self.log_admitted(&entry);
                    return Ok(Some(path));
                }
                CacheCheck::Full(engine) => full = Some(engine),
                CacheCheck::LinkFull(wait) => return Err(self.refuse_for_link(wait)),
            }
        }
    }

    /// Records the admission of a request that no engine has refused before.
    fn record_admitted(&self) {
        if self.reached > 0 {
            return;
        }
        let StreamTarget { relay, request, .. } = self.target;
        let service = &self.target.service.name;
        relay
            .admission_gate
            .record_admitted(service, request.arrival());
    }

    /// The objective that bounds the time in the queue. While more urgent streams are in
    /// demand, it is the strictest of the service's streams: with a longer one of its own,
    /// a request would wait for room that more urgent ones are refused for.
    fn queue_objective(&self, class: AdmissionClass) -> Duration {
        let request = &self.target.request;
        let own = request.route.latency_objective;
        if class.rank == 0 {
            return own;
        }
        let view = self.target.relay.view.load();
        let index = view.index.as_ref();
        let strictest = index.and_then(|index| index.stream_objective(&request.service));
        strictest.map_or(own, |strictest| strictest.min(own))
    }

    /// The request's place in the order of admission.
    fn class(&self) -> AdmissionClass {
        let request = &self.target.request;
        let gate = &self.target.relay.admission_gate;
        AdmissionClass {
            urgency: request.urgency,
            rank: gate.urgency_rank(&request.service, request.urgency),
            is_late: request.is_late(),
        }
    }

    /// Checks whether the best path has free cache for the class, and reserves its share of
    /// the link.
    fn check_free_cache(&self, class: AdmissionClass) -> CacheCheck {
        let home = &self.target.relay.settings.domain;
        let tokens = self.target.request.tokens();
        let relay = &self.target.relay;
        let gate = &relay.admission_gate;
        let restrict = |engine: &mut PipelineEngine| {
            let is_contended = engine.used_tokens > engine.cache_tokens * CONTENDED_FILL;
            // The first class isn't held back by an estimate.
            if class.is_first() || !is_contended {
                return;
            }
            let peers = relay.instances_sharing(engine.server).saturating_sub(1);
            let assumed = gate.assumed_tokens(engine.server, peers);
            engine.used_tokens += assumed.min(engine.cache_tokens * MAX_ASSUMED_FILL);
            engine.cache_tokens *= class.cache_share();
        };
        let found = self.with_finder(&[], restrict, |finder| {
            let path = match finder.find(home, tokens) {
                Ok(path) => path,
                Err(no_path) => {
                    self.log_invalid_path(&no_path);
                    return CacheCheck::NoPath;
                }
            };
            match finder.fullest(&path, tokens) {
                Some(full) if full.overfill > 0.0 => CacheCheck::Full(full.engine.clone()),
                _ => CacheCheck::Free(path),
            }
        });
        match found.unwrap_or(CacheCheck::NoPath) {
            CacheCheck::Free(path) => {
                let reserved = self.reserve_link(path);
                if let CacheCheck::Free(path) = &reserved {
                    for stage in path.stages() {
                        gate.record_tokens(stage.server, tokens);
                    }
                }
                reserved
            }
            other => other,
        }
    }

    /// Reserves the time that a path needs on the link between failure domains.
    fn reserve_link(&self, path: PipelinePath) -> CacheCheck {
        let relay = &self.target.relay;
        let view = relay.view.load();
        let crossings = view
            .servers
            .as_ref()
            .map_or(0, |table| table.crossings(&path));
        let tokens = self.target.request.tokens();
        let needed_ms = self.target.model.link_transfer_ms(tokens) * crossings as f64;
        if needed_ms <= 0.0 {
            return CacheCheck::Free(path);
        }
        let instances = relay.instances.load(Ordering::Relaxed);
        let taken = lock(&relay.link_rate).reserve(needed_ms, instances, clock::now());
        match taken {
            Ok(()) => CacheCheck::Free(path),
            Err(wait) => CacheCheck::LinkFull(wait),
        }
    }

    /// Refuses a request for which the link has no bandwidth. If it were sent, it would
    /// stall with all others on the link until its caller gave up.
    fn refuse_for_link(&self, wait: Duration) -> Refusal {
        let request = &self.target.request;
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: refused, the link between failure domains is full";
                "event" => "link_full",
                "request" => &request.attempt, "tokens" => request.tokens(),
                "held_ms" => millis(request.elapsed()), "retry_after_ms" => millis(wait));
        }
        Refusal::Overloaded(wait)
    }

    fn log_admitted(&self, entry: &QueueEntry) {
        let request = &self.target.request;
        if let Some(log) = self.target.relay.events.line(Weight::Routine) {
            info!(log, "stream: admitted after queueing"; "event" => "let_in",
                "request" => &request.attempt, "held_ms" => millis(request.elapsed()),
                "waiting" => entry.waiting());
        }
    }

    /// Refuses a request that can't meet its objective in the queue.
    fn refuse_overloaded(
        &self,
        class: AdmissionClass,
        full: Option<&PipelineEngine>,
        entry: &QueueEntry,
    ) -> Refusal {
        let request = &self.target.request;
        let gate = &self.target.relay.admission_gate;
        let service = &self.target.service.name;
        let slot = gate.refuse(service, request.urgency, request.time_left());
        if let Some(log) = self.target.relay.events.line(Weight::Notable) {
            warn!(log, "stream: refused, the engines' caches are full"; "event" => "no_room",
                "request" => &request.attempt, "tokens" => request.tokens(),
                "engine" => full.map(|engine| engine.engine.to_string()),
                "addr" => full.map(|engine| engine.addr().to_string()),
                "used_tokens" => full.map(|engine| engine.used_tokens),
                "room_tokens" => full.map(|engine| engine.cache_tokens),
                "waiting" => entry.waiting(),
                "held_ms" => millis(request.elapsed()),
                "rank" => class.rank, "late" => class.is_late,
                "cache_share" => class.cache_share(),
                "overload_ms" => millis(slot.lasted),
                "retries_per_s" => slot.room_per_s,
                "retry_after_ms" => millis(slot.retry_after));
        }
        Refusal::Overloaded(slot.retry_after)
    }
}
