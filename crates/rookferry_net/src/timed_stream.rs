//! The stream below the HTTP library of a client connection: limits the size of request
//! heads, and the time for them and between them.
//!
//! The HTTP library doesn't limit the time that a client takes to send a request head, and
//! buffers heads of some hundred kilobytes. The stream therefore counts the bytes that
//! arrive until a request begins, and gives them a timeout that starts with the first one.
//! It passes few bytes on at a time, since the library enlarges its buffer after large reads.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::ConnectionLimits;
use crate::connection::ConnectionState;
use crate::connection::EvictionRank;
use crate::connection::TableInner;
use crate::early_response::connection_limit_response;
use crate::early_response::head_timeout_response;
use crate::early_response::oversized_head_response;

/// Most bytes that are read at a time: less than the first size of the HTTP library's
/// buffer, which then isn't enlarged.
const READ_BYTES: usize = 8 * 1024 - 1;

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
    /// A registered connection.
    pub(crate) fn new(
        stream: TcpStream,
        client_addr: SocketAddr,
        table: Arc<TableInner>,
        state: Arc<ConnectionState>,
    ) -> Self {
        let idle_timeout = table.limits.load().idle_timeout;
        Self {
            stream,
            client_addr,
            table,
            state,
            head_since: None,
            timer: Box::pin(tokio::time::sleep(idle_timeout)),
            is_closed: false,
        }
    }

    /// Why the connection must be closed now, if it must.
    fn poll_closing(&mut self, cx: &mut Context<'_>, limits: &ConnectionLimits) -> Option<Closing> {
        let is_busy = self.state.is_busy();
        // A request may have begun and ended since the last read.
        if is_busy || !self.state.has_unfinished_head() {
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
            READ_BYTES
        } else {
            self.head_room(&limits).min(READ_BYTES)
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
