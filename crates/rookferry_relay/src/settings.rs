//! Settings of an instance, read from JSON.

use std::net::SocketAddr;
use std::time::Duration;

use rookferry_core::Capacity;
use rookferry_core::PropagationBudget;
use rookferry_net::ConnectionLimits;
use rookferry_wire::DomainId;
use rookferry_wire::InstanceId;
use rookferry_wire::SiteId;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Memory of a small machine, in MB.
const SMALL_MEMORY_MB: f64 = 160.0;
/// Descriptors of a process on a small machine.
const SMALL_MAX_FILES: f64 = 4_096.0;
/// Descriptors for files and the runtime.
const RESERVED_FILES: usize = 200;
/// Shares of the other descriptors for callers and for servers. The rest is for peers, the
/// store, readiness checks and metrics scrapes.
const CALLER_SOCKETS_PERCENT: usize = 62;
const SERVER_SOCKETS_PERCENT: usize = 25;
/// Divisors of the memory that give the parts for callers' requests, and for heads that
/// have not arrived completely.
const REQUEST_MEMORY_PART: usize = 4;
const UNFINISHED_HEADS_PART: usize = 16;

/// Addresses at which an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness check.
    pub readiness: SocketAddr,
    /// For metrics scrapes.
    pub metrics: SocketAddr,
    /// For other instances, by UDP and TCP.
    pub peers: SocketAddr,
}

/// Resources of the machine that an instance runs on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSettings {
    /// Cores that the instance may use, possibly a fraction.
    #[serde(default)]
    pub cores: Option<f64>,
    /// Bandwidth of the machine's link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in MB.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may have open, those of files included.
    #[serde(default)]
    pub max_files: Option<f64>,
}

/// Bounds set by the operator; each counts from an answer of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Milliseconds after its removal from which a key must not be served.
    pub revoke_ms: u64,
    /// Milliseconds after the store knows that a server leaves from which it must get no
    /// request.
    pub drain_ms: u64,
    /// Seconds from the stop signal until the process is killed.
    pub grace_s: f64,
    /// Retries allowed as a share of first attempts, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed in addition to the share, over all instances.
    pub retry_slack: f64,
    /// The window of both, in seconds.
    pub retry_window_s: f64,
    /// Milliseconds between two writes of a backend server's entry.
    pub heartbeat_ms: u64,
    /// Milliseconds for which the platform's own entries may be missing after its outage.
    pub lapse_grace_ms: u64,
}

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The name of the site, the same for all of its instances; heartbeats of other sites
    /// are ignored.
    #[serde(default = "unnamed_site")]
    pub site: SiteId,
    /// The instance's name.
    pub instance: InstanceId,
    /// The instance's failure domain.
    pub domain: DomainId,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Whether the whole site starts for the first time, so that none of its budgets has
    /// been spent before.
    #[serde(default)]
    pub is_first_start: bool,
    /// Resources of the machine, as far as known; otherwise the instance counts as a
    /// small one.
    #[serde(default)]
    pub machine: MachineSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses at which other instances may listen for peers.
    pub seeds: Vec<SocketAddr>,
    /// Bounds set by the operator.
    pub bounds: BoundSettings,
}

/// Why settings are refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// They can't be parsed.
    #[snafu(display("the settings don't read: {message}; see docs/OPERATIONS.md for the fields"))]
    Unreadable {
        /// The position and the cause.
        message: String,
    },
    /// Values are out of range.
    #[snafu(display("{faults}"))]
    Invalid {
        /// One line for each fault.
        faults: String,
    },
}

fn unnamed_site() -> SiteId {
    SiteId::from("")
}

