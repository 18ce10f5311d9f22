//! Limits and bookkeeping for client connections: number of open connections, active
//! requests, the size of request heads, and timeouts for idle connections and slow heads.
//!
//! The HTTP library doesn't limit the time that a client takes to send a request head, and
//! buffers heads of some hundred kilobytes. The stream below it therefore counts the bytes
//! that arrive until a request begins, and gives them a timeout that starts with the first
//! one. It passes few bytes on at a time, since the library enlarges its buffer after large
//! reads.
//!
//! Beyond the number of connections, or of bytes of unfinished heads over all connections,
//! the connection that has gone longest without progress is closed.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::task::AtomicWaker;
use rookferry_wire::Outcome;
use rookferry_wire::Problem;
use rookferry_wire::ReasonCode;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::wait_until;

/// Number of separately locked parts of the table.
const SHARDS: usize = 64;
/// Request id in problems for requests that were refused before they got an id.
const UNASSIGNED: &str = "unassigned";

/// Most bytes that are read at a time from a body, and from a head: less than the first size
/// of the HTTP library's buffer, which then isn't enlarged.
const BODY_READ_BYTES: usize = 16 * 1024;
const HEAD_READ_BYTES: usize = 8 * 1024 - 1;
/// A connection that has made no progress with a request head for this long may be closed
/// in favor of others, and one that is idle between requests.
const MIN_HEAD_STALL: Duration = Duration::from_millis(250);
const MIN_IDLE: Duration = Duration::from_secs(1);

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum time between the first byte of a request head and its end.
    pub head_timeout: Duration,
    /// Maximum time between a connection becoming idle and the first byte of its next
    /// request head.
    pub idle_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of the unfinished request heads of all connections, in bytes.
    pub max_unfinished_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            head_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(20),
            max_head_bytes: 64 * 1024,
            max_unfinished_bytes: 32 * 1024 * 1024,
        }
    }
}

#[derive(Debug)]
struct ConnectionState {
    requests: AtomicUsize,
    /// Requests among them whose answer the HTTP library has, but may not have written yet.
    unwritten: AtomicUsize,
    is_closed: AtomicBool,
    idle_since: Mutex<Instant>,
    /// Bytes that have arrived since the last request began.
    head_bytes: AtomicUsize,
    /// Whether the connection is to be closed in favor of others.
    is_evicted: AtomicBool,
    /// Wakes the task that reads from the connection.
    reader: AtomicWaker,
}

/// How soon a connection is closed in favor of others; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    UnfinishedHead,
    Idle,
}

impl ConnectionState {
    fn idle_since(&self) -> std::sync::MutexGuard<'_, Instant> {
        let idle_since = self.idle_since.lock();
        idle_since.unwrap_or_else(PoisonError::into_inner)
    }

    fn is_busy(&self) -> bool {
        self.requests.load(Ordering::SeqCst) > 0
    }

    /// The rank, and since when the connection has made no progress; `None` if it may not
    /// be evicted.
    fn eviction_rank(&self, now: Instant) -> Option<(EvictionRank, Instant)> {
        if self.is_busy() || self.is_evicted.load(Ordering::SeqCst) {
            return None;
        }
        let (rank, min_stall) = if self.head_bytes.load(Ordering::SeqCst) > 0 {
            (EvictionRank::UnfinishedHead, MIN_HEAD_STALL)
        } else {
            (EvictionRank::Idle, MIN_IDLE)
        };
        let since = *self.idle_since();
        let is_stalled = now.saturating_duration_since(since) >= min_stall;
        is_stalled.then_some((rank, since))
    }
}

/// Connections that a listener has closed to stay within its limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClosedConnections {
    /// Closed in favor of others.
    pub evicted: u64,
    /// Refused, since no other could be closed.
    pub refused: u64,
    /// Closed, since a request head was too large.
    pub oversized_heads: u64,
    /// Closed, since a request head took too long.
    pub slow_heads: u64,
}

#[derive(Debug, Default)]
struct ClosedCounts {
    evicted: AtomicU64,
    refused: AtomicU64,
    oversized_heads: AtomicU64,
    slow_heads: AtomicU64,
}

