//! Bounds what a server may send that belongs to no answer.
//!
//! The HTTP library reads on as long as bytes may still become an answer, such as interim
//! responses or the digits of a chunk's size, and counts none of them. The connection
//! therefore fails once more has arrived than the delivered part of the answer explains.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use hyper::body::Incoming;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::links::ServerStream;

/// Bytes that may arrive before an answer's head, and ahead of the delivered part of its
/// body; more than the HTTP library buffers.
const MAX_AHEAD_BYTES: u64 = 256 * 1024;
/// Most bytes on the wire for a byte of a body; chunks of a few bytes stay below it.
const MAX_FRAMING_FACTOR: u64 = 4;

/// Counts what arrives over a connection and what of it was delivered.
#[derive(Debug, Default)]
pub(crate) struct AnswerMeter {
    received: AtomicU64,
    delivered: AtomicU64,
}

impl AnswerMeter {
    /// Starts again, for another answer or for the body after the head.
    pub(crate) fn restart(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.delivered.store(0, Ordering::Relaxed);
    }

    fn deliver(&self, bytes: usize) {
        self.delivered.fetch_add(count(bytes), Ordering::Relaxed);
    }

    /// Counts received bytes; returns whether an answer explains them.
    fn receive(&self, bytes: usize) -> bool {
        let received = self.received.fetch_add(count(bytes), Ordering::Relaxed) + count(bytes);
        let delivered = self.delivered.load(Ordering::Relaxed);
        received <= MAX_AHEAD_BYTES + MAX_FRAMING_FACTOR * delivered
    }
}

fn count(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

/// A connection whose received bytes are counted.
pub(crate) struct MeteredStream {
    inner: Box<dyn ServerStream>,
    meter: Arc<AnswerMeter>,
}

impl MeteredStream {
    pub(crate) fn new(inner: Box<dyn ServerStream>, meter: Arc<AnswerMeter>) -> Self {
        Self { inner, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        if self.meter.receive(buffer.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let message = "the server sends bytes without end that belong to no answer";
        Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, message)))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// The body of an answer, whose delivered bytes are counted.
#[derive(Debug)]
pub(crate) struct MeteredBody {
    inner: Incoming,
    meter: Arc<AnswerMeter>,
}

impl MeteredBody {
    pub(crate) fn new(inner: Incoming, meter: Arc<AnswerMeter>) -> Self {
        Self { inner, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            self.meter.deliver(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }
}
