//! When each server last gave a sign of life, through any request.
//!
//! An event of a stream shows that every engine of its path ran a step. So
//! where one stream stands still and others through the same engine don't,
//! that engine needs no probe.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::relay::lock;

/// The last sign of one server, shared by all that see it.
#[derive(Clone, Debug)]
pub(crate) struct Sign {
    epoch: Instant,
    /// Milliseconds since the epoch; 0 before the first sign.
    at_ms: Arc<AtomicU64>,
}

/// How long a reported slowdown counts.
const SLOWDOWN_KEPT: Duration = Duration::from_secs(3);

/// The signs of all servers.
#[derive(Debug)]
pub(crate) struct Signs {
    epoch: Instant,
    by_addr: Mutex<HashMap<SocketAddr, Sign>>,
    slowdowns: Mutex<HashMap<SocketAddr, (f64, Instant)>>,
}

impl Signs {
    pub(crate) fn new() -> Self {
        Self {
            epoch: Instant::now(),
            by_addr: Mutex::default(),
            slowdowns: Mutex::default(),
        }
    }

    /// The sign of a server.
    pub(crate) fn of(&self, addr: SocketAddr) -> Sign {
        let mut signs = lock(&self.by_addr);
        let sign = signs.entry(addr).or_insert_with(|| Sign {
            epoch: self.epoch,
            at_ms: Arc::default(),
        });
        sign.clone()
    }

    /// An engine reported how slow it is.
    pub(crate) fn note_slowdown(&self, addr: SocketAddr, slowdown: f64, now: Instant) {
        lock(&self.slowdowns).insert(addr, (slowdown, now));
    }

    /// How many times as long as published an engine's steps take.
    pub(crate) fn slowdown(&self, addr: SocketAddr, now: Instant) -> f64 {
        let slowdowns = lock(&self.slowdowns);
        let known = slowdowns.get(&addr);
        let recent = known.filter(|(_, at)| now.saturating_duration_since(*at) < SLOWDOWN_KEPT);
        recent.map_or(1.0, |(slowdown, _)| slowdown.max(1.0))
    }

    /// How long ago an engine last reported.
    pub(crate) fn report_age(&self, addr: SocketAddr, now: Instant) -> Duration {
        let slowdowns = lock(&self.slowdowns);
        let reported = slowdowns.get(&addr);
        reported.map_or(Duration::MAX, |(_, at)| now.saturating_duration_since(*at))
    }

    /// Forgets servers that `is_known` doesn't know.
    pub(crate) fn retain(&self, is_known: impl Fn(SocketAddr) -> bool) {
        lock(&self.by_addr).retain(|addr, _| is_known(*addr));
        lock(&self.slowdowns).retain(|addr, _| is_known(*addr));
    }
}

impl Sign {
    /// The server gave a sign.
    pub(crate) fn note(&self, now: Instant) {
        let at = now.saturating_duration_since(self.epoch).as_millis();
        let at = u64::try_from(at).unwrap_or(u64::MAX);
        self.at_ms.fetch_max(at, Ordering::Relaxed);
    }

    /// How long ago the last sign was.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        let at = Duration::from_millis(self.at_ms.load(Ordering::Relaxed));
        now.saturating_duration_since(self.epoch).saturating_sub(at)
    }
}
