//! What has changed in the list of servers, for instances that have an earlier one.
//!
//! Load pattern: a release replaces a hundred of three thousand servers, one after the
//! other, and a thousand instances hear of each. The whole list with each change is the
//! number of servers times the changes times the instances, and fills the link of a
//! small machine. So an instance that has an earlier list is given the entries that
//! differ.
//!
//! Two instances can have put lists of one version together in different ways. A digest
//! over all entries tells whether they have the same; where they haven't, or the earlier
//! list isn't remembered, the whole list is given.

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

/// Lists that are remembered: those of several seconds in which each brings a change.
const MOST_REMEMBERED: usize = 64;
/// The part of a list that differs from which on the whole list is given.
const WHOLE_FROM: usize = 2;

/// A digest over the entries of a list, in whichever order.
pub type ListDigest = u64;

/// A list that an instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListMark {
    /// Its version.
    pub version: ListVersion,
    /// The digest over its entries.
    pub digest: ListDigest,
}

/// What differs between two lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Entries that are new, or say something else.
    pub changed: Vec<BackendServer>,
    /// Names whose entries are gone.
    pub gone: Vec<EngineId>,
}

impl ListDelta {
    /// The list that it makes of an earlier one; `None` if that doesn't come to the
    /// digest, since the two lists weren't the same.
    #[must_use]
    pub fn applied<'a>(
        self,
        earlier: impl IntoIterator<Item = &'a BackendServer>,
        digest: ListDigest,
    ) -> Option<Vec<BackendServer>> {
        let gone: HashSet<EngineId> = self.gone.into_iter().collect();
        let kept = earlier
            .into_iter()
            .filter(|server| !gone.contains(&server.id));
        let mut list: BTreeMap<EngineId, BackendServer> = kept
            .map(|server| (server.id.clone(), server.clone()))
            .collect();
        let changed = self.changed.into_iter();
        list.extend(changed.map(|server| (server.id.clone(), server)));
        let list: Vec<BackendServer> = list.into_values().collect();
        (digest_of(&list) == digest).then_some(list)
    }
}

/// Counts the lists, so that changes can be put in order.
type ListNumber = u64;

#[derive(Clone, Copy, Debug)]
struct Entry {
    hash: u64,
    changed_in: ListNumber,
}

/// The list in force, and in which list each of its entries changed last.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    number: ListNumber,
    mark: ListMark,
    entries: HashMap<EngineId, Entry>,
    /// Names that were in a list which is still remembered, and when they went.
    gone: HashMap<EngineId, ListNumber>,
    /// Earlier lists, the latest last.
    earlier: VecDeque<(ListMark, ListNumber)>,
}

impl ListHistory {
    /// No list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The list in force.
    #[must_use]
    pub const fn mark(&self) -> ListMark {
        self.mark
    }

    /// A list is in force from now on.
    pub fn put<'a>(
        &mut self,
        version: ListVersion,
        list: impl IntoIterator<Item = &'a BackendServer>,
    ) {
        self.remember();
        let mut before = std::mem::take(&mut self.entries);
        let mut digest = 0;
        for server in list {
            let hash = hash_of(server);
            digest ^= hash;
            let known = before.remove(&server.id).filter(|known| known.hash == hash);
            let changed_in = known.map_or(self.number, |known| known.changed_in);
            self.gone.remove(&server.id);
            let entry = Entry { hash, changed_in };
            self.entries.insert(server.id.clone(), entry);
        }
        let number = self.number;
        self.gone.extend(before.into_keys().map(|id| (id, number)));
        self.mark = ListMark { version, digest };
    }

    /// Keeps the list in force among the earlier ones.
    fn remember(&mut self) {
        if self.number > 0 {
            self.earlier.push_back((self.mark, self.number));
        }
        self.number += 1;
        if self.earlier.len() > MOST_REMEMBERED {
            self.earlier.pop_front();
        }
        let oldest = self
            .earlier
            .front()
            .map_or(self.number, |(_, number)| *number);
        self.gone.retain(|_, gone_in| *gone_in > oldest);
    }

    /// What differs in the list in force from an earlier one; `entry` gives the entry of
    /// a name. `None` if that list isn't remembered, or most of it differs.
    #[must_use]
    pub fn since(
        &self,
        earlier: ListMark,
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
        let gone = self.gone.iter().filter(|(_, gone_in)| later(**gone_in));
        let gone: Vec<EngineId> = gone.map(|(id, _)| id.clone()).collect();
        if (changed.len() + gone.len()) * WHOLE_FROM > self.entries.len() {
            return None;
        }
        let changed: Option<Vec<BackendServer>> = changed.into_iter().map(entry).collect();
        Some(ListDelta {
            changed: changed?,
            gone,
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