/// Open connections and active requests of one listener; clones share the table.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    inner: Arc<TableInner>,
}

#[derive(Debug)]
struct TableInner {
    limits: ArcSwap<ConnectionLimits>,
    shards: Vec<Mutex<HashMap<SocketAddr, Arc<ConnectionState>>>>,
    open: AtomicUsize,
    /// Bytes of unfinished request heads.
    unfinished_bytes: AtomicUsize,
    closed: ClosedCounts,
    requests: AtomicUsize,
    idle: Notify,
}

impl Default for ConnectionTable {
    fn default() -> Self {
        Self::new(ConnectionLimits::default())
    }
}

impl ConnectionTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self {
            inner: Arc::new(TableInner {
                limits: ArcSwap::from_pointee(limits),
                shards,
                open: AtomicUsize::new(0),
                unfinished_bytes: AtomicUsize::new(0),
                closed: ClosedCounts::default(),
                requests: AtomicUsize::new(0),
                idle: Notify::new(),
            }),
        }
    }

    /// Changes the limits, also for open connections.
    pub fn set_limits(&self, limits: ConnectionLimits) {
        self.inner.limits.store(Arc::new(limits));
    }

    /// Connections closed so far to stay within the limits.
    #[must_use]
    pub fn closed_connections(&self) -> ClosedConnections {
        let counts = &self.inner.closed;
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ClosedConnections {
            evicted: count(&counts.evicted),
            refused: count(&counts.refused),
            oversized_heads: count(&counts.oversized_heads),
            slow_heads: count(&counts.slow_heads),
        }
    }

    /// Whether another connection has room; closes the one that has gone longest without
    /// progress if there is none.
    pub(crate) fn make_room(&self) -> bool {
        let max = self.inner.limits.load().max_connections;
        let has_room = self.open_connections() < max || self.inner.evict(EvictionRank::Idle);
        if !has_room {
            self.inner.closed.refused.fetch_add(1, Ordering::Relaxed);
        }
        has_room
    }

    /// Number of active requests; a request is active until its answer is written to the
    /// connection, or the connection is closed.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.inner.requests.load(Ordering::SeqCst)
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.inner.open.load(Ordering::Relaxed)
    }

    /// Waits until no request is active.
    pub async fn wait_idle(&self) {
        wait_until(&self.inner.idle, || self.active_requests() == 0).await;
    }

    /// Counts a request of the connection from `client_addr` until the guard is dropped.
    #[must_use]
    pub fn start_request(&self, client_addr: SocketAddr) -> RequestGuard {
        self.inner.requests.fetch_add(1, Ordering::SeqCst);
        let state = self.inner.shard(client_addr).get(&client_addr).cloned();
        if let Some(state) = &state {
            state.requests.fetch_add(1, Ordering::SeqCst);
            self.inner.release_head(state);
        }
        RequestGuard {
            table: self.inner.clone(),
            state,
        }
    }

    pub(crate) fn register(&self, stream: TcpStream) -> io::Result<TimedStream> {
        let client_addr = stream.peer_addr()?;
        let state = Arc::new(ConnectionState {
            requests: AtomicUsize::new(0),
            unwritten: AtomicUsize::new(0),
            is_closed: AtomicBool::new(false),
            idle_since: Mutex::new(Instant::now()),
            head_bytes: AtomicUsize::new(0),
            is_evicted: AtomicBool::new(false),
            reader: AtomicWaker::new(),
        });
        self.inner
            .shard(client_addr)
            .insert(client_addr, state.clone());
        self.inner.open.fetch_add(1, Ordering::Relaxed);
        let idle_timeout = self.inner.limits.load().idle_timeout;
        Ok(TimedStream {
            stream,
            client_addr,
            table: self.inner.clone(),
            state,
            head_since: None,
            timer: Box::pin(tokio::time::sleep(idle_timeout)),
            is_closed: false,
        })
    }
}

