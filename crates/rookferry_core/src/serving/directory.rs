//! What is known of the backend servers, from a list that may lapse.
//!
//! While the platform is away, entries of servers that live can lapse. So an
//! entry that is missing right after an outage is kept for a moment, in which
//! a server that lives writes itself back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;
use rookferry_wire::ServiceId;
use serde::Deserialize;
use serde::Serialize;

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Its name, a new one with each start.
    pub id: EngineId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it has said that it leaves.
    pub is_leaving: bool,
    /// Its accelerator's kind, if it is a model engine.
    pub accelerator: Option<String>,
    /// The layers it holds, ready to run.
    pub held: Option<LayerRange>,
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryChange {
    /// A server is new or says something new.
    Updated(BackendServer),
    /// A server's entry is gone.
    Removed(EngineId),
}

/// The servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<EngineId, BackendServer>,
    missing_since: BTreeMap<EngineId, Instant>,
}

impl Directory {
    /// No servers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The servers in use.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values()
    }

    /// A server.
    #[must_use]
    pub fn get(&self, id: &EngineId) -> Option<&BackendServer> {
        self.servers.get(id)
    }

    /// Takes a change in.
    pub fn apply(&mut self, change: DirectoryChange) {
        match change {
            DirectoryChange::Updated(server) => {
                self.missing_since.remove(&server.id);
                self.servers.insert(server.id.clone(), server);
            }
            DirectoryChange::Removed(id) => {
                self.missing_since.remove(&id);
                self.servers.remove(&id);
            }
        }
    }

    /// Takes a whole list in. With `may_have_lapsed`, servers that are not in
    /// it stay until [`Directory::expire`] finds their time over.
    pub fn replace(&mut self, list: Vec<BackendServer>, may_have_lapsed: bool, now: Instant) {
        let mut before = std::mem::take(&mut self.servers);
        for server in list {
            before.remove(&server.id);
            self.missing_since.remove(&server.id);
            self.servers.insert(server.id.clone(), server);
        }
        if !may_have_lapsed {
            self.missing_since.clear();
            return;
        }
        for (id, server) in before {
            self.missing_since.entry(id.clone()).or_insert(now);
            self.servers.insert(id, server);
        }
    }

    /// Keeps a server whose entry went during an outage for now.
    pub fn lapse(&mut self, id: &EngineId, now: Instant) {
        if self.servers.contains_key(id) {
            self.missing_since.entry(id.clone()).or_insert(now);
        }
    }

    /// Drops the servers that have been missing for longer than `grace`;
    /// tells which.
    pub fn expire(&mut self, now: Instant, grace: Duration) -> Vec<EngineId> {
        let is_over = |since: &Instant| now.saturating_duration_since(*since) >= grace;
        let gone: Vec<EngineId> = self
            .missing_since
            .iter()
            .filter(|(_, since)| is_over(since))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.missing_since.remove(id);
            self.servers.remove(id);
        }
        gone
    }

    /// Whether servers are missing whose time isn't over.
    #[must_use]
    pub fn has_missing(&self) -> bool {
        !self.missing_since.is_empty()
    }
}
