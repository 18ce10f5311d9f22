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

/// The signs of all servers.
#[derive(Debug)]
pub(crate) struct Signs {
    epoch: Instant,
    by_addr: Mutex<HashMap<SocketAddr, Sign>>,
}

impl Signs {
    pub(crate) fn new() -> Self {
        Self {
            epoch: Instant::now(),
            by_addr: Mutex::default(),
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

    /// Forgets servers that `is_known` doesn't know.
    pub(crate) fn retain(&self, is_known: impl Fn(SocketAddr) -> bool) {
        lock(&self.by_addr).retain(|addr, _| is_known(*addr));
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
