//! An instance's settings: its addresses, its failure domain, its limits.

use std::net::SocketAddr;
use std::time::Duration;

use rookferry_core::ConfigErrors;
use rookferry_core::read_json;
use rookferry_net::LogFormat;
use rookferry_net::LogLevel;
use rookferry_wire::Labels;
use serde::Deserialize;
use serde::Serialize;

/// Shortest secret that is taken, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Longest name of an instance or failure domain, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Settings of one instance, from a JSON file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntrySettings {
    /// Its name, its own within the site.
    pub instance: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its labels, seen by selectors as `instance.{name}`.
    #[serde(default)]
    pub labels: Labels,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where operators are served.
    pub operators: SocketAddr,
    /// Where peers are heard, over UDP and TCP.
    pub peers: SocketAddr,
    /// Peers to begin with; more are learned.
    #[serde(default)]
    pub known_peers: Vec<SocketAddr>,
    /// Secret that all instances of the site share.
    pub site_secret: String,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// How logs are written.
    #[serde(default)]
    pub log_format: LogFormat,
    /// The least severity that is logged.
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
    /// Longest body of a request.
    pub body_bytes: usize,
    /// How long a body may take to arrive.
    pub body_timeout_ms: u64,
    /// How long an idle connection may take to send a request's head.
    pub head_timeout_ms: u64,
    /// Connections at once.
    pub connections: usize,
    /// Records of decisions kept.
    pub decisions: usize,
    /// Answers kept for callers that come back with their key.
    pub answers: usize,
    /// Bytes a second for heartbeats, as sent.
    pub heartbeat_bytes_per_s: u32,
    /// Bytes a second for asking engines, both ways.
    pub ask_bytes_per_s: u32,
    /// How long a leaving instance waits for its balancer.
    pub leave_wait_ms: u64,
    /// How long it then waits for requests under way.
    pub drain_timeout_ms: u64,
    /// How often the platform's list is read.
    pub list_interval_ms: u64,
    /// How often engines are asked for their load at most.
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
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Every fault found, each with its path and the likely fix.
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
                format!("{} bytes are too few", self.site_secret.len()),
                format!("use {MIN_SECRET_BYTES} or more random ones, the same on all instances"),
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
                    format!("{addr} is {other_path}' address too"),
                    "give each its own port",
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
                    "0 serves nothing",
                    "leave it out for the default",
                );
            }
        }
    }

    /// How long an idle connection may take to send a request's head.
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
            format!("{name:?} is no name"),
            format!("use 1 to {MAX_NAME_BYTES} letters, digits, - and _"),
        );
    }
}