impl RelaySettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// If they can't be parsed, or values are out of range; the error names every such
    /// value.
    pub fn from_json(text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            serde_json::from_str(text).map_err(|error| SettingsError::Unreadable {
                message: error.to_string(),
            })?;
        let faults = settings.faults();
        if faults.is_empty() {
            return Ok(settings);
        }
        Err(SettingsError::Invalid {
            faults: faults.join("\n"),
        })
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.instance.is_empty() {
            faults.push("instance: must not be empty; name the instance".to_owned());
        }
        if self.domain.is_empty() {
            faults.push("domain: must not be empty; name the instance's failure domain".to_owned());
        }
        let machine = [
            ("machine.cores", self.machine.cores),
            ("machine.link_mbps", self.machine.link_mbps),
            ("machine.memory_mb", self.machine.memory_mb),
            ("machine.max_files", self.machine.max_files),
        ];
        for (name, value) in machine {
            if value.is_some_and(|value| !(value.is_finite() && value > 0.0)) {
                faults.push(format!(
                    "{name}: must be above 0; omit it if it isn't known"
                ));
            }
        }
        let bounds = &self.bounds;
        if bounds.revoke_ms == 0 {
            faults.push(
                "bounds.revoke_ms: must be above 0 milliseconds; 0 refuses every request"
                    .to_owned(),
            );
        }
        if bounds.drain_ms == 0 {
            faults.push("bounds.drain_ms: must be above 0 milliseconds".to_owned());
        }
        let positive = [
            ("bounds.grace_s", bounds.grace_s),
            ("bounds.retry_window_s", bounds.retry_window_s),
        ];
        for (name, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                faults.push(format!("{name}: must be above 0 seconds, not {value}"));
            }
        }
        let shares = [
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_slack", bounds.retry_slack),
        ];
        for (name, value) in shares {
            if !(value.is_finite() && value >= 0.0) {
                faults.push(format!("{name}: must be 0 or more, not {value}"));
            }
        }
        faults
    }
}

impl MachineSettings {
    /// The capacity that decides how many of its failure domain's duties the instance
    /// takes.
    pub(crate) fn capacity(&self) -> Capacity {
        match (self.cores, self.link_mbps) {
            (Some(cores), Some(link_mbps)) => Capacity::of_machine(cores, link_mbps),
            _ => Capacity::default(),
        }
    }
}

impl MachineSettings {
    /// Memory that callers' requests may take, in bytes: heads and bodies of those that are
    /// read or under way.
    pub(crate) fn request_memory_bytes(&self) -> usize {
        self.memory_bytes() / REQUEST_MEMORY_PART
    }

    /// Limits on callers' connections. Of the size of a head, the configuration decides.
    pub(crate) fn caller_connections(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_connections: (self.max_sockets() * CALLER_SOCKETS_PERCENT / 100).max(1),
            max_unfinished_bytes: self.memory_bytes() / UNFINISHED_HEADS_PART,
            ..ConnectionLimits::default()
        }
    }

    /// Most connections to backend servers.
    pub(crate) fn max_server_connections(&self) -> usize {
        (self.max_sockets() * SERVER_SOCKETS_PERCENT / 100).max(1)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast of a float saturates, and the settings are checked"
    )]
    fn memory_bytes(&self) -> usize {
        (self.memory_mb.unwrap_or(SMALL_MEMORY_MB) * 1_048_576.0) as usize
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast of a float saturates, and the settings are checked"
    )]
    fn max_sockets(&self) -> usize {
        let max_files = self.max_files.unwrap_or(SMALL_MAX_FILES) as usize;
        max_files.saturating_sub(RESERVED_FILES)
    }
}

impl BoundSettings {
    /// How old the configuration may be when a request is sent.
    ///
    /// The bound counts from a removal to the time at which the caller sends, and that is
    /// before its request is handled here. So only a fiftieth of the bound is reserved,
    /// for the clock's own error.
    #[must_use]
    pub const fn max_config_age(&self) -> Duration {
        Duration::from_millis(self.revoke_ms * 49 / 50)
    }

    /// The time that each step of the propagation of a store change may take.
    #[must_use]
    pub const fn propagation_budget(&self) -> PropagationBudget {
        PropagationBudget::new(Duration::from_millis(self.drain_ms))
    }

    /// Time from the stop signal until the process is killed.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or(Duration::from_secs(5))
    }

    /// The window of the retry budget.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        Duration::try_from_secs_f64(self.retry_window_s).unwrap_or(Duration::from_secs(10))
    }

    /// Shortest time without an answer of the store in which an entry may lapse. Three
    /// heartbeats are missed by then, the first and the last right at its ends.
    #[must_use]
    pub const fn min_lapse_gap(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms * 2)
    }

    /// How long an entry may be missing after an outage.
    #[must_use]
    pub const fn lapse_grace(&self) -> Duration {
        Duration::from_millis(self.lapse_grace_ms)
    }
}
