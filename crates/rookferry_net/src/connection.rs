//! Limits and bookkeeping for client connections: number of open connections, active
//! requests, and a timeout for idle connections and slow request heads.
//!
//! The HTTP library doesn't limit the time that a client takes to send a request head.
//! The stream below it therefore has a timeout: once a connection is idle, the next
//! request head must have arrived completely within the timeout, even if the client
//! keeps sending single bytes.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

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

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum time between a connection becoming idle and its next complete request head.
    pub head_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            head_timeout: Duration::from_secs(20),
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
}

/// Open connections and active requests of one listener; clones share the table.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    inner: Arc<TableInner>,
}

#[derive(Debug)]
struct TableInner {
    shards: Vec<Mutex<HashMap<SocketAddr, Arc<ConnectionState>>>>,
    open: AtomicUsize,
    requests: AtomicUsize,
    idle: Notify,
}

impl Default for ConnectionTable {
    fn default() -> Self {
        Self::new()
    }
}

impl ConnectionTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self {
            inner: Arc::new(TableInner {
                shards,
                open: AtomicUsize::new(0),
                requests: AtomicUsize::new(0),
                idle: Notify::new(),
            }),
        }
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
        }
        RequestGuard {
            table: self.inner.clone(),
            state,
        }
    }

    pub(crate) fn register(
        &self,
        stream: TcpStream,
        limits: ConnectionLimits,
    ) -> io::Result<TimedStream> {
        let client_addr = stream.peer_addr()?;
        let state = Arc::new(ConnectionState {
            requests: AtomicUsize::new(0),
            unwritten: AtomicUsize::new(0),
            is_closed: AtomicBool::new(false),
            idle_since: Mutex::new(Instant::now()),
        });
        self.inner
            .shard(client_addr)
            .insert(client_addr, state.clone());
        self.inner.open.fetch_add(1, Ordering::Relaxed);
        Ok(TimedStream {
            stream,
            client_addr,
            table: self.inner.clone(),
            state,
            head_timeout: limits.head_timeout,
            timer: Box::pin(tokio::time::sleep(limits.head_timeout)),
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
        let mut idle_since = state
            .idle_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *idle_since = Instant::now();
        drop(idle_since);
        state.requests.fetch_sub(written, Ordering::SeqCst);
        self.finish(written);
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

/// A client connection with a timeout for idleness and slow request heads.
#[derive(Debug)]
pub(crate) struct TimedStream {
    stream: TcpStream,
    client_addr: SocketAddr,
    table: Arc<TableInner>,
    state: Arc<ConnectionState>,
    head_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    is_closed: bool,
}

impl TimedStream {
    /// Whether the connection has been idle, without a complete request head, past the timeout.
    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        while self.timer.as_mut().poll(cx).is_ready() {
            let idle_since = *self
                .state
                .idle_since
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let is_busy = self.state.requests.load(Ordering::SeqCst) > 0;
            let expires_at = if is_busy { Instant::now() } else { idle_since } + self.head_timeout;
            if expires_at <= Instant::now() {
                return true;
            }
            self.timer.as_mut().reset(expires_at);
        }
        false
    }
}

impl Drop for TimedStream {
    fn drop(&mut self) {
        self.state.is_closed.store(true, Ordering::SeqCst);
        self.table.finish_written(&self.state);
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
        if self.poll_overdue(cx) {
            self.is_closed = true;
            let _ = self.stream.try_write(&head_timeout_response());
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
