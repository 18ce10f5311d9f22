//! Servers that are leaving or whose entries were removed, as facts that instances pass
//! on to each other.
//!
//! A list of servers shows this too, but it comes as a whole from one store reader, and
//! an older list may arrive after a newer one. A leaving incarnation never returns
//! to service, so this is stored and advertised regardless of the active list. A removal
//! holds until a later list contains the server.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::BackendServer;
use super::ListVersion;
use super::Presence;
use super::ServerKey;
use super::rotation::rotation_batch;
use crate::millis::millis;

/// Minimum time for which an announced departure is stored; longer while the server's
/// entry exists. Entries are removed and restored during outages of the store, which last
/// some ten seconds.
const LEAVING_TTL: Duration = Duration::from_mins(10);
/// How long the removal of an entry is stored; checked when a list is adopted.
const REMOVED_TTL: Duration = Duration::from_secs(30);
/// How long a departure is advertised: several times the longest bound within which all
/// instances must know it.
const ADVERTISED_FOR: Duration = Duration::from_secs(10);

/// Why a server gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// It has announced that it is leaving.
    Leaving,
    /// Its entry was removed in this version of the list.
    Gone(ListVersion),
}

/// A departure, as reported to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureObservation {
    /// The server.
    pub server: ServerKey,
    /// Why it gets no new work.
    pub departure: Departure,
    /// Time since the first instance knew it, in milliseconds.
    pub age_ms: u64,
}

/// The departed servers that an instance knows of.
#[derive(Clone, Debug, Default)]
pub struct DepartedServers {
    /// Servers that announced it, and when it became known.
    leaving: HashMap<ServerKey, Instant>,
    /// Servers whose entry was removed, in which version and since when.
    removed: HashMap<ServerKey, (ListVersion, Instant)>,
    /// The version of the list in use.
    list: ListVersion,
}

impl DepartedServers {
    /// No departed servers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a departure that has been known since `since`. Returns whether it is new;
    /// a removal only counts as new if it is later than the list in use.
    pub fn record(&mut self, server: ServerKey, departure: Departure, since: Instant) -> bool {
        if self.knows(server, departure) {
            return false;
        }
        match departure {
            Departure::Leaving => {
                self.leaving.insert(server, since);
                true
            }
            Departure::Gone(version) => {
                self.removed.insert(server, (version, since));
                version > self.list
            }
        }
    }

    /// Whether the departure, or a later one of the same kind, is known already.
    #[must_use]
    pub fn knows(&self, server: ServerKey, departure: Departure) -> bool {
        match departure {
            Departure::Leaving => self.leaving.contains_key(&server),
            Departure::Gone(version) => {
                let known = self.removed.get(&server);
                known.is_some_and(|(known, _)| *known >= version)
            }
        }
    }

    /// Merges a peer's report; returns whether it is new.
    pub fn merge(&mut self, observation: DepartureObservation, now: Instant) -> bool {
        let age = Duration::from_millis(observation.age_ms);
        let since = now.checked_sub(age).unwrap_or(now);
        self.record(observation.server, observation.departure, since)
    }

    /// Whether a server gets no new work.
    #[must_use]
    pub fn contains(&self, server: ServerKey) -> bool {
        let removed = self.removed.get(&server);
        self.leaving.contains_key(&server)
            || removed.is_some_and(|(version, _)| *version > self.list)
    }

    /// Whether a server gets no new work, by its entry or as known here. An entry that is
    /// only retained doesn't override its removal, whatever the version of the list.
    #[must_use]
    pub fn excludes(&self, server: &BackendServer) -> bool {
        let is_removed =
            server.presence == Presence::Retained && self.removed.contains_key(&server.key);
        server.is_leaving || is_removed || self.contains(server.key)
    }

    /// Records that the list of `version` is now in use; it overrides removals up to that
    /// version. Drops expired departures; a leaving server stays while `is_known` is
    /// true.
    pub fn adopt_list(
        &mut self,
        version: ListVersion,
        now: Instant,
        is_known: impl Fn(ServerKey) -> bool,
    ) {
        self.list = version;
        let age = |since: &Instant| now.saturating_duration_since(*since);
        self.leaving
            .retain(|server, since| is_known(*server) || age(since) < LEAVING_TTL);
        self.removed
            .retain(|_, (_, since)| age(since) < REMOVED_TTL);
    }

    /// At most `most` departures to advertise in this `round` of heartbeats: the latest,
    /// and a rotating part of the others, so that each is repeated however many servers
    /// leave at once.
    #[must_use]
    pub fn advertised(&self, most: usize, round: usize, now: Instant) -> Vec<DepartureObservation> {
        let leaving = self
            .leaving
            .iter()
            .map(|(server, since)| (*server, Departure::Leaving, *since));
        let removed = self
            .removed
            .iter()
            .map(|(server, (version, since))| (*server, Departure::Gone(*version), *since));
        let all = leaving.chain(removed).map(|(server, departure, since)| {
            let age = now.saturating_duration_since(since);
            (age, server, departure)
        });
        let mut recent: Vec<_> = all.filter(|(age, ..)| *age < ADVERTISED_FOR).collect();
        recent.sort_unstable_by_key(|(age, server, _)| (*age, *server));
        let recent = rotation_batch(&recent, most, round).into_iter();
        recent
            .map(|(age, server, departure)| DepartureObservation {
                server,
                departure,
                age_ms: millis(age),
            })
            .collect()
    }

    /// Whether no departure is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.removed.is_empty()
    }
}
