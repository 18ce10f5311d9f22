//! A consistent snapshot of the site's configuration and servers, as requests read it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rookferry_core::BackendServer;
use rookferry_core::ListVersion;
use rookferry_core::PathStage;
use rookferry_core::PipelinePath;
use rookferry_core::ServerKey;
use rookferry_core::ServingIndex;
use rookferry_core::ServingService;
use rookferry_wire::EngineId;
use rookferry_wire::ServiceId;

/// A snapshot of configuration and backend servers.
#[derive(Debug, Default)]
pub(crate) struct SiteView {
    /// The active configuration, once there is one.
    pub(crate) index: Option<Arc<ServingIndex>>,
    /// The backend servers, once they were listed.
    pub(crate) servers: Option<Arc<ServerTable>>,
}

impl SiteView {
    /// The version of the active configuration.
    pub(crate) fn config_version(&self) -> Option<u64> {
        self.index.as_ref().map(|index| index.config().version)
    }

    /// The version of the server list; the lowest while there is none.
    pub(crate) fn servers_version(&self) -> ListVersion {
        let servers = self.servers.as_ref();
        servers.map(|servers| servers.version()).unwrap_or_default()
    }

    /// A server, if this incarnation of it is in use.
    pub(crate) fn server(&self, server: ServerKey) -> Option<&BackendServer> {
        self.servers.as_ref()?.get(server)
    }

    /// The incarnation in use at an address.
    pub(crate) fn server_at(&self, addr: SocketAddr) -> Option<ServerKey> {
        Some(self.servers.as_ref()?.at(addr)?.key)
    }

    /// Whether a server belongs to the site: to a configured service, and without layers
    /// beyond the model's. All servers do while there is no configuration.
    pub(crate) fn is_usable(&self, server: &BackendServer) -> bool {
        let Some(index) = &self.index else {
            return true;
        };
        let Some(service) = index.service(&server.service) else {
            return false;
        };
        let model = service.model.as_ref().zip(server.held);
        model.is_none_or(|(model, held)| held.end <= model.layers)
    }

    /// The service of a server.
    pub(crate) fn service_of(&self, server: ServerKey) -> Option<&ServingService> {
        let entry = self.server(server)?;
        self.index.as_ref()?.service(&entry.service)
    }
}

/// Servers that a newer table takes out of use.
#[derive(Debug)]
pub(crate) struct Departed {
    /// Their entries say that they are leaving.
    pub(crate) leaving: Vec<EngineId>,
    /// They aren't in use any more.
    pub(crate) removed: Vec<EngineId>,
}

/// The backend servers, indexed by service, address and name.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    /// The version of the list. Table and version are replaced together: an old list
    /// under a new version would never be fetched again.
    version: ListVersion,
    servers: Vec<BackendServer>,
    /// Entries that this instance can't use, kept to pass them on to peers.
    unusable: Vec<BackendServer>,
    by_service: HashMap<ServiceId, Vec<usize>>,
    by_addr: HashMap<SocketAddr, usize>,
    by_id: HashMap<EngineId, usize>,
}

impl ServerTable {
    /// Builds a table from the servers in use, at most one per address, and the unusable
    /// entries.
    pub(crate) fn new(
        version: ListVersion,
        servers: Vec<BackendServer>,
        unusable: Vec<BackendServer>,
    ) -> Self {
        let mut by_service: HashMap<ServiceId, Vec<usize>> = HashMap::new();
        let mut by_addr = HashMap::new();
        let mut by_id = HashMap::with_capacity(servers.len());
        for (index, server) in servers.iter().enumerate() {
            by_service
                .entry(server.service.clone())
                .or_default()
                .push(index);
            by_id.insert(server.id.clone(), index);
            by_addr.insert(server.addr(), index);
        }
        Self {
            version,
            servers,
            unusable,
            by_service,
            by_addr,
            by_id,
        }
    }

    /// The version of the list.
    pub(crate) const fn version(&self) -> ListVersion {
        self.version
    }

    /// All servers in use.
    pub(crate) fn all(&self) -> &[BackendServer] {
        &self.servers
    }

    /// All entries, usable here or not.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.iter().chain(&self.unusable)
    }

    /// The entry of a name, usable here or not.
    pub(crate) fn entry(&self, id: &EngineId) -> Option<&BackendServer> {
        let mut unusable = self.unusable.iter();
        self.named(id)
            .or_else(|| unusable.find(|entry| entry.id == *id))
    }

    /// The servers of a service.
    pub(crate) fn of(&self, service: &ServiceId) -> impl Iterator<Item = &BackendServer> {
        let indexes = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        indexes.iter().map(|index| &self.servers[*index])
    }

    /// The server of a name.
    pub(crate) fn named(&self, id: &EngineId) -> Option<&BackendServer> {
        Some(&self.servers[*self.by_id.get(id)?])
    }

    /// How often a path crosses from one failure domain to another.
    pub(crate) fn crossings(&self, path: &PipelinePath) -> usize {
        let domain = |stage: &PathStage| self.get(stage.server).map(|server| &server.domain);
        let pairs = path.stages().windows(2);
        pairs
            .filter(|pair| domain(&pair[0]) != domain(&pair[1]))
            .count()
    }

    /// The names of servers that the former table had in use and that are leaving in this
    /// one or missing from it; at most `limit` of each.
    pub(crate) fn departed_since(&self, before: Option<&Self>, limit: usize) -> Departed {
        let before = before.map_or(&[][..], |before| before.all());
        let used = before.iter().filter(|server| !server.is_leaving);
        let now = |server: &&BackendServer| self.get(server.key);
        let leaves = |server: &&BackendServer| now(server).is_some_and(|now| now.is_leaving);
        let name = |server: &BackendServer| server.id.clone();
        Departed {
            leaving: used.clone().filter(leaves).take(limit).map(name).collect(),
            removed: before
                .iter()
                .filter(|server| now(server).is_none())
                .take(limit)
                .map(name)
                .collect(),
        }
    }

    /// Whether an incarnation of a server is in the list, usable here or not.
    pub(crate) fn lists(&self, server: ServerKey) -> bool {
        let mut unusable = self.unusable.iter();
        self.get(server).is_some() || unusable.any(|entry| entry.key == server)
    }

    /// A server, if this incarnation of it is in use.
    pub(crate) fn get(&self, server: ServerKey) -> Option<&BackendServer> {
        self.at(server.addr).filter(|entry| entry.key == server)
    }

    /// The server in use at an address.
    pub(crate) fn at(&self, addr: SocketAddr) -> Option<&BackendServer> {
        Some(&self.servers[*self.by_addr.get(&addr)?])
    }
}
