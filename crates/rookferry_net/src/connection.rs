//! Bookkeeping for client connections: open ones, active requests, and unfinished heads.
//!
//! Beyond the number of connections, or of bytes of unfinished heads over all connections,
//! the connection that has gone longest without progress is closed.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::task::AtomicWaker;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::ConnectionLimits;
use crate::timed_stream::TimedStream;
use crate::wait_until;

/// Number of separately locked parts of the table.
const SHARDS: usize = 64;
/// A connection that has made no progress with a request head for this long may be closed
/// in favor of others, and one that is idle between requests.
const MIN_HEAD_STALL: Duration = Duration::from_millis(250);
const MIN_IDLE: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(crate) struct ConnectionState {
    pub(crate) requests: AtomicUsize,
    /// Requests among them whose answer the HTTP library has, but may not have written yet.
    pub(crate) unwritten: AtomicUsize,
    pub(crate) is_closed: AtomicBool,
    idle_since: Mutex<Instant>,
    /// Bytes that have arrived since the last request began.
    pub(crate) head_bytes: AtomicUsize,
    /// Whether the connection is to be closed in favor of others.
    pub(crate) is_evicted: AtomicBool,
    /// Wakes the task that reads from the connection.
    pub(crate) reader: AtomicWaker,
}

/// How soon a connection is closed in favor of others; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionRank {
    UnfinishedHead,
    Idle,
}

impl ConnectionState {
    pub(crate) fn idle_since(&self) -> std::sync::MutexGuard<'_, Instant> {
        let idle_since = self.idle_since.lock();
        idle_since.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_busy(&self) -> bool {
        self.requests.load(Ordering::SeqCst) > 0
    }

    /// Whether a part of the next request head has arrived.
    pub(crate) fn has_unfinished_head(&self) -> bool {
        self.head_bytes.load(Ordering::SeqCst) > 0
    }

    /// The rank, and since when the connection has made no progress; `None` if it may not
    /// be evicted.
    fn eviction_rank(&self, now: Instant) -> Option<(EvictionRank, Instant)> {
        if self.is_busy() || self.is_evicted.load(Ordering::SeqCst) {
            return None;
        }
        let (rank, min_stall) = if self.has_unfinished_head() {
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
pub(crate) struct ClosedCounts {
    pub(crate) evicted: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) oversized_heads: AtomicU64,
    pub(crate) slow_heads: AtomicU64,
}

/// Open connections and active requests of one listener; clones share the table.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    inner: Arc<TableInner>,
}

#[derive(Debug)]
pub(crate) struct TableInner {
    pub(crate) limits: ArcSwap<ConnectionLimits>,
    shards: Vec<Mutex<HashMap<SocketAddr, Arc<ConnectionState>>>>,
    pub(crate) open: AtomicUsize,
    /// Bytes of unfinished request heads.
    pub(crate) unfinished_bytes: AtomicUsize,
    pub(crate) closed: ClosedCounts,
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
        Ok(TimedStream::new(
            stream,
            client_addr,
            self.inner.clone(),
            state,
        ))
    }
}

impl TableInner {
    pub(crate) fn shard(
        &self,
        addr: SocketAddr,
    ) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<ConnectionState>>> {
        let shard = &self.shards[usize::from(addr.port()) % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableInner {
    /// Counts the requests of a connection whose answers are written as no longer active.
    pub(crate) fn finish_written(&self, state: &ConnectionState) {
        let written = state.unwritten.swap(0, Ordering::SeqCst);
        if written == 0 {
            return;
        }
        *state.idle_since() = Instant::now();
        state.requests.fetch_sub(written, Ordering::SeqCst);
        self.finish(written);
    }

    /// Counts what has arrived of a connection's next request head as no longer unfinished.
    pub(crate) fn release_head(&self, state: &ConnectionState) {
        let bytes = state.head_bytes.swap(0, Ordering::SeqCst);
        self.unfinished_bytes.fetch_sub(bytes, Ordering::SeqCst);
    }

    /// Closes the connection that has gone longest without progress, of those up to a rank;
    /// false if there is none.
    pub(crate) fn evict(&self, up_to: EvictionRank) -> bool {
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
