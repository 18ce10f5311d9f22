//! What is known of the backend servers, from a list that may lapse and that
//! others write to.
//!
//! While the platform is away, entries of servers that live can lapse. So an
//! entry that is missing right after an outage is kept for a moment, in which
//! a server that lives writes itself back.
//!
//! Load pattern: a seventh of the engines is cut off, crashes and starts again
//! at the same addresses. What the former processes wrote arrives late, so
//! that for three heartbeats each address is listed twice, and the former
//! entries name layers that nobody holds any more. One address is one process,
//! so only the latest start at an address is in use.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;
use rookferry_wire::Incarnation;
use rookferry_wire::LayerRange;
use rookferry_wire::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use super::ServerKey;

/// How long a name whose entry went is known as that of an earlier start. What
/// a process wrote before it ended came up to 4 s after its successor's entry;
/// the longest outage of the store takes some 10 s more.
const FORMER_KEPT: Duration = Duration::from_secs(30);

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Its name.
    pub id: EngineId,
    /// Its service.
    pub service: ServiceId,
    /// This start of it, and where it listens.
    pub key: ServerKey,
    /// When it started, in Unix milliseconds; without it, each start has a
    /// name of its own.
    pub incarnation: Option<Incarnation>,
    /// How often it has written its entry since its start.
    pub writes: u64,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it has said that it leaves.
    pub is_leaving: bool,
    /// Its accelerator's kind, if it is a model engine.
    pub accelerator: Option<Arc<str>>,
    /// The layers it holds, ready to run.
    pub held: Option<LayerRange>,
}

impl BackendServer {
    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.key.addr
    }

    /// Whether another entry says the same of the same start, however often it
    /// was written.
    #[must_use]
    pub fn says_the_same(&self, other: &Self) -> bool {
        let Self {
            id,
            service,
            key,
            incarnation,
            writes: _,
            domain,
            slots,
            is_leaving,
            accelerator,
            held,
        } = self;
        *key == other.key
            && *held == other.held
            && *is_leaving == other.is_leaving
            && *incarnation == other.incarnation
            && *slots == other.slots
            && *id == other.id
            && *service == other.service
            && *domain == other.domain
            && *accelerator == other.accelerator
    }
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryChange {
    /// A server is new or says something new.
    Updated(BackendServer),
    /// A server's entry is gone.
    Removed(EngineId),
    /// What stands under a name doesn't describe a server any more.
    Unusable(EngineId),
}

/// An entry, and the order in which its start was first seen.
#[derive(Clone, Debug)]
struct Listed {
    server: BackendServer,
    seen: SeenOrder,
}

/// In which read a start was first seen; higher is later.
type SeenOrder = u64;

/// A start whose entry went.
#[derive(Clone, Debug)]
struct Former {
    listed: Listed,
    gone_at: Instant,
}

/// The servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EngineId, Listed>,
    missing_since: BTreeMap<EngineId, Instant>,
    former: BTreeMap<EngineId, Former>,
    reads: SeenOrder,
}

impl Directory {
    /// No servers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// All entries, those of earlier starts at an address included.
    pub fn entries(&self) -> impl Iterator<Item = &BackendServer> {
        self.entries.values().map(|listed| &listed.server)
    }

    /// The servers in use: of those at one address that `is_usable` takes, the
    /// latest start. The others don't count at all, so that an entry which
    /// names no service of the site can't hide the server at its address.
    #[must_use]
    pub fn in_use(&self, is_usable: impl Fn(&BackendServer) -> bool) -> Vec<BackendServer> {
        let mut latest: BTreeMap<SocketAddr, &Listed> = BTreeMap::new();
        for listed in self.entries.values() {
            if !is_usable(&listed.server) {
                continue;
            }
            let known = latest.entry(listed.server.addr()).or_insert(listed);
            if listed.is_later_than(known) {
                *known = listed;
            }
        }
        let servers = latest.into_values();
        let mut servers: Vec<BackendServer> = servers.map(|listed| listed.server.clone()).collect();
        servers.sort_by(|left, right| left.id.cmp(&right.id));
        servers
    }

