//! Runs that broke here, and whoever waits for word of their servers.

use std::sync::Mutex;
use std::sync::MutexGuard;

use rookferry_core::BrokenRuns;
use rookferry_core::RequestSignature;
use rookferry_core::ServerKey;
use rookferry_net::wait_until;
use tokio::sync::Notify;

use crate::mutex::lock;

/// The runs that broke lately.
#[derive(Debug, Default)]
pub(crate) struct BrokenRunTable {
    inner: Mutex<BrokenRuns>,
    decided: Notify,
}

impl BrokenRunTable {
    /// What is known, to be changed.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BrokenRuns> {
        lock(&self.inner)
    }

    /// A server answers: its broken runs have another cause.
    pub(crate) fn server_answered(&self, server: ServerKey) {
        if !self.lock().server_answered(server).is_empty() {
            self.tell_decided();
        }
    }

    /// It is known of more servers whether they have ended.
    pub(crate) fn tell_decided(&self) {
        self.decided.notify_waiters();
    }

    /// Waits until it is known of all servers at which a request's runs broke.
    pub(crate) async fn decided(&self, signature: RequestSignature) {
        wait_until(&self.decided, || !self.lock().is_undecided(signature)).await;
    }
}
