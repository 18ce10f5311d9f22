//! Differences between lists of servers, for peers that have an earlier list.
//!
//! Load pattern: a release replaces a hundred of three thousand servers one by one, and a
//! thousand instances receive each change. Sending the whole list for each change would
//! be the product of servers, changes and instances, and fill the link of a small
//! machine. So an instance that has an earlier list is sent only the entries that differ.
//!
//! Two instances may have built lists of one version in different ways. A digest over all
//! entries shows whether they agree; if not, or if the earlier list is no longer stored,
//! the whole list is sent.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use rookferry_wire::EngineId;
use serde::Deserialize;
use serde::Serialize;

use super::BackendServer;
use super::ListVersion;

/// Most earlier lists that are stored: several seconds' worth with a change in each.
const MAX_EARLIER: usize = 64;
/// Divisor of the list's length: if more than that part differs, the whole list is sent.
const WHOLE_LIST_DIVISOR: usize = 2;

/// XOR of the entries' hashes; independent of their order.
pub type ListDigest = u64;

/// Identifies a list by version and content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListFingerprint {
    /// The version.
    pub version: ListVersion,
    /// The digest of the entries.
    pub digest: ListDigest,
}

/// The differences between two lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Entries that are new or have changed.
    pub changed: Vec<BackendServer>,
    /// Names whose entries were removed.
    pub gone: Vec<EngineId>,
}

impl ListDelta {
    /// Applies the differences to an earlier list. `None` if the result doesn't match
    /// `digest`, since the earlier list wasn't the one that they refer to.
    #[must_use]
    pub fn applied<'a>(
        self,
        earlier: impl IntoIterator<Item = &'a BackendServer>,
        digest: ListDigest,
    ) -> Option<Vec<BackendServer>> {
        let removed: HashSet<EngineId> = self.gone.into_iter().collect();
        let kept = earlier
            .into_iter()
            .filter(|server| !removed.contains(&server.id));
        let mut list: BTreeMap<EngineId, BackendServer> = kept
            .map(|server| (server.id.clone(), server.clone()))
            .collect();
        let changed = self.changed.into_iter();
        list.extend(changed.map(|server| (server.id.clone(), server)));
        let list: Vec<BackendServer> = list.into_values().collect();
        (digest_of(&list) == digest).then_some(list)
    }
}

/// Consecutive number of a list.
type ListNumber = u64;

#[derive(Clone, Copy, Debug)]
struct Entry {
    hash: u64,
    changed_in: ListNumber,
}

/// The current list, and in which list each of its entries last changed.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    number: ListNumber,
    mark: ListFingerprint,
    entries: HashMap<EngineId, Entry>,
    /// Names that a stored list contains and a later one lacks, and the first list
    /// without.
    removed: HashMap<EngineId, ListNumber>,
    /// Earlier lists, oldest first.
    earlier: VecDeque<(ListFingerprint, ListNumber)>,
}

impl ListHistory {
    /// No list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The fingerprint of the current list.
    #[must_use]
    pub const fn fingerprint(&self) -> ListFingerprint {
        self.mark
    }

    /// Makes `list` the current one.
    pub fn set_current<'a>(
        &mut self,
        version: ListVersion,
        list: impl IntoIterator<Item = &'a BackendServer>,
    ) {
        self.archive_current();
        let mut before = std::mem::take(&mut self.entries);
        let mut digest = 0;
        for server in list {
            let hash = hash_of(server);
            digest ^= hash;
            let known = before.remove(&server.id).filter(|known| known.hash == hash);
            let changed_in = known.map_or(self.number, |known| known.changed_in);
            self.removed.remove(&server.id);
            let entry = Entry { hash, changed_in };
            self.entries.insert(server.id.clone(), entry);
        }
        let number = self.number;
        self.removed
            .extend(before.into_keys().map(|id| (id, number)));
        self.mark = ListFingerprint { version, digest };
    }

    /// Moves the current list to the earlier ones.
    fn archive_current(&mut self) {
        if self.number > 0 {
            self.earlier.push_back((self.mark, self.number));
        }
        self.number += 1;
        if self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
        let oldest = self
            .earlier
            .front()
            .map_or(self.number, |(_, number)| *number);
        self.removed.retain(|_, removed_in| *removed_in > oldest);
    }

    /// The differences between an earlier list and the current one; `entry` looks up the
    /// current entry of a name. `None` if that list isn't stored or too much differs.
    #[must_use]
    pub fn since(
        &self,
        earlier: ListFingerprint,
        entry: impl Fn(&EngineId) -> Option<BackendServer>,
    ) -> Option<ListDelta> {
        let mut known = self.earlier.iter().rev();
        let (_, since) = known.find(|(mark, _)| *mark == earlier)?;
        let later = |number: ListNumber| number > *since;
        let changed = self
            .entries
            .iter()
            .filter(|(_, entry)| later(entry.changed_in));
        let changed: Vec<&EngineId> = changed.map(|(id, _)| id).collect();
        let removed = self
            .removed
            .iter()
            .filter(|(_, removed_in)| later(**removed_in));
        let removed: Vec<EngineId> = removed.map(|(id, _)| id.clone()).collect();
        if (changed.len() + removed.len()) * WHOLE_LIST_DIVISOR > self.entries.len() {
            return None;
        }
        let changed: Option<Vec<BackendServer>> = changed.into_iter().map(entry).collect();
        Some(ListDelta {
            changed: changed?,
            gone: removed,
        })
    }
}

fn digest_of(list: &[BackendServer]) -> ListDigest {
    list.iter()
        .fold(0, |digest, server| digest ^ hash_of(server))
}

fn hash_of(server: &BackendServer) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(server)
}
