//! State of the platform: versioned objects and the delayed instance list. No I/O.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::InstanceEntry;
use rookferry_wire::InstanceId;
use rookferry_wire::InstanceList;
use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use rookferry_wire::PutRequest;
use rookferry_wire::PutResponse;
use rookferry_wire::WatchResponse;

/// Objects and instances of a platform.
#[derive(Debug, Default)]
pub struct Store {
    version: ObjectVersion,
    objects: BTreeMap<(String, String), Object>,
    instances: BTreeMap<InstanceId, ListedInstance>,
}

/// An instance's current and previous entry; `None` where it isn't listed.
#[derive(Debug)]
struct ListedInstance {
    entry: Option<InstanceEntry>,
    previous: Option<InstanceEntry>,
    changed_at: Instant,
}

impl Store {
    /// Returns an object; `None` if it doesn't exist or was deleted (its value is null).
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        (!object.value.is_null()).then_some(object)
    }

    /// Writes an object if its current version is `request.expected` (0: doesn't exist).
    pub fn put(&mut self, kind: &str, name: &str, request: PutRequest) -> PutResponse {
        let current = self.get(kind, name).cloned();
        let current_version = current.as_ref().map_or(0, |object| object.version);
        if current_version != request.expected {
            return PutResponse::Conflict { current };
        }
        self.version += 1;
        let object = Object {
            name: name.to_owned(),
            version: self.version,
            value: request.value,
        };
        self.objects
            .insert((kind.to_owned(), name.to_owned()), object);
        PutResponse::Written {
            version: self.version,
        }
    }

    /// Objects of a kind with a version above `after`, oldest first; deleted ones have a
    /// null value.
    #[must_use]
    pub fn changes(&self, kind: &str, after: ObjectVersion) -> WatchResponse {
        let all = self
            .objects
            .iter()
            .filter(|((object_kind, _), _)| object_kind == kind);
        let mut objects: Vec<Object> = all
            .map(|(_, object)| object.clone())
            .filter(|object| object.version > after)
            .collect();
        objects.sort_by_key(|object| object.version);
        let version = objects.last().map_or(after, |object| object.version);
        WatchResponse { objects, version }
    }

    /// Number of objects of a kind, without deleted ones.
    #[must_use]
    pub fn count(&self, kind: &str) -> usize {
        let all = self.objects.iter();
        all.filter(|((object_kind, _), object)| object_kind == kind && !object.value.is_null())
            .count()
    }

    /// Sets or removes an instance; `list` shows the change once its lag has passed.
    pub fn set_instance(&mut self, now: Instant, name: InstanceId, entry: Option<InstanceEntry>) {
        let previous = self.instances.remove(&name).and_then(|listed| listed.entry);
        let listed = ListedInstance {
            entry,
            previous,
            changed_at: now,
        };
        self.instances.insert(name, listed);
    }

    /// The instance list; changes made less than `lag` ago don't show yet.
    #[must_use]
    pub fn list(&self, now: Instant, lag: Duration) -> InstanceList {
        let visible = self.instances.values().filter_map(|listed| {
            let is_visible = now.saturating_duration_since(listed.changed_at) >= lag;
            let entry = if is_visible {
                &listed.entry
            } else {
                &listed.previous
            };
            entry.clone()
        });
        InstanceList {
            instances: visible.collect(),
        }
    }
}
