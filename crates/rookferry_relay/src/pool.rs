//! A pool of HTTP/1.1 connections to backend servers.
//!
//! A connection carries one request at a time. It returns to the pool only after its
//! answer was read whole, and is reused only well before the keep-alive timeout that
//! the server stated: a request that is sent while the server closes the connection
//! may have run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
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
use tokio::sync::Semaphore;

use crate::answer_meter::AnswerMeter;
use crate::answer_meter::MeteredStream;
use crate::links::OpenedStream;
use crate::links::Way;
use crate::mutex::lock;
use crate::upstream::Upstream;

/// Largest head of an answer, and most bytes that are buffered of its body.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Most large answers that are read whole at a time; bounds their memory.
const MAX_LARGE_ANSWERS: usize = 2;
/// How long an idle connection is retained if the server states no timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);
/// How long before the stated timeout a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Age from which a connection through a peer isn't used again: the own path may work by
/// then, and connections move back to it one by one.
const MAX_TUNNEL_AGE: Duration = Duration::from_secs(10);

/// Why there is no connection; no byte of a request has left.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// This instance's share of the server's connections is in use.
    #[snafu(display("all {limit} connections to {addr} are in use"))]
    Full { addr: SocketAddr, limit: usize },
    /// All connections to servers that this instance may have are in use.
    #[snafu(display("not connected to {addr}: all {limit} connections to servers are in use"))]
    AllFull { addr: SocketAddr, limit: usize },
    /// The process has exited: it refuses connections, while others of its service accept
    /// them on the same way.
    #[snafu(display("{addr} refuses connections"))]
    Refused { addr: SocketAddr },
    /// Neither this instance nor a peer could connect; that proves nothing of the server.
    #[snafu(display("could not connect to {addr}: {message}"))]
    Failed { addr: SocketAddr, message: String },
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    use_until: Instant,
    way: Way,
    opened_at: Instant,
    meter: Arc<AnswerMeter>,
}

/// The connections to one server. Times are in milliseconds since the pool's epoch, 0 if
/// there is none.
#[derive(Debug, Default)]
struct ServerPool {
    idle: Mutex<Vec<Idle>>,
    open: Arc<AtomicUsize>,
    /// When the server last sent anything over a direct connection.
    answered_directly_ms: AtomicU64,
    /// When a direct connection last broke under a request.
    broke_directly_ms: AtomicU64,
    /// When the path was last checked for a request without an answer.
    checked_ms: AtomicU64,
}

/// The connections of an instance, by server process: those to a former process
/// can't be used for its successor.
#[derive(Debug)]
pub(crate) struct UpstreamPool {
    epoch: Instant,
    servers: ArcSwap<HashMap<ServerKey, Arc<ServerPool>>>,
    /// Open connections to all servers, and the most of them.
    open: Arc<AtomicUsize>,
    max_open: usize,
    /// Room for large answers that are read whole.
    large_answers: Arc<Semaphore>,
}

/// A connection in use by one request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) is_reused: bool,
    pub(crate) way: Way,
    opened_at: Instant,
    epoch: Instant,
    pool: Arc<ServerPool>,
    /// What arrives over it.
    pub(crate) meter: Arc<AnswerMeter>,
    /// Room for large answers that are read whole.
    pub(crate) large_answers: Arc<Semaphore>,
}

