//! Engines that were found to have restarted, queued for the directory.
//!
//! Load pattern: engines restart while the platform's store is unavailable. Their entries
//! describe the former processes until it is back, so an instance that calls such an
//! engine learns of its restart first. Without this queue, layers that were lost during
//! an outage were ordered again only after it.

use std::sync::Mutex;

use rookferry_core::BackendServer;
use tokio::sync::Notify;

use crate::mutex::lock;

/// Most queued restarts: more than there are engines in a failure domain. An engine that
/// doesn't fit is found again by the next call to it.
const MAX_PENDING: usize = 1_024;

/// Servers as described by their new processes.
#[derive(Debug, Default)]
pub(crate) struct RestartQueue {
    pending: Mutex<Vec<BackendServer>>,
    changed: Notify,
}

impl RestartQueue {
    /// Queues a server; returns whether it was added.
    pub(crate) fn push(&self, server: BackendServer) -> bool {
        let mut pending = lock(&self.pending);
        if pending.len() >= MAX_PENDING || pending.iter().any(|known| known.key == server.key) {
            return false;
        }
        pending.push(server);
        drop(pending);
        self.changed.notify_one();
        true
    }

    /// Waits for servers. Cancel safe.
    pub(crate) async fn next(&self) -> Vec<BackendServer> {
        loop {
            let servers = std::mem::take(&mut *lock(&self.pending));
            if !servers.is_empty() {
                return servers;
            }
            self.changed.notified().await;
        }
    }
}
