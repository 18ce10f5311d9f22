//! What an engine's refusal means for the tries after it, and when a caller
//! comes back if there is none.

use std::time::Duration;

use rookferry_core::PathFinder;
use rookferry_core::ServerKey;
use rookferry_net::clock;

use super::Opener;
use super::StreamTarget;
use crate::probe;
use crate::refusal::Refusal;

impl Opener<'_> {
    /// An engine of a path refused; `first` passed it on.
    pub(super) fn note_refused(
        &self,
        first: ServerKey,
        refusing: ServerKey,
        backoff: Option<Duration>,
    ) {
        let relay = &self.target.relay;
        if let Some(asked) = backoff {
            // What the first one passes on may be the later one's wish.
            if refusing != first {
                relay.back_off(refusing, asked);
            }
            return;
        }
        let has_room = relay.engine_refused(refusing, &self.target.model);
        // It may be gone, or have started again without its layers: its entry
        // tells of that seconds later, or, with the store away, not at all.
        if has_room || refusing != first {
            probe::spawn_check(relay, refusing);
        }
    }

    /// When there is a path, if there is none now because of backoffs from engines, or
    /// because engines with a limit take no more.
    pub(super) fn wait_for_engines(&self) -> Option<Refusal> {
        let StreamTarget {
            relay,
            request,
            service,
            model,
        } = self.target;
        let view = relay.view.load();
        let table = view.servers.as_ref()?;
        let home = &relay.settings.domain;
        let tokens = request.tokens();
        let urgency = request.urgency;
        let now = clock::now();
        let has_path = |at| {
            let engines = relay.pipeline_engines_at(at, table, service, model, urgency);
            PathFinder::new(model.layers, &engines)
                .find(home, tokens)
                .is_ok()
        };
        let wait = relay.retry_times(table, service, urgency, now);
        if wait.times.is_empty() || has_path(now) {
            return None;
        }
        // Of hundreds of engines that wait, a few are looked at.
        let first = wait.times.partition_point(|end| !has_path(*end));
        Some(wait.refusal(*wait.times.get(first)?, now))
    }
}