impl TableInner {
    fn shard(
        &self,
        addr: SocketAddr,
    ) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<ConnectionState>>> {
        let shard = &self.shards[usize::from(addr.port()) % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableInner {
    /// Counts the requests of a connection whose answers are written as no longer active.
    fn finish_written(&self, state: &ConnectionState) {
        let written = state.unwritten.swap(0, Ordering::SeqCst);
        if written == 0 {
            return;
        }
        *state.idle_since() = Instant::now();
        state.requests.fetch_sub(written, Ordering::SeqCst);
        self.finish(written);
    }

    /// Counts what has arrived of a connection's next request head as no longer unfinished.
    fn release_head(&self, state: &ConnectionState) {
        let bytes = state.head_bytes.swap(0, Ordering::SeqCst);
        self.unfinished_bytes.fetch_sub(bytes, Ordering::SeqCst);
    }

    /// Closes the connection that has gone longest without progress, of those up to a rank;
    /// false if there is none.
    fn evict(&self, up_to: EvictionRank) -> bool {
        let now = Instant::now();
        let mut longest: Option<(EvictionRank, Instant, Arc<ConnectionState>)> = None;
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for state in shard.values() {
                let Some((rank, since)) = state.eviction_rank(now) else {
                    continue;
                };
                let is_longer = longest
                    .as_ref()
                    .is_none_or(|(rank_before, before, _)| (rank, since) < (*rank_before, *before));
                if rank <= up_to && is_longer {
                    longest = Some((rank, since, state.clone()));
                }
            }
        }
        let Some((.., state)) = longest else {
            return false;
        };
        state.is_evicted.store(true, Ordering::SeqCst);
        state.reader.wake();
        self.closed.evicted.fetch_add(1, Ordering::Relaxed);
        true
    }

    fn finish(&self, requests: usize) {
        if self.requests.fetch_sub(requests, Ordering::SeqCst) == requests {
            self.idle.notify_waiters();
        }
    }
}

/// Counts a request as active until it is dropped and its answer is written.
#[derive(Debug)]
pub struct RequestGuard {
    table: Arc<TableInner>,
    state: Option<Arc<ConnectionState>>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let Some(state) = &self.state else {
            self.table.finish(1);
            return;
        };
        state.unwritten.fetch_add(1, Ordering::SeqCst);
        if state.is_closed.load(Ordering::SeqCst) {
            self.table.finish_written(state);
        }
    }
}

/// A client connection with timeouts for idleness and slow request heads, and limits on
/// their size.
#[derive(Debug)]
pub(crate) struct TimedStream {
    stream: TcpStream,
    client_addr: SocketAddr,
    table: Arc<TableInner>,
    state: Arc<ConnectionState>,
    /// When the first byte of the next request head arrived.
    head_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
    is_closed: bool,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    /// No request came within the timeout.
    Idle,
    SlowHead,
    OversizedHead,
    /// In favor of others.
    Evicted,
}

impl TimedStream {
    /// Why the connection must be closed now, if it must.
    fn poll_closing(&mut self, cx: &mut Context<'_>, limits: &ConnectionLimits) -> Option<Closing> {
        let is_busy = self.state.is_busy();
        if is_busy {
            self.head_since = None;
        }
        while self.timer.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            let expires_at = match self.head_since {
                _ if is_busy => now + limits.idle_timeout.min(limits.head_timeout),
                Some(since) => since + limits.head_timeout,
                None => *self.state.idle_since() + limits.idle_timeout,
            };
            if expires_at <= now {
                let is_idle = self.head_since.is_none();
                return Some(if is_idle {
                    Closing::Idle
                } else {
                    Closing::SlowHead
                });
            }
            self.timer.as_mut().reset(expires_at);
        }
        self.state.reader.register(cx.waker());
        let is_evicted = !is_busy && self.state.is_evicted.load(Ordering::SeqCst);
        let is_oversized = self.head_room(limits) == 0;
        match (is_evicted, is_oversized) {
            (true, _) => Some(Closing::Evicted),
            (false, true) => Some(Closing::OversizedHead),
            (false, false) => None,
        }
    }

    /// Bytes that the request head may still have.
    fn head_room(&self, limits: &ConnectionLimits) -> usize {
        let head_bytes = self.state.head_bytes.load(Ordering::SeqCst);
        limits.max_head_bytes.saturating_sub(head_bytes)
    }

