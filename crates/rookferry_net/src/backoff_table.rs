//! The backend servers that asked this process for time.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use rookferry_core::Backoffs;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::RetryAfterError;
use crate::clock;

/// Until when servers want no requests, by address; shared by all that send.
#[derive(Debug)]
pub struct BackoffTable {
    log: Logger,
    inner: Mutex<Backoffs<SocketAddr>>,
}

impl BackoffTable {
    /// None has asked for time.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            inner: Mutex::default(),
        }
    }

    /// Takes in an answer's status and the time that it names; only one that
    /// refuses for now asks for time, and what doesn't read asks for none.
    pub fn note(
        &self,
        addr: SocketAddr,
        status: StatusCode,
        retry_after: &Result<Option<Duration>, RetryAfterError>,
    ) {
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        match retry_after {
            Ok(None) => {}
            Ok(Some(asked)) => {
                let kept = self.lock().back_off(addr, *asked, clock::now());
                info!(self.log, "backoff: a server wants no requests for a time";
                    "part" => "backoff", "server" => %addr,
                    "asked_ms" => asked.as_millis(), "kept_ms" => kept.as_millis());
            }
            Err(error) => {
                warn!(self.log, "backoff: what a server asks for doesn't read";
                    "part" => "backoff", "server" => %addr, "error" => %error);
            }
        }
    }

    /// For how much longer a server wants no requests, if it does.
    pub fn left(&self, addr: SocketAddr) -> Option<Duration> {
        self.lock().left(addr, clock::now())
    }

    /// Those of some servers that want no requests now, each with for how much
    /// longer, the shortest time first.
    pub fn backed_off<T>(
        &self,
        servers: impl IntoIterator<Item = (T, SocketAddr)>,
    ) -> Vec<(T, Duration)> {
        let backoffs = self.lock();
        if backoffs.is_empty() {
            return Vec::new();
        }
        let now = clock::now();
        let servers = servers.into_iter();
        let waiting =
            servers.filter_map(|(server, addr)| Some((server, backoffs.left(addr, now)?)));
        let mut waiting: Vec<(T, Duration)> = waiting.collect();
        waiting.sort_by_key(|(_, left)| *left);
        waiting
    }

    /// Another process is at the address.
    pub fn forget(&self, addr: SocketAddr) {
        self.lock().forget(addr);
    }

    fn lock(&self) -> MutexGuard<'_, Backoffs<SocketAddr>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
