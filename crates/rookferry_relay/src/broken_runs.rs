//! Runs that broke at this instance, until it is known whether their servers crashed.

use std::sync::Mutex;
use std::sync::MutexGuard;

use rookferry_core::BrokenRuns;
use rookferry_core::RequestSignature;
use rookferry_core::ServerKey;
use rookferry_net::wait_until;
use tokio::sync::Notify;

use crate::mutex::lock;

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

    /// Waits until each server at which the request's runs broke is known to have
    /// crashed or to be alive.
    pub(crate) async fn wait_decided(&self, signature: RequestSignature) {
        wait_until(&self.decided, || !self.lock().is_undecided(signature)).await;
    }
}
