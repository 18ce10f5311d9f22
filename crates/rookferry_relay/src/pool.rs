//! A pool of HTTP/1.1 connections to backend servers.
//!
//! A connection carries one request at a time. It returns to the pool only after its
//! answer was read whole, and is reused only well before the keep-alive timeout that
//! the server stated: a request that is sent while the server closes the connection
//! may have run.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use snafu::Snafu;

use crate::links::ServerConnector;
use crate::mutex::lock;

/// Timeout for a connect. Within a site a round trip takes under a millisecond, and a
/// lost packet is retransmitted after about 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection is retained if the server states no timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);
/// How long before the stated timeout a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Why there is no connection; no byte of a request has left.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// This instance's share of the server's connections is in use.
    #[snafu(display("all {limit} connections to {addr} are in use"))]
    Full { addr: SocketAddr, limit: usize },
    /// Nothing listens at the address.
    #[snafu(display("{addr} refuses connections"))]
    Refused { addr: SocketAddr },
    /// The connect failed or timed out.
    #[snafu(display("could not connect to {addr}: {message}"))]
    Failed { addr: SocketAddr, message: String },
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    use_until: Instant,
}

#[derive(Debug, Default)]
struct ServerPool {
    idle: Mutex<Vec<Idle>>,
    open: Arc<AtomicUsize>,
}

/// The connections of an instance, by server process: those to a former process
/// can't be used for its successor.
pub(crate) struct UpstreamPool {
    connector: Arc<dyn ServerConnector>,
    servers: ArcSwap<HashMap<ServerKey, Arc<ServerPool>>>,
}

/// A connection in use by one request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) is_reused: bool,
    pool: Arc<ServerPool>,
}

/// Counts an open connection until its task ends.
#[derive(Debug)]
struct OpenConnectionGuard {
    open: Arc<AtomicUsize>,
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl UpstreamPool {
    pub(crate) fn new(connector: Arc<dyn ServerConnector>) -> Self {
        Self {
            connector,
            servers: ArcSwap::default(),
        }
    }

    /// Takes an idle connection, or opens one if fewer than `limit` are open.
    pub(crate) async fn checkout(
        &self,
        server: ServerKey,
        limit: usize,
    ) -> Result<Connection, ConnectError> {
        let addr = server.addr;
        let pool = self.server(server);
        while let Some(mut idle) = pool.take_idle() {
            if idle.sender.ready().await.is_ok() {
                return Ok(Connection {
                    sender: idle.sender,
                    is_reused: true,
                    pool,
                });
            }
        }
        if pool.open.fetch_add(1, Ordering::Relaxed) >= limit {
            pool.open.fetch_sub(1, Ordering::Relaxed);
            return Err(ConnectError::Full { addr, limit });
        }
        let guard = OpenConnectionGuard {
            open: pool.open.clone(),
        };
        let sender = connect(&*self.connector, addr, guard).await?;
        Ok(Connection {
            sender,
            is_reused: false,
            pool,
        })
    }

    /// Closes the idle connection to a server that was last returned, if any.
    pub(crate) fn close_idle(&self, server: ServerKey) {
        if let Some(pool) = self.servers.load().get(&server) {
            // Dropping the sender closes the connection.
            drop(lock(&pool.idle).pop());
        }
    }

    /// Drops expired idle connections, and the pools of servers for which `is_known`
    /// is false.
    pub(crate) fn evict(&self, now: Instant, is_known: impl Fn(ServerKey) -> bool) {
        let servers = self.servers.load();
        for pool in servers.values() {
            lock(&pool.idle).retain(|idle| idle.use_until > now);
        }
        if servers.keys().all(|server| is_known(*server)) {
            return;
        }
        self.servers.rcu(|servers| {
            let retained = servers.iter().filter(|(server, _)| is_known(**server));
            retained
                .map(|(server, pool)| (*server, pool.clone()))
                .collect::<HashMap<_, _>>()
        });
    }

    /// The pool of a server; created on first use.
    fn server(&self, server: ServerKey) -> Arc<ServerPool> {
        if let Some(pool) = self.servers.load().get(&server) {
            return pool.clone();
        }
        let fresh = Arc::new(ServerPool::default());
        self.servers.rcu(|servers| {
            let mut servers = HashMap::clone(servers);
            servers.entry(server).or_insert_with(|| fresh.clone());
            servers
        });
        self.servers.load().get(&server).cloned().unwrap_or(fresh)
    }
}

impl ServerPool {
    /// The most recently returned connection that may still be used.
    fn take_idle(&self) -> Option<Idle> {
        let now = clock::now();
        let mut idle = lock(&self.idle);
        while let Some(last) = idle.pop() {
            if last.use_until > now && !last.sender.is_closed() {
                return Some(last);
            }
        }
        None
    }
}

impl Connection {
    /// Returns the connection to the pool, as the answer's headers allow; the answer
    /// must have been read whole.
    pub(crate) fn return_to_pool(self, headers: &HeaderMap) {
        let reusable_for = keep_alive(headers);
        if reusable_for.is_zero() || self.sender.is_closed() {
            return;
        }
        let idle = Idle {
            use_until: clock::now() + reusable_for,
            sender: self.sender,
        };
        lock(&self.pool.idle).push(idle);
    }
}

/// How long the connection may be reused by an answer's headers; zero if not at all.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let is_close = text(http::header::CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if is_close {
        return Duration::ZERO;
    }
    let named_s = text(http::HeaderName::from_static("keep-alive")).and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        parts.find_map(|part| part.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    named_s.map_or(DEFAULT_KEEP_ALIVE, |seconds| {
        Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN)
    })
}

/// Opens a connection and spawns the task that drives it; `guard` lives as long.
async fn connect(
    connector: &dyn ServerConnector,
    addr: SocketAddr,
    guard: OpenConnectionGuard,
) -> Result<SendRequest<Full<Bytes>>, ConnectError> {
    let failed = |message: String| ConnectError::Failed { addr, message };
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connector.connect(addr)).await;
    let stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(ConnectError::Refused { addr });
        }
        Ok(Err(error)) => return Err(failed(error.to_string())),
        Err(_) => {
            return Err(failed(format!(
                "no answer in {} ms",
                CONNECT_TIMEOUT.as_millis()
            )));
        }
    };
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    tokio::spawn(async move {
        // The request in flight or the next checkout notices that it has closed.
        let _ = connection.await;
        drop(guard);
    });
    Ok(sender)
}
