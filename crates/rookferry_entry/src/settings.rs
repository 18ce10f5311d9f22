//! Settings of an entry instance, read from a JSON file and validated.

use std::net::SocketAddr;
use std::time::Duration;

use rookferry_core::ConfigErrors;
use rookferry_core::read_json;
use rookferry_net::LogFormat;
use rookferry_net::LogLevel;
use rookferry_wire::Labels;
use serde::Deserialize;
use serde::Serialize;

/// Shortest site secret that is accepted, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Longest name of an instance or failure domain, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Settings of one instance, from a JSON file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntrySettings {
    /// Name of the instance, unique within the site.
    pub instance: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Labels of the instance, which selectors match as `instance.{name}`.
    #[serde(default)]
    pub labels: Labels,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that operators connect to.
    pub operators: SocketAddr,
    /// Address for peers, over UDP and TCP.
    pub peers: SocketAddr,
    /// Seed addresses of peers; further peers are discovered.
    #[serde(default)]
    pub known_peers: Vec<SocketAddr>,
    /// Secret shared by all instances of the site, at least 16 bytes.
    pub site_secret: String,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Log format.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Lowest severity that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Limits.
    #[serde(default)]
    pub limits: EntryLimits,
}

/// Limits of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's body to arrive.
    pub body_timeout_ms: u64,
    /// Longest time for a connection to send a request's head.
    pub head_timeout_ms: u64,
    /// Most concurrent connections on each of the two HTTP interfaces.
    pub connections: usize,
    /// Number of decision records stored.
    pub decisions: usize,
    /// Number of ended idempotency keys whose answers are stored.
    pub answers: usize,
    /// Budget for sending heartbeats, in bytes per second.
    pub heartbeat_bytes_per_s: u32,
    /// Budget for polling engines, in bytes per second in both directions.
    pub ask_bytes_per_s: u32,
    /// How long a leaving instance waits for its load balancer to notice.
    pub leave_wait_ms: u64,
    /// How long it then waits for active requests.
    pub drain_timeout_ms: u64,
    /// Time between two reads of the platform's list; longer after failures.
    pub list_interval_ms: u64,
    /// Shortest time between two polls of engines' loads.
    pub load_interval_ms: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1_000_000,
            body_timeout_ms: 10_000,
            head_timeout_ms: 20_000,
            connections: 4_096,
            decisions: 20_000,
            answers: 10_000,
            heartbeat_bytes_per_s: 4_000,
            ask_bytes_per_s: 8_000,
            leave_wait_ms: 3_000,
            drain_timeout_ms: 60_000,
            list_interval_ms: 1_000,
            load_interval_ms: 250,
        }
    }
}

impl EntrySettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// All faults found, each with its path and a suggested fix.
    pub fn from_json(text: &str) -> Result<Self, ConfigErrors> {
        let settings: Self = read_json(text)?;
        let mut faults = ConfigErrors::default();
        settings.check(&mut faults);
        faults.into_result(settings)
    }

    fn check(&self, faults: &mut ConfigErrors) {
        check_name("instance", &self.instance, faults);
        check_name("failure_domain", &self.failure_domain, faults);
        if self.site_secret.len() < MIN_SECRET_BYTES {
            faults.push(
                "site_secret",
                format!("{} bytes are too short", self.site_secret.len()),
                format!("use at least {MIN_SECRET_BYTES} random bytes, the same on all instances"),
            );
        }
        let distinct = [
            ("operators", self.operators, "callers", self.callers),
            ("peers", self.peers, "callers", self.callers),
            ("peers", self.peers, "operators", self.operators),
        ];
        for (path, addr, other_path, other) in distinct {
            if addr == other && addr.port() != 0 {
                faults.push(
                    path,
                    format!("{addr} is also the address of {other_path}"),
                    "use a different port for each",
                );
            }
        }
        self.check_limits(faults);
    }

    fn check_limits(&self, faults: &mut ConfigErrors) {
        let limits = &self.limits;
        let positive = [
            ("body_bytes", limits.body_bytes as u64),
            ("body_timeout_ms", limits.body_timeout_ms),
            ("head_timeout_ms", limits.head_timeout_ms),
            ("connections", limits.connections as u64),
            ("decisions", limits.decisions as u64),
            ("answers", limits.answers as u64),
            (
                "heartbeat_bytes_per_s",
                u64::from(limits.heartbeat_bytes_per_s),
            ),
            ("ask_bytes_per_s", u64::from(limits.ask_bytes_per_s)),
            ("list_interval_ms", limits.list_interval_ms),
            ("load_interval_ms", limits.load_interval_ms),
        ];
        for (name, value) in positive {
            if value == 0 {
                faults.push(
                    format!("limits.{name}"),
                    "must not be 0",
                    "omit it to use the default",
                );
            }
        }
    }

    /// Longest time for a connection to send a request's head.
    #[must_use]
    pub const fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.head_timeout_ms)
    }
}

fn check_name(path: &str, name: &str, faults: &mut ConfigErrors) {
    let is_word = name
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_'));
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !is_word {
        faults.push(
            path,
            format!("{name:?} is not a valid name"),
            format!("use 1 to {MAX_NAME_BYTES} letters, digits, - and _"),
        );
    }
}
