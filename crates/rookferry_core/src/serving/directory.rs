//! The backend servers that an instance knows, from entries in the store that the servers
//! write themselves and that expire.
//!
//! Inputs are whole lists and single changes read from the store; the output is the set
//! of servers in use. While the store is unavailable, entries of live servers can expire.
//! So an entry that is missing right after an outage is retained for a grace period, in
//! which a live server writes its entry again.
//!
//! Load pattern: a seventh of the engines is cut off, crashes and restarts at the same
//! addresses. What the former processes wrote arrives late, so that for three heartbeats
//! each address is listed twice, and the former entries name layers that no engine holds
//! any more. Only one process listens at an address, so only the latest start there is
//! used.
//!
//! A store that is restored from a backup shows old entries. What is known of a start,
//! also that it left, stays in force until the server writes again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::EngineId;

use super::BackendServer;
use super::Presence;

/// How long the entry of a removed name still counts as an earlier start. Writes of a
/// process that exited have arrived up to 4 s after the entry of its successor; the
/// longest outage of the store adds some 10 s.
const FORMER_TTL: Duration = Duration::from_secs(30);

/// A change to the entry of one server.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryChange {
    /// The entry is new or has changed.
    Updated(BackendServer),
    /// The entry was removed.
    Removed(EngineId),
    /// The entry can't be parsed as a server any more.
    Unusable(EngineId),
}

/// In which ways a list may be wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListUncertainty {
    /// A server that isn't in the list may merely have expired during an outage.
    pub may_be_incomplete: bool,
    /// The list may show old entries after a restore. The entry of a server that had been
    /// removed is only accepted if it persists for this time, in which the entry of an
    /// exited server expires.
    pub may_be_outdated: Option<Duration>,
    /// Like `may_be_outdated`, for servers that the previous list lacked: they may have
    /// been removed before this instance knew of any.
    pub may_have_unseen_removals: bool,
    /// An entry that the sender of the list retains may have lapsed by what this instance
    /// knows, too. Otherwise it was removed.
    pub may_have_lapses: bool,
}

impl ListUncertainty {
    /// The list is complete and contains nothing outdated.
    pub const NONE: Self = Self {
        may_be_incomplete: false,
        may_be_outdated: None,
        may_have_unseen_removals: false,
        may_have_lapses: false,
    };
    /// The list was read right after an outage.
    pub const AFTER_OUTAGE: Self = Self {
        may_be_incomplete: true,
        may_have_lapses: true,
        ..Self::NONE
    };
}

/// An entry, and in which read its start was first seen.
#[derive(Clone, Debug)]
struct Listed {
    server: BackendServer,
    first_seen: ReadNumber,
}

/// Number of the read in which a start was first seen.
type ReadNumber = u64;

/// A start whose entry was removed.
#[derive(Clone, Debug)]
struct Former {
    listed: Listed,
    removed_at: Instant,
}

/// An entry that reappeared after a restore and isn't accepted yet.
#[derive(Clone, Debug)]
struct Restored {
    server: BackendServer,
    accepted_at: Instant,
}

/// What [`Directory::expire`] changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiryOutcome {
    /// Servers that were removed after the grace period.
    pub removed: Vec<EngineId>,
    /// Servers whose restored entries were accepted.
    pub restored: Vec<EngineId>,
}

impl ExpiryOutcome {
    /// Whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.restored.is_empty()
    }
}

