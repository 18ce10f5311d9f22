//! Backoffs that backend servers requested from this process by `Retry-After`.

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

/// Backoffs by server address; shared by all senders of the process.
#[derive(Debug)]
pub struct BackoffTable {
    log: Logger,
    inner: Mutex<Backoffs<SocketAddr>>,
}

impl BackoffTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            inner: Mutex::default(),
        }
    }

    /// Records the backoff of a response. Only status 503 requests a backoff; a
    /// `Retry-After` header that can't be parsed is logged and requests none.
    pub fn record_response(
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
            Ok(Some(requested)) => {
                let backoff = self.lock().back_off(addr, *requested, clock::now());
                info!(self.log, "backoff: a server asked for a backoff";
                    "part" => "backoff", "server" => %addr,
                    "asked_ms" => requested.as_millis(), "kept_ms" => backoff.as_millis());
            }
            Err(error) => {
                warn!(self.log, "backoff: a server sent an invalid Retry-After header";
                    "part" => "backoff", "server" => %addr, "error" => %error);
            }
        }
    }

    /// Remaining backoff of a server; `None` without a backoff.
    pub fn remaining(&self, addr: SocketAddr) -> Option<Duration> {
        self.lock().left(addr, clock::now())
    }

    /// Returns those of `servers` that are in backoff, each with the remaining time,
    /// shortest first.
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
        let in_backoff =
            servers.filter_map(|(server, addr)| Some((server, backoffs.left(addr, now)?)));
        let mut in_backoff: Vec<(T, Duration)> = in_backoff.collect();
        in_backoff.sort_by_key(|(_, remaining)| *remaining);
        in_backoff
    }

    /// Removes the backoff of an address, since another process now listens there.
    pub fn forget(&self, addr: SocketAddr) {
        self.lock().forget(addr);
    }

    fn lock(&self) -> MutexGuard<'_, Backoffs<SocketAddr>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
