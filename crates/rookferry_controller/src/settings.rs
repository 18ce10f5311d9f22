//! A controller's settings.

use std::net::SocketAddr;
use std::time::Duration;

use rookferry_core::ConfigErrors;
use rookferry_core::LeaseTiming;
use rookferry_core::PlacementLimits;
use rookferry_core::read_json;
use rookferry_net::LogFormat;
use rookferry_net::LogLevel;
use serde::Deserialize;
use serde::Serialize;

/// Shortest lease: a few calls to the platform must fit into it.
const MIN_LEASE_MS: u64 = 1_000;

/// Settings of one controller, from a JSON file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControllerSettings {
    /// The instance that it runs on.
    pub instance: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// The operators' address of the entry instance beside it.
    pub entry: SocketAddr,
    /// How logs are written.
    #[serde(default)]
    pub log_format: LogFormat,
    /// The least severity that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// How long the lease lasts.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// How long a process may be paused between its last look at the lease
    /// and the arrival of its order; it is waited out before orders to
    /// engines that don't check fences.
    #[serde(default = "default_pause_bound_ms")]
    pub pause_bound_ms: u64,
    /// How often it looks at what is to be done.
    #[serde(default = "default_interval_ms")]
    pub interval_ms: u64,
    /// Engines that drain or load at once.
    #[serde(default = "default_at_once")]
    pub at_once: usize,
    /// The least time between two loads, for the weight store's rate.
    #[serde(default = "default_load_interval_ms")]
    pub load_interval_ms: u64,
    /// How long streams may take to finish on an engine that drains.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
}

impl ControllerSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Every fault found, each with its path and the likely fix.
    pub fn from_json(text: &str) -> Result<Self, ConfigErrors> {
        let settings: Self = read_json(text)?;
        let mut faults = ConfigErrors::default();
        if settings.lease_ms < MIN_LEASE_MS {
            faults.push(
                "lease_ms",
                format!("{} is too short", settings.lease_ms),
                format!("use {MIN_LEASE_MS} or more"),
            );
        }
        if settings.at_once == 0 || settings.interval_ms == 0 {
            faults.push(
                "at_once, interval_ms",
                "0 orders nothing",
                "leave them out for the defaults",
            );
        }
        if settings.instance.is_empty() || settings.failure_domain.is_empty() {
            faults.push(
                "instance, failure_domain",
                "an empty name",
                "use those of the entry instance beside it",
            );
        }
        faults.into_result(settings)
    }

    pub(crate) const fn timing(&self) -> LeaseTiming {
        LeaseTiming {
            duration: Duration::from_millis(self.lease_ms),
            pause_bound: Duration::from_millis(self.pause_bound_ms),
        }
    }

    pub(crate) const fn limits(&self) -> PlacementLimits {
        PlacementLimits {
            at_once: self.at_once,
            load_interval: Duration::from_millis(self.load_interval_ms),
            drain_timeout: Duration::from_millis(self.drain_timeout_ms),
        }
    }
}

const fn default_lease_ms() -> u64 {
    10_000
}

const fn default_pause_bound_ms() -> u64 {
    10_000
}

const fn default_interval_ms() -> u64 {
    500
}

const fn default_at_once() -> usize {
    2
}

const fn default_load_interval_ms() -> u64 {
    5_000
}

const fn default_drain_timeout_ms() -> u64 {
    60_000
}
