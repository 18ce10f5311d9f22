//! Effects of an engine's refusal on later tries, and the retry time of a caller whose
//! request no engine takes.

use std::time::Duration;

use rookferry_core::PathFinder;
use rookferry_core::ServerKey;
use rookferry_net::clock;

use super::StreamOpener;
use super::StreamTarget;
use crate::probe;
use crate::refusal::Refusal;

impl StreamOpener<'_> {
    /// Records a refusal by an engine of a path, which `first` forwarded or gave itself.
    pub(super) fn record_engine_refusal(
        &self,
        first: ServerKey,
        refusing: ServerKey,
        backoff: Option<Duration>,
    ) {
        let relay = &self.target.relay;
        if let Some(asked) = backoff {
            // The first engine forwards a later engine's backoff as its own answer.
            if refusing != first {
                relay.back_off(refusing, asked);
            }
            return;
        }
        let has_free_cache = relay.engine_refused(refusing, &self.target.model);
        // The engine may have exited, or restarted without its layers. Its directory
        // entry shows that seconds later, or, while the store is unavailable, not at all.
        if has_free_cache || refusing != first {
            probe::spawn_check(relay, refusing);
        }
    }

    /// The refusal with the time at which there is a path again; none if there is one
    /// now, or no backoff or refused permit is the cause.
    pub(super) fn retry_refusal(&self) -> Option<Refusal> {
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
        // A binary search: with hundreds of backoffs only a few paths are searched.
        let first = wait.times.partition_point(|end| !has_path(*end));
        Some(wait.refusal(*wait.times.get(first)?, now))
    }
}
