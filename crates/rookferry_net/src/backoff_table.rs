//! The backoffs that backend servers asked this process for.

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

/// Backoffs by the servers' addresses; shared by all that send.
#[derive(Debug)]
pub struct BackoffTable {
    log: Logger,
    inner: Mutex<Backoffs<SocketAddr>>,
}

impl BackoffTable {
    /// No backoffs.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            inner: Mutex::default(),
        }
    }

    /// Takes in an answer's status and the time that it names; only one that
    /// refuses for now asks for a backoff, and what doesn't read asks for none.
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
                info!(self.log, "backoff: a server asked for a backoff";
                    "part" => "backoff", "server" => %addr,
                    "asked_ms" => asked.as_millis(), "kept_ms" => kept.as_millis());
            }
            Err(error) => {
                warn!(self.log, "backoff: what a server asks for doesn't read";
                    "part" => "backoff", "server" => %addr, "error" => %error);
            }
        }
    }

    /// How much longer to back off from a server, if at all.
    pub fn left(&self, addr: SocketAddr) -> Option<Duration> {
        self.lock().left(addr, clock::now())
    }

    /// Those of some servers to back off from, each with how much longer, the
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
