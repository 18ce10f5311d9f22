//! Settings of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use rookferry_core::Capacity;
use rookferry_core::PropagationBudget;
use rookferry_wire::DomainId;
use rookferry_wire::InstanceId;
use rookferry_wire::SiteId;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Where an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether it is ready.
    pub readiness: SocketAddr,
    /// For its figures.
    pub metrics: SocketAddr,
    /// For other instances, by UDP and TCP.
    pub peers: SocketAddr,
}

/// What the machine that an instance runs on can carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSettings {
    /// The cores that the instance may use, also parts of one.
    #[serde(default)]
    pub cores: Option<f64>,
    /// The bandwidth of the machine's link.
    #[serde(default)]
    pub link_mbps: Option<f64>,
}

/// Bounds that the operator sets; each runs from a platform's answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// A removed key must not be served this long after its removal.
    pub revoke_ms: u64,
    /// A server must get no request this long after the store knows that it leaves.
    pub drain_ms: u64,
    /// Time from the word to stop until the process is killed.
    pub grace_s: f64,
    /// Repeats allowed as a share of fresh requests, over all instances.
    pub retry_ratio: f64,
    /// Repeats allowed on top of the share, over all instances.
    pub retry_slack: f64,
    /// The window of both.
    pub retry_window_s: f64,
    /// How often backend servers write their entries.
    pub heartbeat_ms: u64,
    /// How long the platform's own entries may be missing after its outage.
    pub lapse_grace_ms: u64,
}

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The name of its site, the same for all of its instances; what instances of others
    /// say is passed over.
    #[serde(default = "unnamed_site")]
    pub site: SiteId,
    /// Its name.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Whether the whole site starts for the first time, so that nothing was
    /// spent of its budgets before.
    #[serde(default)]
    pub is_first_start: bool,
    /// The machine, as far as it is known. Where it isn't the instance counts as a
    /// small one.
    #[serde(default)]
    pub machine: MachineSettings,
    /// The platform's store.
    pub store: SocketAddr,
    /// Addresses at which other instances may listen for peers.
    pub seeds: Vec<SocketAddr>,
    /// Bounds.
    pub bounds: BoundSettings,
}

/// Settings that don't hold.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// They don't read.
    #[snafu(display("the settings don't read: {message}; see docs/OPERATIONS.md for the fields"))]
    Unreadable {
        /// Where and why.
        message: String,
    },
    /// Values that can't be.
    #[snafu(display("{faults}"))]
    Invalid {
        /// One line a fault.
        faults: String,
    },
}

fn unnamed_site() -> SiteId {
    SiteId::from("")
}

impl RelaySettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// If they don't read, or values can't be; every such value is named.
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
            faults.push("instance: it is empty; give the instance a name".to_owned());
        }
        if self.domain.is_empty() {
            faults.push("domain: it is empty; name the instance's failure domain".to_owned());
        }
        let machine = [
            ("machine.cores", self.machine.cores),
            ("machine.link_mbps", self.machine.link_mbps),
        ];
        for (name, value) in machine {
            if value.is_some_and(|value| !(value.is_finite() && value > 0.0)) {
                faults.push(format!(
                    "{name}: it is not above 0; leave it out if it isn't known"
                ));
            }
        }
        let bounds = &self.bounds;
        if bounds.revoke_ms == 0 {
            faults.push("bounds.revoke_ms: 0 refuses every request; give milliseconds".to_owned());
        }
        if bounds.drain_ms == 0 {
            faults.push("bounds.drain_ms: 0 can't be kept; give milliseconds".to_owned());
        }
        let positive = [
            ("bounds.grace_s", bounds.grace_s),
            ("bounds.retry_window_s", bounds.retry_window_s),
        ];
        for (name, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                faults.push(format!("{name}: {value} is not above 0; give seconds"));
            }
        }
        let shares = [
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_slack", bounds.retry_slack),
        ];
        for (name, value) in shares {
            if !(value.is_finite() && value >= 0.0) {
                faults.push(format!("{name}: {value} is below 0; give 0 or more"));
            }
        }
        faults
    }
}

impl MachineSettings {
    /// What it can carry of a failure domain's duties.
    pub(crate) fn capacity(&self) -> Capacity {
        match (self.cores, self.link_mbps) {
            (Some(cores), Some(link_mbps)) => Capacity::of_machine(cores, link_mbps),
            _ => Capacity::default(),
        }
    }
}

impl BoundSettings {
    /// How old a configuration may be when a request is sent.
    ///
    /// The bound runs from a removal to the moment in which the caller sends,
    /// and a caller has sent before its request is looked at here; so only
    /// the clock's own error is kept of it, a fiftieth.
    #[must_use]
    pub const fn max_config_age(&self) -> Duration {
        Duration::from_millis(self.revoke_ms * 49 / 50)
    }

    /// How long each step of the store's news may take.
    #[must_use]
    pub const fn news_budget(&self) -> PropagationBudget {
        PropagationBudget::new(Duration::from_millis(self.drain_ms))
    }

    /// Time from the word to stop until the process is killed.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or(Duration::from_secs(5))
    }

    /// The window of the retry budget.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        Duration::try_from_secs_f64(self.retry_window_s).unwrap_or(Duration::from_secs(10))
    }

    /// How long an entry may be missing after an outage.
    #[must_use]
    pub const fn lapse_grace(&self) -> Duration {
        Duration::from_millis(self.lapse_grace_ms)
    }
}
