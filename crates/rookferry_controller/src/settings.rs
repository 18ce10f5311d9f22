//! Settings of a controller: parsed from JSON, with defaults and checks.

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

/// Minimum lease duration: a few calls to the platform must fit into it.
const MIN_LEASE_MS: u64 = 1_000;

/// Settings of one controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControllerSettings {
    /// Name of the instance; identifies the lease holder.
    pub instance: String,
    /// Failure domain whose engines it manages; also the name of the lease.
    pub failure_domain: String,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Operators' address of the local entry instance.
    pub entry: SocketAddr,
    /// Format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Minimum severity that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Lease duration, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Longest time between a holder's lease check and the arrival of its order, in
    /// milliseconds, including a pause of its process. A new holder waits this much
    /// longer before it orders engines that don't check fences.
    #[serde(default = "default_pause_bound_ms")]
    pub pause_bound_ms: u64,
    /// Interval between two planning rounds, in milliseconds.
    #[serde(default = "default_interval_ms")]
    pub interval_ms: u64,
    /// Maximum number of engines that drain or load at once.
    #[serde(default = "default_at_once")]
    pub at_once: usize,
    /// Minimum time between two loads, in milliseconds; limits the load on the weight
    /// store.
    #[serde(default = "default_load_interval_ms")]
    pub load_interval_ms: u64,
    /// Time for streams to finish on a draining engine, in milliseconds.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
}

impl ControllerSettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// All errors found, each with its path and the likely correction.
    pub fn from_json(text: &str) -> Result<Self, ConfigErrors> {
        let settings: Self = read_json(text)?;
        let mut errors = ConfigErrors::default();
        if settings.lease_ms < MIN_LEASE_MS {
            errors.push(
                "lease_ms",
                format!("{} ms is too short for a lease", settings.lease_ms),
                format!("use {MIN_LEASE_MS} ms or more"),
            );
        }
        if settings.at_once == 0 || settings.interval_ms == 0 {
            errors.push(
                "at_once, interval_ms",
                "0 would disable all orders",
                "use positive numbers, or omit them for the defaults",
            );
        }
        if settings.instance.is_empty() || settings.failure_domain.is_empty() {
            errors.push(
                "instance, failure_domain",
                "the name is empty",
                "use the names from the local entry instance's settings",
            );
        }
        errors.into_result(settings)
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