/// Room for one connection to a server, until it closes.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    pool: Arc<ServerPool>,
    /// Those to all servers.
    open: Arc<AtomicUsize>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.pool.open.fetch_sub(1, Ordering::Relaxed);
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl UpstreamPool {
    /// A pool of at most `max_open` connections.
    pub(crate) fn new(max_open: usize) -> Self {
        Self {
            epoch: clock::now(),
            servers: ArcSwap::default(),
            open: Arc::default(),
            max_open,
            large_answers: Arc::new(Semaphore::new(MAX_LARGE_ANSWERS)),
        }
    }

    /// Takes an idle connection; a direct one only if `allows_direct`.
    pub(crate) async fn take_idle(
        &self,
        server: ServerKey,
        allows_direct: bool,
    ) -> Option<Connection> {
        let pool = self.server(server);
        while let Some(mut idle) = pool.take_idle(allows_direct) {
            if idle.sender.ready().await.is_ok() {
                return Some(Connection {
                    sender: idle.sender,
                    is_reused: true,
                    way: idle.way,
                    opened_at: idle.opened_at,
                    epoch: self.epoch,
                    pool,
                    meter: idle.meter,
                    large_answers: self.large_answers.clone(),
                });
            }
        }
        None
    }

    /// Takes room for a new connection, if fewer than the server's limit are open, and fewer
    /// than the limit for all servers.
    pub(crate) fn reserve(&self, upstream: &Upstream) -> Result<ConnectionSlot, ConnectError> {
        let pool = self.server(upstream.server);
        let addr = upstream.server.addr;
        let limit = upstream.max_connections;
        let open_to_server = pool.open.fetch_add(1, Ordering::Relaxed);
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        let slot = ConnectionSlot {
            pool,
            open: self.open.clone(),
        };
        if open_to_server >= limit {
            return Err(ConnectError::Full { addr, limit });
        }
        if open >= self.max_open && !self.close_any_idle() {
            let limit = self.max_open;
            return Err(ConnectError::AllFull { addr, limit });
        }
        Ok(slot)
    }

    /// Closes an idle connection to any server; false if there is none.
    fn close_any_idle(&self) -> bool {
        let servers = self.servers.load();
        let mut pools = servers.values();
        pools.any(|pool| lock(&pool.idle).pop().is_some())
    }

    /// Begins to use an opened stream, and spawns the task that drives it.
    pub(crate) async fn begin(
        &self,
        addr: SocketAddr,
        slot: ConnectionSlot,
        opened: OpenedStream,
    ) -> Result<Connection, ConnectError> {
        let OpenedStream { stream, way } = opened;
        let meter = Arc::new(AnswerMeter::default());
        let stream = MeteredStream::new(stream, meter.clone());
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = http.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| ConnectError::Failed {
            addr,
            message: error.to_string(),
        })?;
        let pool = slot.pool.clone();
        tokio::spawn(async move {
            // The request in flight or the next use notices that it has closed.
            let _ = connection.await;
            drop(slot);
        });
        Ok(Connection {
            sender,
            is_reused: false,
            way,
            opened_at: clock::now(),
            epoch: self.epoch,
            pool,
            meter,
            large_answers: self.large_answers.clone(),
        })
    }

    /// Keeps an opened stream as an idle connection, if there is room for it.
    pub(crate) async fn keep(&self, upstream: &Upstream, opened: OpenedStream) {
        let Ok(slot) = self.reserve(upstream) else {
            return;
        };
        // A connection that fails here is closed.
        if let Ok(connection) = self.begin(upstream.server.addr, slot, opened).await {
            connection.keep();
        }
    }

    /// When a server last sent anything over a direct connection.
    pub(crate) fn answered_directly_at(&self, server: ServerKey) -> Option<Instant> {
        self.time(&self.servers.load().get(&server)?.answered_directly_ms)
    }

    /// When a direct connection to a server last broke under a request.
    pub(crate) fn broke_directly_at(&self, server: ServerKey) -> Option<Instant> {
        self.time(&self.servers.load().get(&server)?.broke_directly_ms)
    }

    /// Records that the path to a server is checked, unless that was less than `pause`
    /// ago; returns whether it is to be checked.
    pub(crate) fn begin_path_check(&self, server: ServerKey, pause: Duration) -> bool {
        let pool = self.server(server);
        let now = clock::now();
        let last = self.time(&pool.checked_ms);
        if last.is_some_and(|at| now.saturating_duration_since(at) < pause) {
            return false;
        }
        record_time(&pool.checked_ms, self.epoch, now);
        true
    }

    fn time(&self, at_ms: &AtomicU64) -> Option<Instant> {
        let at_ms = at_ms.load(Ordering::Relaxed);
        (at_ms > 0).then(|| self.epoch + Duration::from_millis(at_ms))
    }

    /// Closes the idle connection to a server that was last returned, if any.
    pub(crate) fn close_idle(&self, server: ServerKey) {
        if let Some(pool) = self.servers.load().get(&server) {
            // Dropping the sender closes the connection.
            drop(lock(&pool.idle).pop());
        }
    }

    /// Closes the idle connections through a peer.
    pub(crate) fn close_idle_through(&self, peer: SocketAddr) {
        for pool in self.servers.load().values() {
            lock(&pool.idle).retain(|idle| idle.way != Way::Peer(peer));
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
    /// The most recently returned connection that may still be used. Direct ones that
    /// aren't allowed stay, as their path may work again.
    fn take_idle(&self, allows_direct: bool) -> Option<Idle> {
        let now = clock::now();
        let mut idle = lock(&self.idle);
        idle.retain(|idle| idle.use_until > now && !idle.sender.is_closed());
        let last = idle
            .iter()
            .rposition(|idle| allows_direct || idle.way != Way::Direct)?;
        Some(idle.remove(last))
    }
}

impl Connection {
    /// Records that the server sent something.
    pub(crate) fn record_activity(&self, now: Instant) {
        if self.way == Way::Direct {
            record_time(&self.pool.answered_directly_ms, self.epoch, now);
        }
    }

    /// Records that the connection broke under a request.
    pub(crate) fn record_break(&self, now: Instant) {
        if self.way == Way::Direct {
            record_time(&self.pool.broke_directly_ms, self.epoch, now);
        }
    }

    /// Returns the connection to the pool, as the answer's headers allow; the answer
    /// must have been read whole.
    pub(crate) fn return_to_pool(self, headers: &HeaderMap) {
        let is_worn = self.way != Way::Direct && clock::since(self.opened_at) >= MAX_TUNNEL_AGE;
        let reusable_for = keep_alive(headers);
        if !reusable_for.is_zero() && !is_worn && !self.sender.is_closed() {
            self.keep_for(reusable_for);
        }
    }

    /// Makes the connection idle for the default time.
    pub(crate) fn keep(self) {
        self.keep_for(DEFAULT_KEEP_ALIVE);
    }

    /// Makes the connection idle for a time.
    fn keep_for(self, time: Duration) {
        let idle = Idle {
            use_until: clock::now() + time,
            sender: self.sender,
            way: self.way,
            opened_at: self.opened_at,
            meter: self.meter,
        };
        lock(&self.pool.idle).push(idle);
    }
}

/// Stores a time in milliseconds since the epoch, at least 1.
fn record_time(at_ms: &AtomicU64, epoch: Instant, now: Instant) {
    let at = now.saturating_duration_since(epoch).as_millis();
    at_ms.fetch_max(
        u64::try_from(at).unwrap_or(u64::MAX).max(1),
        Ordering::Relaxed,
    );
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
