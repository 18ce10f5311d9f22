//! This instance's part of the site's retry budgets.

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

/// Time from the start in which an instance doesn't know how many others there
/// are: heartbeats from other domains take up to a second or two.
const COUNTING_INSTANCES: Duration = Duration::from_secs(3);
/// Instances that the retry budget is shared by meanwhile, at the least; with
/// their first heartbeats others tell how many there are.
const ASSUMED_INSTANCES: usize = 64;

impl Relay {
    /// Counts a fresh request for a service.
    pub(crate) fn note_fresh(&self, service: &ServiceId) {
        self.with_retries(service, |window| window.record_new_request(clock::now()));
    }

    /// Takes one repeat of a request out of the budget.
    pub(crate) fn take_retry(&self, request: &CallerRequest) -> bool {
        let service = &request.service;
        let heard = self.instances.load(Ordering::Relaxed);
        let instances = if self.age() < COUNTING_INSTANCES {
            heard.max(ASSUMED_INSTANCES)
        } else {
            heard
        };
        let is_taken = self.with_retries(service, |window| window.take(clock::now(), instances));
        let outcome = if is_taken { "taken" } else { "denied" };
        counter!("rookferry_retries_total", "service" => service.to_string(), "outcome" => outcome)
            .increment(1);
        if !is_taken && let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "retry: the budget has none left"; "event" => "retry_denied",
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
