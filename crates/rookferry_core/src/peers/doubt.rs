//! Servers that other instances say don't answer.
//!
//! Load pattern: a few engines are lost, or an instance with an eighth of a
//! core takes its own delay for their loss, while hundreds of others listen.
//! Where each instance asks each such engine itself, the questions slow them so
//! that they miss more answers and take sound servers for lost. So few ask, and
//! the others leave a doubted server alone until it shows that it lives.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::serving::ServerKey;

/// Instances of a failure domain, first in order, that ask a server which
/// another has trouble with, besides those with work under way there: as many
/// as a large domain has heads, so that one that ends or stands still isn't
/// the only one.
const ASKING_MEMBERS: usize = 2;

/// What an instance has to do with a server that another doubts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DoubtedUse {
    /// Whether requests of its own are under way there.
    pub has_work: bool,
    /// Whether it plans what engines hold.
    pub plans_layers: bool,
    /// How many instances of its domain are before it.
    pub rank: usize,
}

impl DoubtedUse {
    /// Whether the instance asks the server for a sign itself.
    #[must_use]
    pub const fn is_asking(self) -> bool {
        self.has_work || self.plans_layers || self.rank < ASKING_MEMBERS
    }
}

/// The servers that others of the domain have trouble with.
#[derive(Clone, Debug, Default)]
pub struct DoubtedServers {
    /// When the last of those that doubt a server began to.
    since: BTreeMap<ServerKey, Instant>,
}

impl DoubtedServers {
    /// A member that doubts a server began to at some time.
    pub(super) fn add(&mut self, server: ServerKey, since: Instant) {
        let known = self.since.entry(server).or_insert(since);
        *known = (*known).max(since);
    }

    /// Since when a server is doubted.
    #[must_use]
    pub fn since(&self, server: ServerKey) -> Option<Instant> {
        self.since.get(&server).copied()
    }

    /// Whether a server is left alone that gave its last sign of life at some
    /// time: a later one, to any instance, is worth more than the doubt.
    #[must_use]
    pub fn is_left_alone(&self, server: ServerKey, last_sign_at: Option<Instant>) -> bool {
        let since = self.since.get(&server);
        since.is_some_and(|since| last_sign_at.is_none_or(|at| at < *since))
    }
}
