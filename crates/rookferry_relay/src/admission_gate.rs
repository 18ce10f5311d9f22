//! Admission queues for streams that wait for free cache on the engines.
//!
//! Each service has a queue, ordered by class. A stream is refused when it can't
//! be expected to start within its latency objective; the refusal carries the time at
//! which room is predicted for it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rookferry_core::AdmissionClass;
use rookferry_core::AdmissionQueue;
use rookferry_core::AdmissionTicket;
use rookferry_core::AssumedLoad;
use rookferry_core::ReturnSchedule;
use rookferry_core::ReturnSlot;
use rookferry_core::ServerKey;
use rookferry_core::Urgency;
use rookferry_core::UrgencyDemand;
use rookferry_net::clock;
use rookferry_wire::ServiceId;
use tokio::sync::Notify;

use crate::mutex::lock;

/// The queues by service, and the state of the overload.
#[derive(Debug, Default)]
pub(crate) struct AdmissionGate {
    queues: Mutex<HashMap<ServiceId, AdmissionQueue>>,
    demand: Mutex<HashMap<ServiceId, UrgencyDemand>>,
    assumed: Mutex<AssumedLoad>,
    returns: Mutex<HashMap<ServiceId, ReturnSchedule>>,
    changed: Notify,
}

/// What admission counts of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) urgency: Urgency,
    pub(crate) is_late: bool,
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

    /// Records the time from sending a stream to its first event.
    pub(crate) fn record_first_event(&self, service: &ServiceId, took: Duration) {
        self.with(service, |queue| queue.record_first_event(took));
    }

    /// Records the tokens of an admitted stream at a server of its path.
    pub(crate) fn record_tokens(&self, server: ServerKey, tokens: f64) {
        lock(&self.assumed).record(server, tokens, clock::now());
    }

    /// Tokens that `peers` other instances are assumed to have admitted at a server, beyond
    /// the loads known of them.
    pub(crate) fn assumed_tokens(&self, server: ServerKey, peers: usize) -> f64 {
        lock(&self.assumed).tokens(server, peers, clock::now())
    }

    /// Records that a new request arrives.
    pub(crate) fn record_arrival(&self, service: &ServiceId, arrival: Arrival) {
        let now = clock::now();
        {
            let mut demand = lock(&self.demand);
            let demand = demand.entry(service.clone()).or_default();
            demand.record(arrival.urgency, now);
        }
        self.with_returns(service, |returns| {
            returns.record_arrival(arrival.urgency, arrival.is_late, now);
        });
    }

    /// Records that a request is admitted.
    pub(crate) fn record_admitted(&self, service: &ServiceId, arrival: Arrival) {
        let now = clock::now();
        self.with_returns(service, |returns| {
            returns.record_admission(arrival.urgency, now);
        });
    }

    /// How many higher urgencies are in demand.
    pub(crate) fn urgency_rank(&self, service: &ServiceId, urgency: Urgency) -> u8 {
        let demand = lock(&self.demand);
        demand.get(service).map_or(0, |demand| demand.rank(urgency))
    }

    /// Records a refusal; returns when the caller is to retry.
    pub(crate) fn refuse(
        &self,
        service: &ServiceId,
        urgency: Urgency,
        time_left: Duration,
    ) -> ReturnSlot {
        let chance = rand::random();
        self.with_returns(service, |returns| {
            returns.refuse(urgency, time_left, chance, clock::now())
        })
    }

    fn with_returns<T>(
        &self,
        service: &ServiceId,
        run: impl FnOnce(&mut ReturnSchedule) -> T,
    ) -> T {
        let mut returns = lock(&self.returns);
        run(returns.entry(service.clone()).or_default())
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
