//! Versions of the list of servers that instances pass on.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::StoreVersion;

/// A version of the list of servers.
///
/// A list changes with the store, and by time alone: an entry that lapsed during an
/// outage counts until the time in which it may come back is over. Without a number
/// for that, others would have no reason to ask for the list that lacks it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListVersion {
    /// The state of the store that it is of.
    pub store: StoreVersion,
    /// How often it has changed by time alone since.
    pub edition: u32,
}

impl ListVersion {
    /// The list as the store had it.
    #[must_use]
    pub const fn of(store: StoreVersion) -> Self {
        Self { store, edition: 0 }
    }

    /// The list after a change by time alone.
    #[must_use]
    pub const fn changed(self) -> Self {
        Self {
            store: self.store,
            edition: self.edition.wrapping_add(1),
        }
    }
}

impl fmt::Display for ListVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.store)?;
        if self.edition > 0 {
            write!(formatter, "+{}", self.edition)?;
        }
        Ok(())
    }
}
