//! Admission queues for streams that wait for free cache on the engines.
//!
//! Each service has a queue, ordered by class. A stream is refused when it can't
//! be expected to start within its latency objective; the refusal carries a retry
//! time that grows with the length of the overload.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use metrics::gauge;
use rookferry_core::AdmissionClass;
use rookferry_core::AdmissionQueue;
use rookferry_core::AdmissionTicket;
use rookferry_core::AssumedLoad;
use rookferry_core::FillLimit;
use rookferry_core::Overload;
use rookferry_core::Overloaded;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use rookferry_wire::ServiceId;
use tokio::sync::Notify;

use crate::mutex::lock;

/// The queues by service, and the state of the overload.
#[derive(Debug, Default)]
pub(crate) struct AdmissionGate {
    queues: Mutex<HashMap<ServiceId, AdmissionQueue>>,
    fill_limits: Mutex<HashMap<ServiceId, FillLimit>>,
    assumed: Mutex<AssumedLoad>,
    overload: Mutex<Overload>,
    changed: Notify,
}

/// A request's entry in a queue; dropping it leaves the queue.
#[derive(Debug)]
pub(crate) struct QueueEntry {
    gate: Arc<AdmissionGate>,
    service: ServiceId,
    ticket: AdmissionTicket,
}

impl AdmissionGate {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Whether a request of this class has to wait behind queued ones.
    pub(crate) fn must_wait(&self, service: &ServiceId, class: AdmissionClass) -> bool {
        self.with(service, |queue| queue.would_wait(class))
    }

    /// Adds a request to the queue of a service.
    pub(crate) fn join(self: &Arc<Self>, service: &ServiceId, class: AdmissionClass) -> QueueEntry {
        QueueEntry {
            gate: self.clone(),
            service: service.clone(),
            ticket: self.with(service, |queue| queue.join(class)),
        }
    }

    /// Records that a stream has ended and freed its cache.
    pub(crate) fn record_freed(&self, service: &ServiceId) {
        self.with(service, |queue| queue.record_release(clock::now()));
        self.notify_change();
    }

    /// Wakes the waiting requests after a change that may have freed cache.
    pub(crate) fn notify_change(&self) {
        self.changed.notify_waiters();
    }

    /// Records the time from sending a stream to its first event, which was due within
    /// `objective`.
    pub(crate) fn record_first_event(
        &self,
        service: &ServiceId,
        took: Duration,
        objective: Duration,
    ) {
        self.with(service, |queue| queue.record_first_event(took));
        let mut limits = lock(&self.fill_limits);
        let limit = limits.entry(service.clone()).or_default();
        if limit.record_first_event(took, objective, clock::now()) {
            gauge!("rookferry_cache_fill_limit", "service" => service.to_string())
                .set(limit.fill());
        }
    }

    /// The share of the engines' cache that may be filled.
    pub(crate) fn max_fill(&self, service: &ServiceId) -> f64 {
        lock(&self.fill_limits)
            .get(service)
            .map_or(1.0, FillLimit::fill)
    }

    /// Records that a stream was admitted at a server with some tokens.
    pub(crate) fn record_admission(&self, server: ServerKey, tokens: f64) {
        lock(&self.assumed).record(server, tokens, clock::now());
    }

    /// Tokens that `peers` other instances are assumed to have admitted at a server, beyond
    /// the loads known of them.
    pub(crate) fn assumed_tokens(&self, server: ServerKey, peers: usize) -> f64 {
        lock(&self.assumed).tokens(server, peers, clock::now())
    }

    /// Records a refusal; returns the overload's length and the retry time.
    pub(crate) fn refuse(&self) -> Overloaded {
        lock(&self.overload).refused(clock::now(), rand::random())
    }

    fn with<T>(&self, service: &ServiceId, run: impl FnOnce(&mut AdmissionQueue) -> T) -> T {
        let mut queues = lock(&self.queues);
        let queue = queues.entry(service.clone()).or_default();
        run(queue)
    }
}

impl QueueEntry {
    /// Whether the request is first in its queue.
    pub(crate) fn is_next(&self) -> bool {
        self.gate
            .with(&self.service, |queue| queue.is_next(self.ticket))
    }

    /// Length of the queue, including this request.
    pub(crate) fn waiting(&self) -> usize {
        self.gate.with(&self.service, |queue| queue.len())
    }

    /// Whether the request, having waited for `waited`, is expected to be sent in
    /// time for its latency objective.
    pub(crate) fn can_meet_objective(&self, objective: Duration, waited: Duration) -> bool {
        self.gate.with(&self.service, |queue| {
            queue.expected_wait(self.ticket) + waited <= queue.max_wait(objective)
        })
    }

    /// Waits for a change that may have freed cache, at most for `longest`.
    pub(crate) async fn changed(&self, longest: Duration) {
        // A missed change is found by the caller's check after the timeout.
        let _ = tokio::time::timeout(longest, self.gate.changed.notified()).await;
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.gate
            .with(&self.service, |queue| queue.leave(self.ticket));
        self.gate.notify_change();
    }
}