    /// The entries that `is_usable` doesn't take; others may, who know of a
    /// newer configuration.
    pub fn unusable(
        &self,
        is_usable: impl Fn(&BackendServer) -> bool,
    ) -> impl Iterator<Item = &BackendServer> {
        self.entries().filter(move |server| !is_usable(server))
    }

    /// The entry of a name.
    #[must_use]
    pub fn get(&self, id: &EngineId) -> Option<&BackendServer> {
        self.entries.get(id).map(|listed| &listed.server)
    }

    /// Takes a change in. Tells whether it is news: what an earlier start wrote
    /// never replaces a later one's entry.
    pub fn apply(&mut self, change: DirectoryChange, now: Instant) -> bool {
        self.reads += 1;
        match change {
            DirectoryChange::Updated(server) => self.insert(server),
            DirectoryChange::Removed(id) | DirectoryChange::Unusable(id) => {
                self.missing_since.remove(&id);
                self.remove(&id, now)
            }
        }
    }

    /// Takes a whole list in. With `may_have_lapsed`, servers that are not in
    /// it stay until [`Directory::expire`] finds their time over.
    pub fn replace(&mut self, list: Vec<BackendServer>, may_have_lapsed: bool, now: Instant) {
        self.reads += 1;
        let listed: BTreeSet<EngineId> = list.iter().map(|server| server.id.clone()).collect();
        for server in list {
            self.insert(server);
        }
        let names = self.entries.keys();
        let missing: Vec<EngineId> = names.filter(|id| !listed.contains(*id)).cloned().collect();
        if !may_have_lapsed {
            self.missing_since.clear();
        }
        for id in missing {
            if may_have_lapsed {
                self.missing_since.entry(id).or_insert(now);
            } else {
                self.remove(&id, now);
            }
        }
    }

    /// Keeps a server whose entry went during an outage for now.
    pub fn lapse(&mut self, id: &EngineId, now: Instant) {
        if self.entries.contains_key(id) {
            self.missing_since.entry(id.clone()).or_insert(now);
        }
    }

    /// Drops the servers that have been missing for longer than `grace`;
    /// tells which.
    pub fn expire(&mut self, now: Instant, grace: Duration) -> Vec<EngineId> {
        self.former
            .retain(|_, former| now.saturating_duration_since(former.gone_at) < FORMER_KEPT);
        let is_over = |since: &Instant| now.saturating_duration_since(*since) >= grace;
        let gone: Vec<EngineId> = self
            .missing_since
            .iter()
            .filter(|(_, since)| is_over(since))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.missing_since.remove(id);
            self.remove(id, now);
        }
        gone
    }

    /// Whether servers are missing whose time isn't over.
    #[must_use]
    pub fn has_missing(&self) -> bool {
        !self.missing_since.is_empty()
    }

    fn insert(&mut self, server: BackendServer) -> bool {
        let former = self.former.get(&server.id);
        let known = self.entries.get(&server.id);
        let known = known.or_else(|| former.map(|former| &former.listed));
        if known.is_some_and(|known| known.server.incarnation > server.incarnation) {
            return false;
        }
        // A start that was known before keeps its place among the starts.
        let seen = known
            .filter(|known| known.server.key == server.key)
            .map_or(self.reads, |known| known.seen);
        self.former.remove(&server.id);
        self.missing_since.remove(&server.id);
        self.entries
            .insert(server.id.clone(), Listed { server, seen });
        true
    }

    fn remove(&mut self, id: &EngineId, now: Instant) -> bool {
        let Some(listed) = self.entries.remove(id) else {
            return false;
        };
        let former = Former {
            listed,
            gone_at: now,
        };
        self.former.insert(id.clone(), former);
        true
    }
}

impl Listed {
    /// Whether it is the entry of a later start than another at its address.
    /// The servers' own word goes first; then which was seen first; of two in
    /// one list, the one that has written itself less often since its start.
    fn is_later_than(&self, other: &Self) -> bool {
        let started = |listed: &Self| listed.server.incarnation;
        if let (Some(own), Some(others)) = (started(self), started(other)) {
            return own > others;
        }
        if self.seen != other.seen {
            return self.seen > other.seen;
        }
        self.server.writes < other.server.writes
    }
}
