//! Which configuration is in force: only ever a higher version.

use std::sync::Arc;

use rookferry_wire::ObjectVersion;

use crate::ConfigErrors;
use crate::SiteConfig;

/// What became of an offered configuration.
#[derive(Debug)]
pub enum Adopted {
    /// It is in force now.
    InForce(Arc<SiteConfig>),
    /// One as new or newer is in force.
    NotNewer,
    /// It is newer and has faults; the one in force stays.
    Invalid(ConfigErrors),
}

/// Holds the version in force.
#[derive(Debug, Default)]
pub struct ConfigAdopter {
    version: ObjectVersion,
    refused: ObjectVersion,
}

impl ConfigAdopter {
    /// Nothing is in force.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force, 0 if none.
    #[must_use]
    pub const fn version(&self) -> ObjectVersion {
        self.version
    }

    /// The highest version seen, in force or refused.
    #[must_use]
    pub fn seen(&self) -> ObjectVersion {
        self.version.max(self.refused)
    }

    /// Takes a configuration from the platform or a peer, in any order.
    pub fn offer(&mut self, version: ObjectVersion, body: &str) -> Adopted {
        if version <= self.seen() {
            return Adopted::NotNewer;
        }
        match SiteConfig::from_json(body) {
            Ok(config) => {
                self.version = version;
                Adopted::InForce(Arc::new(config))
            }
            Err(faults) => {
                self.refused = version;
                Adopted::Invalid(faults)
            }
        }
    }
}