/// The entries of all known servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EngineId, Listed>,
    missing_since: BTreeMap<EngineId, Instant>,
    former: BTreeMap<EngineId, Former>,
    restored: BTreeMap<EngineId, Restored>,
    read_count: ReadNumber,
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

    /// The servers in use: per address the latest start among those for which `is_usable`
    /// is true. Other entries are ignored, so that one which names no service of the site
    /// can't hide the server at its address.
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

    /// The entries for which `is_usable` is false. An instance with a newer configuration
    /// may use them.
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

    /// Applies a change; returns false if it is outdated or has no effect. A write of an
    /// earlier start never replaces the entry of a later one.
    pub fn apply(&mut self, change: DirectoryChange, now: Instant) -> bool {
        self.read_count += 1;
        match change {
            DirectoryChange::Updated(server) if self.is_outdated(&server) => false,
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

    /// Whether an entry has fewer writes than the known entry of the same start: it was
    /// delayed, or comes from a list that is older than it looks.
    fn is_outdated(&self, server: &BackendServer) -> bool {
        let known = self.entries.get(&server.id);
        known.is_some_and(|known| {
            known.server.key == server.key
                && server.incarnation.is_some()
                && server.writes < known.server.writes
        })
    }

    /// Applies a whole list; returns whether an entry changed, counts of writes aside. If
    /// absent servers may merely have expired, they stay until [`Directory::expire`]
    /// removes them after the grace period. So do those that the sender of the list
    /// retains, unless this instance has seen their removal or had no outage itself.
    pub fn replace(
        &mut self,
        list: Vec<BackendServer>,
        uncertainty: ListUncertainty,
        now: Instant,
    ) -> bool {
        let before = self.entries.clone();
        self.read_count += 1;
        let uncertainty = ListUncertainty {
            // On the first list no server counts as removed before.
            may_have_unseen_removals: uncertainty.may_have_unseen_removals
                && !self.entries.is_empty(),
            ..uncertainty
        };
        let (list, retained): (Vec<_>, Vec<_>) = list
            .into_iter()
            .partition(|server| server.presence == Presence::Listed);
        let listed: BTreeSet<EngineId> = list.iter().map(|server| server.id.clone()).collect();
        self.restored.clear();
        for server in list {
            self.apply_listed(server, uncertainty, now);
        }
        let is_first = before.is_empty();
        let lapsed = retained
            .into_iter()
            .filter(|server| {
                is_first
                    || uncertainty.may_have_lapses
                    || self.missing_since.contains_key(&server.id)
            })
            .collect::<Vec<_>>();
        let lapsed: BTreeSet<EngineId> = lapsed
            .into_iter()
            .filter_map(|server| self.known_or_first(server, is_first))
            .collect();
        let names = self.entries.keys();
        let missing: Vec<EngineId> = names.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            if uncertainty.may_be_incomplete || lapsed.contains(&id) {
                self.mark_missing(&id, now);
            } else {
                self.missing_since.remove(&id);
                self.remove(&id, now);
            }
        }
        !has_same_content(&before, &self.entries)
    }

    /// The name of an entry that the sender of a list retains, if this instance has it
    /// as well. On the first list it is inserted.
    fn known_or_first(&mut self, server: BackendServer, is_first: bool) -> Option<EngineId> {
        let id = server.id.clone();
        if is_first {
            self.insert(server);
            return Some(id);
        }
        let known = self.entries.get(&id)?;
        (known.server.key == server.key).then_some(id)
    }

    fn apply_listed(&mut self, server: BackendServer, uncertainty: ListUncertainty, now: Instant) {
        if let Some(persists_for) = uncertainty.may_be_outdated {
            self.apply_restored(server, uncertainty, now + persists_for);
        } else if self.is_outdated(&server) {
            self.mark_listed(&server.id);
        } else {
            self.insert(server);
        }
    }

    /// Records that the store lists an entry that is known already.
    fn mark_listed(&mut self, id: &EngineId) {
        self.missing_since.remove(id);
        if let Some(listed) = self.entries.get_mut(id) {
            listed.server.presence = Presence::Listed;
        }
    }

    /// Applies an entry that may be outdated; that of a server which may have been
    /// removed is only accepted at `accepted_at`, if it is still there.
    fn apply_restored(
        &mut self,
        server: BackendServer,
        uncertainty: ListUncertainty,
        accepted_at: Instant,
    ) {
        if let Some(known) = self.entries.get(&server.id)
            && known.server.key == server.key
            && (server.writes < known.server.writes || known.server.is_leaving)
        {
            self.mark_listed(&server.id);
            return;
        }
        let former = self.former.get(&server.id);
        let was_removed = former.is_some_and(|former| former.listed.server.key == server.key);
        let is_unknown = uncertainty.may_have_unseen_removals
            && former.is_none()
            && !self.entries.contains_key(&server.id);
        if was_removed || is_unknown {
            let restored = Restored {
                server,
                accepted_at,
            };
            self.restored.insert(restored.server.id.clone(), restored);
            return;
        }
        self.insert(server);
    }

    /// Retains a server whose entry was removed during an outage for the grace period.
    pub fn mark_missing(&mut self, id: &EngineId, now: Instant) {
        if let Some(listed) = self.entries.get_mut(id) {
            listed.server.presence = Presence::Retained;
            self.missing_since.entry(id.clone()).or_insert(now);
        }
    }

    /// Removes servers that have been missing for `grace`, and accepts restored entries
    /// that have persisted; returns both.
    pub fn expire(&mut self, now: Instant, grace: Duration) -> ExpiryOutcome {
        self.former
            .retain(|_, former| now.saturating_duration_since(former.removed_at) < FORMER_TTL);
        let is_over = |since: &Instant| now.saturating_duration_since(*since) >= grace;
        let removed: Vec<EngineId> = self
            .missing_since
            .iter()
            .filter(|(_, since)| is_over(since))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &removed {
            self.missing_since.remove(id);
            self.remove(id, now);
        }
        let persisted = self
            .restored
            .extract_if(.., |_, restored| restored.accepted_at <= now);
        let persisted: Vec<BackendServer> =
            persisted.map(|(_, restored)| restored.server).collect();
        let restored = persisted.iter().map(|server| server.id.clone()).collect();
        for server in persisted {
            self.insert(server);
        }
        ExpiryOutcome { removed, restored }
    }

    /// When [`Directory::expire`] is next due; `None` if nothing is pending.
    #[must_use]
    pub fn expires_at(&self, grace: Duration) -> Option<Instant> {
        let missing = self.missing_since.values().map(|since| *since + grace);
        let restored = self.restored.values().map(|restored| restored.accepted_at);
        missing.chain(restored).min()
    }

    fn insert(&mut self, server: BackendServer) -> bool {
        let former = self.former.get(&server.id);
        let known = self.entries.get(&server.id);
        let known = known.or_else(|| former.map(|former| &former.listed));
        if known.is_some_and(|known| known.server.incarnation > server.incarnation) {
            return false;
        }
        // A start that was known before keeps its number.
        let first_seen = known
            .filter(|known| known.server.key == server.key)
            .map_or(self.read_count, |known| known.first_seen);
        self.former.remove(&server.id);
        self.missing_since.remove(&server.id);
        self.entries
            .insert(server.id.clone(), Listed { server, first_seen });
        true
    }

    fn remove(&mut self, id: &EngineId, now: Instant) -> bool {
        let Some(listed) = self.entries.remove(id) else {
            return false;
        };
        let former = Former {
            listed,
            removed_at: now,
        };
        self.former.insert(id.clone(), former);
        true
    }
}

/// Whether both contain the same entries, counts of writes aside.
fn has_same_content(left: &BTreeMap<EngineId, Listed>, right: &BTreeMap<EngineId, Listed>) -> bool {
    let servers = left.values().zip(right.values());
    left.len() == right.len()
        && servers
            .map(|(left, right)| (&left.server, &right.server))
            .all(|(left, right)| left.has_same_content(right) && left.presence == right.presence)
}

impl Listed {
    /// Whether this is the entry of a later start than `other` at the same address: by
    /// the incarnations if both have one; else by the read in which each was first seen;
    /// within one read by the fewer writes.
    fn is_later_than(&self, other: &Self) -> bool {
        let started = |listed: &Self| listed.server.incarnation;
        if let (Some(own), Some(others)) = (started(self), started(other)) {
            return own > others;
        }
        if self.first_seen != other.first_seen {
            return self.first_seen > other.first_seen;
        }
        self.server.writes < other.server.writes
    }
}
