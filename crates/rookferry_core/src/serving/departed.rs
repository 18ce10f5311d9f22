//! Servers that leave, as facts that all instances pass on.
//!
//! A list of servers says it too, but comes as one body from one reader of the
//! store, and an older list may come after a newer one. That a start of a server
//! leaves never becomes untrue, so it is kept and told by itself, whichever list is
//! in force. That its entry went is true until a later list has it again.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::ListVersion;
use super::ServerKey;
use super::turns::told_in_turn;
use crate::millis::millis;

/// How long it is kept of a server without an entry that it leaves: entries go,
/// and come back, with the store's outages of some ten seconds.
const LEAVING_KEPT: Duration = Duration::from_mins(10);
/// How long it is kept that an entry went, if no list shows it meanwhile.
const GONE_KEPT: Duration = Duration::from_secs(30);
/// How long others are told; several times the longest bound in which all must know.
const TOLD_FOR: Duration = Duration::from_secs(10);

/// Why a server gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// It says that it leaves.
    Leaving,
    /// Its entry went with this version of the list.
    Gone(ListVersion),
}

/// One instance's word on a server that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureSeen {
    /// The server.
    pub server: ServerKey,
    /// Why it gets no new work.
    pub departure: Departure,
    /// How long ago any instance knew, in milliseconds.
    pub age_ms: u64,
}

/// The servers that leave, as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct DepartedServers {
    /// Those that say so, and since when it is known.
    leaving: HashMap<ServerKey, Instant>,
    /// Those whose entry went after the list in force.
    gone: HashMap<ServerKey, (ListVersion, Instant)>,
    /// The version of the list in force.
    list: ListVersion,
}

impl DepartedServers {
    /// None is known to leave.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A server leaves, as known since a time. Tells whether that is news.
    pub fn note(&mut self, server: ServerKey, departure: Departure, since: Instant) -> bool {
        if self.knows(server, departure) {
            return false;
        }
        match departure {
            Departure::Leaving => {
                self.leaving.insert(server, since);
                true
            }
            Departure::Gone(version) => {
                self.gone.insert(server, (version, since));
                version > self.list
            }
        }
    }

    /// Whether that a server leaves is known already, or later word is.
    #[must_use]
    pub fn knows(&self, server: ServerKey, departure: Departure) -> bool {
        match departure {
            Departure::Leaving => self.leaving.contains_key(&server),
            Departure::Gone(version) => {
                let known = self.gone.get(&server);
                known.is_some_and(|(known, _)| *known >= version)
            }
        }
    }

    /// Takes another instance's word in. Tells whether it is news.
    pub fn hear(&mut self, seen: DepartureSeen, now: Instant) -> bool {
        let age = Duration::from_millis(seen.age_ms);
        let since = now.checked_sub(age).unwrap_or(now);
        self.note(seen.server, seen.departure, since)
    }

    /// Whether a server gets no new work.
    #[must_use]
    pub fn contains(&self, server: ServerKey) -> bool {
        let gone = self.gone.get(&server);
        self.leaving.contains_key(&server) || gone.is_some_and(|(version, _)| *version > self.list)
    }

    /// A list of a version is in force: its word goes before what was heard of entries
    /// up to it. What is over is forgotten, and servers that `is_known` doesn't know.
    pub fn listed(
        &mut self,
        version: ListVersion,
        now: Instant,
        is_known: impl Fn(ServerKey) -> bool,
    ) {
        self.list = version;
        let age = |since: &Instant| now.saturating_duration_since(*since);
        self.leaving
            .retain(|server, since| is_known(*server) || age(since) < LEAVING_KEPT);
        self.gone.retain(|_, (_, since)| age(since) < GONE_KEPT);
    }

    /// What others are told in a turn: at most `most`. Some of them are those that
    /// became known last; the others follow in turn, so that in a release or a
    /// scale-in of any size each is told again and again.
    #[must_use]
    pub fn told(&self, most: usize, turn: usize, now: Instant) -> Vec<DepartureSeen> {
        let leaving = self
            .leaving
            .iter()
            .map(|(server, since)| (*server, Departure::Leaving, *since));
        let gone = self
            .gone
            .iter()
            .map(|(server, (version, since))| (*server, Departure::Gone(*version), *since));
        let all = leaving.chain(gone).map(|(server, departure, since)| {
            let age = now.saturating_duration_since(since);
            (age, server, departure)
        });
        let mut told: Vec<_> = all.filter(|(age, ..)| *age < TOLD_FOR).collect();
        told.sort_unstable_by_key(|(age, server, _)| (*age, *server));
        let told = told_in_turn(&told, most, turn).into_iter();
        told.map(|(age, server, departure)| DepartureSeen {
            server,
            departure,
            age_ms: millis(age),
        })
        .collect()
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.gone.is_empty()
    }
}
