//! This instance's share of the site's retry budgets, one per service.
//!
//! Each first send of a request adds to the service's window; each repeat takes
//! from it and is denied when the share of this instance is used up.

use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rookferry_core::RetryWindow;
use rookferry_net::clock;
use rookferry_wire::ServiceId;
use slog::warn;

use crate::event_log::Weight;
use crate::mutex::lock;
use crate::relay::Relay;
use crate::request::CallerRequest;

/// Time after the start in which the number of live instances is incomplete:
/// heartbeats from other domains take up to a second or two.
const INSTANCE_DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Least number of instances that the budget is divided by during that time. The
/// first heartbeats of peers report the actual number.
const MIN_ASSUMED_INSTANCES: usize = 64;

impl Relay {
    /// Counts the first send of a request towards the service's budget.
    pub(crate) fn count_new_request(&self, service: &ServiceId) {
        self.with_retries(service, |window| window.record_new_request(clock::now()));
    }

    /// Takes one repeat out of the budget; false if none is left.
    pub(crate) fn take_retry(&self, request: &CallerRequest) -> bool {
        let service = &request.service;
        let live = self.instances.load(Ordering::Relaxed);
        let instances = if self.age() < INSTANCE_DISCOVERY_TIME {
            live.max(MIN_ASSUMED_INSTANCES)
        } else {
            live
        };
        let is_taken = self.with_retries(service, |window| window.take(clock::now(), instances));
        let outcome = if is_taken { "taken" } else { "denied" };
        counter!("rookferry_retries_total", "service" => service.to_string(), "outcome" => outcome)
            .increment(1);
        if !is_taken && let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "retry: the budget is used up"; "event" => "retry_denied",
                "request" => &request.attempt, "service" => &**service, "instances" => instances);
        }
        is_taken
    }

    fn with_retries<T>(&self, service: &ServiceId, run: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let bounds = &self.settings.bounds;
        let mut retries = lock(&self.retries);
        let window = retries.entry(service.clone()).or_insert_with(|| {
            RetryWindow::new(
                bounds.retry_window(),
                bounds.retry_ratio,
                bounds.retry_slack,
                (!self.settings.is_first_start).then_some(self.started_at),
            )
        });
        run(window)
    }
}
