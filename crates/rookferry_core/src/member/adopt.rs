//! Adoption of configurations: only a valid one with a higher version becomes active.

use std::sync::Arc;

use rookferry_wire::ObjectVersion;

use crate::ConfigErrors;
use crate::SiteConfig;

/// Result of offering a configuration.
#[derive(Debug)]
pub enum AdoptOutcome {
    /// It is active now.
    Activated(Arc<SiteConfig>),
    /// Its version isn't higher than the highest one activated or rejected so far.
    NotNewer,
    /// It is newer but invalid; the active one stays.
    Invalid(ConfigErrors),
}

/// Tracks the active version and the highest rejected version.
#[derive(Debug, Default)]
pub struct ConfigAdopter {
    version: ObjectVersion,
    rejected: ObjectVersion,
}

impl ConfigAdopter {
    /// An adopter without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The active version, 0 if none.
    #[must_use]
    pub const fn version(&self) -> ObjectVersion {
        self.version
    }

    /// The highest version seen, active or rejected.
    #[must_use]
    pub fn seen(&self) -> ObjectVersion {
        self.version.max(self.rejected)
    }

    /// Adopts a configuration in JSON from the platform or a peer if it is newer and
    /// valid. Versions may be offered in any order.
    pub fn offer(&mut self, version: ObjectVersion, body: &str) -> AdoptOutcome {
        if version <= self.seen() {
            return AdoptOutcome::NotNewer;
        }
        match SiteConfig::from_json(body) {
            Ok(config) => {
                self.version = version;
                AdoptOutcome::Activated(Arc::new(config))
            }
            Err(faults) => {
                self.rejected = version;
                AdoptOutcome::Invalid(faults)
            }
        }
    }
}
