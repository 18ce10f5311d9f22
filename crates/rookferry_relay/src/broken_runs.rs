//! Runs that broke at this instance, until it is known whether their servers crashed.

use std::sync::Mutex;
use std::sync::MutexGuard;

use rookferry_core::BrokenRuns;
use rookferry_core::ServerKey;
use rookferry_net::wait_until;
use tokio::sync::Notify;

use crate::mutex::lock;
use crate::request::CallerRequest;

/// The recently broken runs, with a notification for decided ones.
#[derive(Debug, Default)]
pub(crate) struct BrokenRunTable {
    inner: Mutex<BrokenRuns>,
    decided: Notify,
}

impl BrokenRunTable {
    /// Locks the table.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BrokenRuns> {
        lock(&self.inner)
    }

    /// Clears the runs of a server that answers: it hasn't crashed, so they have
    /// another cause.
    pub(crate) fn server_answered(&self, server: ServerKey) {
        if !self.lock().server_answered(server).is_empty() {
            self.notify_decided();
        }
    }

    /// Wakes requests that wait for a decision.
    pub(crate) fn notify_decided(&self) {
        self.decided.notify_waiters();
    }

    /// Waits until each server at which runs of the request, or runs with its prompt
    /// segments, broke is known to have crashed or to be alive.
    pub(crate) async fn wait_decided(&self, request: &CallerRequest) {
        let suspects = request.suspects();
        let is_decided = || {
            let broken = self.lock();
            let mut suspects = suspects.iter();
            suspects.all(|(signature, _)| !broken.is_undecided(*signature))
        };
        wait_until(&self.decided, is_decided).await;
    }
}
