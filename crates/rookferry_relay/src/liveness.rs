//! Liveness evidence of each server: when it last showed activity, through any request.
//!
//! An event of a stream shows that every engine on its path ran a step. So if one stream
//! stalls while others through the same engine don't, that engine needs no probe.
//! Heartbeats pass the evidence on to peers, so that one instance probes instead of all.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::ServerKey;
use rookferry_net::clock;

use crate::mutex::lock;

/// When a server was last seen active; clones share the value.
#[derive(Clone, Debug)]
pub(crate) struct LastSeen {
    epoch: Instant,
    /// Milliseconds since the epoch; 0 before the first evidence.
    at_ms: Arc<AtomicU64>,
}

/// How long a reported slowdown is valid.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// A server's report of its slowdown.
#[derive(Clone, Copy, Debug)]
struct SlowdownReport {
    slowdown: f64,
    at: Instant,
}

/// The evidence about one server.
#[derive(Debug)]
struct Evidence {
    last_seen: LastSeen,
    report: Option<SlowdownReport>,
    probed_at: Option<Instant>,
}

/// The liveness evidence of all servers.
#[derive(Debug)]
pub(crate) struct LivenessTable {
    epoch: Instant,
    by_server: Mutex<HashMap<ServerKey, Evidence>>,
}

impl LivenessTable {
    pub(crate) fn new() -> Self {
        Self {
            epoch: clock::now(),
            by_server: Mutex::default(),
        }
    }

    /// The shared last-seen time of a server.
    pub(crate) fn last_seen(&self, server: ServerKey) -> LastSeen {
        self.with_entry(server, |evidence| evidence.last_seen.clone())
    }

    /// Records a slowdown that an engine reported to this instance or a peer.
    pub(crate) fn record_report(&self, server: ServerKey, slowdown: f64, at: Instant) {
        self.with_entry(server, |evidence| {
            if evidence.report.is_none_or(|known| known.at < at) {
                evidence.report = Some(SlowdownReport { slowdown, at });
            }
        });
    }

    /// An engine's last reported slowdown with its age, while it is valid.
    pub(crate) fn report(&self, server: ServerKey, now: Instant) -> Option<(f64, Duration)> {
        let known = lock(&self.by_server).get(&server)?.report?;
        let age = now.saturating_duration_since(known.at);
        (age < REPORT_TTL).then_some((known.slowdown, age))
    }

    /// The factor by which an engine's steps take longer than published; at least 1.
    pub(crate) fn slowdown(&self, server: ServerKey, now: Instant) -> f64 {
        let report = self.report(server, now);
        report.map_or(1.0, |(slowdown, _)| slowdown.max(1.0))
    }

    /// Time since an engine's last report; the maximum if none is valid.
    pub(crate) fn report_age(&self, server: ServerKey, now: Instant) -> Duration {
        let report = self.report(server, now);
        report.map_or(Duration::MAX, |(_, age)| age)
    }

    /// Records the start of a probe and returns true, unless the answer to a probe for
    /// another stream, started less than `pause` ago, may still come.
    pub(crate) fn begin_probe(&self, server: ServerKey, pause: Duration, now: Instant) -> bool {
        self.begin_probe_if(server, pause, now, || true)
    }

    /// Like [`Self::begin_probe`], but begins only if `may_begin` allows it. It is called
    /// only if no answer may still come.
    pub(crate) fn begin_probe_if(
        &self,
        server: ServerKey,
        pause: Duration,
        now: Instant,
        may_begin: impl FnOnce() -> bool,
    ) -> bool {
        self.with_entry(server, |evidence| {
            let is_in_flight = evidence
                .probed_at
                .is_some_and(|at| now.saturating_duration_since(at) < pause);
            let begins = !is_in_flight && may_begin();
            if begins {
                evidence.probed_at = Some(now);
            }
            begins
        })
    }

    /// Removes servers that `is_known` rejects.
    pub(crate) fn retain(&self, is_known: impl Fn(ServerKey) -> bool) {
        lock(&self.by_server).retain(|server, _| is_known(*server));
    }

    fn with_entry<T>(&self, server: ServerKey, run: impl FnOnce(&mut Evidence) -> T) -> T {
        let mut by_server = lock(&self.by_server);
        let evidence = by_server.entry(server).or_insert_with(|| Evidence {
            last_seen: LastSeen {
                epoch: self.epoch,
                at_ms: Arc::default(),
            },
            report: None,
            probed_at: None,
        });
        run(evidence)
    }
}

impl LastSeen {
    /// Records activity at a time.
    pub(crate) fn record(&self, now: Instant) {
        let at = now.saturating_duration_since(self.epoch).as_millis();
        let at = u64::try_from(at).unwrap_or(u64::MAX);
        self.at_ms.fetch_max(at, Ordering::Relaxed);
    }

    /// Time since the last activity.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        let at = Duration::from_millis(self.at_ms.load(Ordering::Relaxed));
        now.saturating_duration_since(self.epoch).saturating_sub(at)
    }
}
