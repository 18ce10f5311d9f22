//! Versions of the list of servers that instances exchange.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::StoreVersion;

/// A version of the list of servers.
///
/// A list changes with the store, and also with time alone: an entry that expired during
/// an outage is retained until its grace period is over. Without an edition number peers
/// would not request the list that lacks it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListVersion {
    /// The state of the store that the list is based on.
    pub store: StoreVersion,
    /// How many changes by time alone followed.
    pub edition: u32,
}

impl ListVersion {
    /// The list as read from the store.
    #[must_use]
    pub const fn of(store: StoreVersion) -> Self {
        Self { store, edition: 0 }
    }

    /// The version after a change by time alone.
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
