//! Versions of the platform's store that are ordered across its restores.

use std::fmt;

use rookferry_wire::ObjectVersion;
use rookferry_wire::StoreEra;
use serde::Deserialize;
use serde::Serialize;

/// A state of the store.
///
/// A store that is restored from a backup assigns revisions again, so that a higher
/// revision may be of an older state. Any state of a later era is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// How often the store has been restored from a backup.
    pub era: StoreEra,
    /// The revision; comparable only within an era.
    pub revision: ObjectVersion,
}

impl StoreVersion {
    /// The state at a revision of an era.
    #[must_use]
    pub const fn new(era: StoreEra, revision: ObjectVersion) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.revision)
    }
}
