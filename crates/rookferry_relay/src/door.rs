//! Where streams wait for room on the engines, and are turned away.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rookferry_core::AdmissionQueue;
use rookferry_core::AdmissionTicket;
use rookferry_core::Overload;
use rookferry_core::Overloaded;
use rookferry_core::Urgency;
use rookferry_net::clock;
use rookferry_wire::ServiceId;
use tokio::sync::Notify;

use crate::mutex::lock;

/// Those who wait for room, by service.
#[derive(Debug, Default)]
pub(crate) struct Door {
    queues: Mutex<HashMap<ServiceId, AdmissionQueue>>,
    overload: Mutex<Overload>,
    changed: Notify,
}

/// A request's place in the queue, until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    door: Arc<Door>,
    service: ServiceId,
    ticket: AdmissionTicket,
}

impl Door {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Whether others wait that a request of some urgency may not pass.
    pub(crate) fn is_behind(&self, service: &ServiceId, urgency: Urgency) -> bool {
        self.with(service, |queue| queue.would_wait(urgency))
    }

    /// Has a request wait.
    pub(crate) fn join(self: &Arc<Self>, service: &ServiceId, urgency: Urgency) -> Place {
        Place {
            door: self.clone(),
            service: service.clone(),
            ticket: self.with(service, |queue| queue.join(urgency)),
        }
    }

    /// A stream has left its room.
    pub(crate) fn note_freed(&self, service: &ServiceId) {
        self.with(service, |queue| queue.record_release(clock::now()));
        self.note_change();
    }

    /// There may be room where there was none.
    pub(crate) fn note_change(&self) {
        self.changed.notify_waiters();
    }

    /// A stream's first event came some time after it was sent.
    pub(crate) fn note_first_event(&self, service: &ServiceId, took: Duration) {
        self.with(service, |queue| queue.record_first_event(took));
    }

    /// A request is turned away.
    pub(crate) fn turn_away(&self) -> Overloaded {
        lock(&self.overload).refused(clock::now(), rand::random())
    }

    fn with<T>(&self, service: &ServiceId, run: impl FnOnce(&mut AdmissionQueue) -> T) -> T {
        let mut queues = lock(&self.queues);
        let queue = queues.entry(service.clone()).or_default();
        run(queue)
    }
}

impl Place {
    /// Whether it is the first.
    pub(crate) fn is_next(&self) -> bool {
        self.door
            .with(&self.service, |queue| queue.is_next(self.ticket))
    }

    /// How many wait, this one included.
    pub(crate) fn waiting(&self) -> usize {
        self.door.with(&self.service, |queue| queue.len())
    }

    /// Whether the request can be expected to be sent in time for its
    /// objective, having waited for some time.
    pub(crate) fn is_hopeful(&self, objective: Duration, waited: Duration) -> bool {
        self.door.with(&self.service, |queue| {
            queue.expected_wait(self.ticket) + waited <= queue.max_wait(objective)
        })
    }

    /// Waits until there may be room, for some time at the most.
    pub(crate) async fn changed(&self, longest: Duration) {
        // A change that is missed is looked for when the time is over.
        let _ = tokio::time::timeout(longest, self.door.changed.notified()).await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.door
            .with(&self.service, |queue| queue.leave(self.ticket));
        self.door.note_change();
    }
}