    /// Counts bytes that arrived while no request was active.
    fn record_head(&mut self, length: usize, limits: &ConnectionLimits) {
        let now = Instant::now();
        if self.head_since.is_none() {
            self.head_since = Some(now);
            let expires_at = now + limits.head_timeout;
            if expires_at < self.timer.deadline() {
                self.timer.as_mut().reset(expires_at);
            }
        }
        *self.state.idle_since() = now;
        self.state.head_bytes.fetch_add(length, Ordering::SeqCst);
        let before = self
            .table
            .unfinished_bytes
            .fetch_add(length, Ordering::SeqCst);
        if before + length > limits.max_unfinished_bytes
            && !self.table.evict(EvictionRank::UnfinishedHead)
        {
            self.state.is_evicted.store(true, Ordering::SeqCst);
            self.table.closed.evicted.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends a response where a request has begun to arrive, and ends the connection.
    fn close(&mut self, closing: Closing) -> io::Error {
        self.is_closed = true;
        let closed = &self.table.closed;
        let response = match closing {
            Closing::Idle => None,
            Closing::SlowHead => {
                closed.slow_heads.fetch_add(1, Ordering::Relaxed);
                Some(head_timeout_response())
            }
            Closing::OversizedHead => {
                closed.oversized_heads.fetch_add(1, Ordering::Relaxed);
                Some(oversized_head_response())
            }
            Closing::Evicted => self.head_since.map(|_| connection_limit_response()),
        };
        if let Some(response) = response {
            let _ = self.stream.try_write(&response);
        }
        io::ErrorKind::TimedOut.into()
    }
}

impl Drop for TimedStream {
    fn drop(&mut self) {
        self.state.is_closed.store(true, Ordering::SeqCst);
        self.table.finish_written(&self.state);
        self.table.release_head(&self.state);
        self.table.shard(self.client_addr).remove(&self.client_addr);
        self.table.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_closed {
            return Poll::Ready(Ok(()));
        }
        let limits = **self.table.limits.load();
        if let Some(closing) = self.poll_closing(cx, &limits) {
            return Poll::Ready(Err(self.close(closing)));
        }
        let is_busy = self.state.is_busy();
        let most = if is_busy {
            BODY_READ_BYTES
        } else {
            self.head_room(&limits).min(HEAD_READ_BYTES)
        };
        let size = most.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let length = part.filled().len();
        buf.advance(length);
        if !is_busy && length > 0 {
            self.record_head(length, &limits);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    // The HTTP library flushes once it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        self.table.finish_written(&self.state);
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Raw response sent before a connection is closed by the head timeout; gotham has no
/// means to send one.
fn head_timeout_response() -> Vec<u8> {
    encode_problem_response(&Problem {
        title: "request head too slow".to_owned(),
        status: 408,
        detail: "the request's head did not arrive in time; send it at once".to_owned(),
        reason: ReasonCode::BadRequest,
        outcome: Outcome::NotRun,
        request_id: UNASSIGNED.into(),
        retry_after_ms: None,
        ticket: None,
    })
}

/// Raw response sent before a connection with a head beyond the limit is closed.
fn oversized_head_response() -> Vec<u8> {
    encode_problem_response(&Problem {
        title: "request head too large".to_owned(),
        status: 431,
        detail: "the request's head exceeds the size limit; send a shorter one".to_owned(),
        reason: ReasonCode::BadRequest,
        outcome: Outcome::NotRun,
        request_id: UNASSIGNED.into(),
        retry_after_ms: None,
        ticket: None,
    })
}

/// Raw response sent before a connection beyond the limit is closed.
pub(crate) fn connection_limit_response() -> Vec<u8> {
    encode_problem_response(&Problem {
        title: "too many connections".to_owned(),
        status: 503,
        detail: "this instance's connections are used up; come back, or ask another instance"
            .to_owned(),
        reason: ReasonCode::Overloaded,
        outcome: Outcome::NotRun,
        request_id: UNASSIGNED.into(),
        retry_after_ms: Some(1_000),
        ticket: None,
    })
}

fn encode_problem_response(problem: &Problem) -> Vec<u8> {
    let body = serde_json::to_string(problem).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/problem+json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        problem.status,
        problem.title,
        body.len()
    );
    (head + &body).into_bytes()
}
