//! Engines that were found to have started again, on their way to the
//! directory.
//!
//! Load pattern: engines start again while the platform's store is away. Their
//! entries tell of the former processes until it is back, so whoever asks such
//! an engine learns of its start first. Without this, layers that were lost
//! during an outage were ordered anew only after it.

use std::sync::Mutex;

use rookferry_core::BackendServer;
use tokio::sync::Notify;

use crate::mutex::lock;

/// Most restarts that wait: more than engines of a failure domain. One that
/// finds no place is found again by the next question.
const MAX_WAITING: usize = 1_024;

/// Servers as their new processes describe themselves.
#[derive(Debug, Default)]
pub(crate) struct Restarts {
    waiting: Mutex<Vec<BackendServer>>,
    changed: Notify,
}

impl Restarts {
    /// Adds a server; tells whether there was a place for it.
    pub(crate) fn push(&self, server: BackendServer) -> bool {
        let mut waiting = lock(&self.waiting);
        if waiting.len() >= MAX_WAITING || waiting.iter().any(|known| known.key == server.key) {
            return false;
        }
        waiting.push(server);
        drop(waiting);
        self.changed.notify_one();
        true
    }

    /// Waits for servers. Nothing is lost when this is dropped while it waits.
    pub(crate) async fn next(&self) -> Vec<BackendServer> {
        loop {
            let servers = std::mem::take(&mut *lock(&self.waiting));
            if !servers.is_empty() {
                return servers;
            }
            self.changed.notified().await;
        }
    }
}
