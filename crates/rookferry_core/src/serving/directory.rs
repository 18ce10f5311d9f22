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
//!
//! A store that is restored from a copy shows entries as they once were. What is
//! known of a start stays, also that it left, until the server writes again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::EngineId;

use super::BackendServer;

/// How long a name whose entry went is known as that of an earlier start. What
/// a process wrote before it ended came up to 4 s after its successor's entry;
/// the longest outage of the store takes some 10 s more.
const FORMER_KEPT: Duration = Duration::from_secs(30);

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

/// What may be wrong with a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListDoubts {
    /// A server that it lacks may only have lapsed, during an outage.
    pub may_lack: bool,
    /// It may show servers as they once were, by a restore. Of one that had gone the
    /// entry is believed if it stands for this time, in which the entry of one that
    /// has ended goes.
    pub may_be_old: Option<Duration>,
    /// So may be servers that the list before lacked: they may have gone before this
    /// instance knew of any.
    pub may_have_gone_unseen: bool,
}

impl ListDoubts {
    /// It has all that was acknowledged, and nothing else.
    pub const NONE: Self = Self {
        may_lack: false,
        may_be_old: None,
        may_have_gone_unseen: false,
    };
    /// It is from right after an outage.
    pub const AFTER_OUTAGE: Self = Self {
        may_lack: true,
        ..Self::NONE
    };
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

/// A server that may have gone, and whose entry is there after a restore.
#[derive(Clone, Debug)]
struct Restored {
    server: BackendServer,
    believed_at: Instant,
}

/// Servers whose time was over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// They were missing for too long, and have left.
    pub gone: Vec<EngineId>,
    /// Their restored entries stand.
    pub back: Vec<EngineId>,
}

impl Expired {
    /// Whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.gone.is_empty() && self.back.is_empty()
    }
}

/// The servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EngineId, Listed>,
    missing_since: BTreeMap<EngineId, Instant>,
    former: BTreeMap<EngineId, Former>,
    restored: BTreeMap<EngineId, Restored>,
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
            DirectoryChange::Updated(server) if self.is_late_word(&server) => false,
            DirectoryChange::Updated(server) => {
                self.restored.remove(&server.id);
                self.insert(server)
            }
            DirectoryChange::Removed(id) | DirectoryChange::Unusable(id) => {
                self.restored.remove(&id);
                self.missing_since.remove(&id);
                self.remove(&id, now)
            }
        }
    }

    /// Whether an entry is from before what is known of its start, which counts its
    /// writes: written late, or in a list that is older than it looks.
    fn is_late_word(&self, server: &BackendServer) -> bool {
        let known = self.entries.get(&server.id);
        known.is_some_and(|known| {
            known.server.key == server.key
                && server.incarnation.is_some()
                && server.writes < known.server.writes
        })
    }

    /// Takes a whole list in. Where servers that aren't in it may have lapsed, they
    /// stay until [`Directory::expire`] finds their time over.
    pub fn replace(&mut self, list: Vec<BackendServer>, doubts: ListDoubts, now: Instant) {
        self.reads += 1;
        let doubts = ListDoubts {
            // Without a list before, none is unheard of.
            may_have_gone_unseen: doubts.may_have_gone_unseen && !self.entries.is_empty(),
            ..doubts
        };
        let listed: BTreeSet<EngineId> = list.iter().map(|server| server.id.clone()).collect();
        self.restored.clear();
        for server in list {
            self.take_listed(server, doubts, now);
        }
        let names = self.entries.keys();
        let missing: Vec<EngineId> = names.filter(|id| !listed.contains(*id)).cloned().collect();
        if !doubts.may_lack {
            self.missing_since.clear();
        }
        for id in missing {
            if doubts.may_lack {
                self.missing_since.entry(id).or_insert(now);
            } else {
                self.remove(&id, now);
            }
        }
    }

    fn take_listed(&mut self, server: BackendServer, doubts: ListDoubts, now: Instant) {
        if let Some(stands_for) = doubts.may_be_old {
            self.take_restored(server, doubts, now + stands_for);
        } else if self.is_late_word(&server) {
            self.missing_since.remove(&server.id);
        } else {
            self.insert(server);
        }
    }

    /// Takes an entry that may be as it once was; one of a server that may have gone
    /// counts from a time on, if it is still there.
    fn take_restored(&mut self, server: BackendServer, doubts: ListDoubts, believed_at: Instant) {
        if let Some(known) = self.entries.get(&server.id)
            && known.server.key == server.key
            && (server.writes < known.server.writes || known.server.is_leaving)
        {
            self.missing_since.remove(&server.id);
            return;
        }
        let former = self.former.get(&server.id);
        let had_gone = former.is_some_and(|former| former.listed.server.key == server.key);
        let is_unheard_of = doubts.may_have_gone_unseen
            && former.is_none()
            && !self.entries.contains_key(&server.id);
        if had_gone || is_unheard_of {
            let restored = Restored {
                server,
                believed_at,
            };
            self.restored.insert(restored.server.id.clone(), restored);
            return;
        }
        self.insert(server);
    }

    /// Keeps a server whose entry went during an outage for now.
    pub fn lapse(&mut self, id: &EngineId, now: Instant) {
        if self.entries.contains_key(id) {
            self.missing_since.entry(id.clone()).or_insert(now);
        }
    }

    /// Drops the servers that have been missing for longer than `grace`, and takes
    /// those in use again whose restored entries stand; tells what changed.
    pub fn expire(&mut self, now: Instant, grace: Duration) -> Expired {
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
        let standing = self
            .restored
            .extract_if(.., |_, restored| restored.believed_at <= now);
        let standing: Vec<BackendServer> = standing.map(|(_, restored)| restored.server).collect();
        let back = standing.iter().map(|server| server.id.clone()).collect();
        for server in standing {
            self.insert(server);
        }
        Expired { gone, back }
    }

    /// When [`Directory::expire`] has something to do next, if it may.
    #[must_use]
    pub fn expires_at(&self, grace: Duration) -> Option<Instant> {
        let missing = self.missing_since.values().map(|since| *since + grace);
        let restored = self.restored.values().map(|restored| restored.believed_at);
        missing.chain(restored).min()
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
