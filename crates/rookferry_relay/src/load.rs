//! This instance's requests in flight and their tokens, by backend server.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use rookferry_core::ServerKey;
use rookferry_core::ServerLoad;

use crate::mutex::lock;

/// Load by server; clones share the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTable {
    inner: Arc<Mutex<HashMap<ServerKey, ServerLoad>>>,
}

/// Counts a request at the servers of its path until dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    table: LoadTable,
    parts: Vec<(ServerKey, f64)>,
}

impl LoadTable {
    /// The load of a server; zero if nothing is in flight there.
    pub(crate) fn of(&self, server: ServerKey) -> ServerLoad {
        lock(&self.inner).get(&server).copied().unwrap_or_default()
    }

    /// Counts a request at servers, each with the tokens in its cache.
    pub(crate) fn track(&self, parts: Vec<(ServerKey, f64)>) -> LoadGuard {
        let mut loads = lock(&self.inner);
        for (server, tokens) in &parts {
            *loads.entry(*server).or_default() += ServerLoad {
                requests: 1,
                tokens: *tokens,
            };
        }
        drop(loads);
        LoadGuard {
            table: self.clone(),
            parts,
        }
    }

    /// A copy of all loads.
    pub(crate) fn snapshot(&self) -> Vec<(ServerKey, ServerLoad)> {
        let loads = lock(&self.inner);
        loads
            .iter()
            .map(|(server, load)| (*server, *load))
            .collect()
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut loads = lock(&self.table.inner);
        for (server, tokens) in &self.parts {
            let Some(load) = loads.get_mut(server) else {
                continue;
            };
            load.requests = load.requests.saturating_sub(1);
            load.tokens = (load.tokens - tokens).max(0.0);
            if load.requests == 0 {
                loads.remove(server);
            }
        }
    }
}
