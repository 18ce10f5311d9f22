//! Access to an HTTP request for handlers: head, headers, query and size-limited body.

use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::state::FromState;
use gotham::state::State;
use http::HeaderMap;
use http::Method;
use http::Uri;
use http_body::Body as _;
use http_body_util::BodyExt;
use snafu::Snafu;

use crate::MemoryBudget;
use crate::MemoryExhausted;
use crate::MemoryLease;

/// Least and most bytes by which the buffer of a body grows.
const MIN_GROWTH_BYTES: usize = 1024;
const MAX_GROWTH_BYTES: usize = 256 * 1024;

/// Reason why a request body couldn't be read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[snafu(display("the body is longer than {limit_bytes} bytes"))]
    TooLarge {
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive within {} ms", wait.as_millis()))]
    TooSlow {
        /// The timeout.
        wait: Duration,
    },
    /// There is no memory for the body.
    #[snafu(display("{source}"))]
    NoMemory {
        /// The budget that is used up.
        source: MemoryExhausted,
    },
    /// The connection broke while the body was read.
    #[snafu(display("the body broke off: {message}"))]
    Broken {
        /// The cause.
        message: String,
    },
}

/// A request head with its unread body.
#[derive(Debug)]
pub struct InboundRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    body: Body,
}

impl InboundRequest {
    /// Takes the request from gotham's state.
    pub(crate) fn from_state(state: &mut State) -> Self {
        Self {
            method: Method::borrow_from(state).clone(),
            uri: Uri::borrow_from(state).clone(),
            headers: HeaderMap::borrow_from(state).clone(),
            body: state.try_take::<Body>().unwrap_or_default(),
        }
    }

    /// Value of a header; `None` if it is absent or not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Rest of the path after a prefix; `None` if the path doesn't start with it.
    #[must_use]
    pub fn strip_path_prefix(&self, prefix: &str) -> Option<&str> {
        self.uri.path().strip_prefix(prefix)
    }

    /// Value of a query parameter, without percent-decoding; `None` if it is absent.
    #[must_use]
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Bytes of the headers, of their names and values.
    #[must_use]
    pub fn header_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let lengths = headers.map(|(name, value)| name.as_str().len() + value.len());
        lengths.sum()
    }

    /// Reads the complete body; a second call returns an empty body.
    ///
    /// # Errors
    ///
    /// If the body exceeds `limit_bytes`, takes longer than `wait` or is incomplete.
    pub async fn read_body(
        &mut self,
        limit_bytes: usize,
        wait: Duration,
    ) -> Result<Bytes, BodyError> {
        let mut lease = MemoryBudget::new(limit_bytes).lease();
        self.read_body_into(&mut lease, limit_bytes, wait).await
    }

    /// Reads the complete body into memory that `lease` takes as the body arrives; a second
    /// call returns an empty body.
    ///
    /// # Errors
    ///
    /// If the body exceeds `limit_bytes`, takes longer than `wait` or is incomplete, or if
    /// there is no memory for it.
    pub async fn read_body_into(
        &mut self,
        lease: &mut MemoryLease,
        limit_bytes: usize,
        wait: Duration,
    ) -> Result<Bytes, BodyError> {
        let body = std::mem::take(&mut self.body);
        let eviction = lease.eviction();
        let read = tokio::select! {
            read = tokio::time::timeout(wait, collect(body, lease, limit_bytes)) => read,
            source = eviction.wait() => return Err(BodyError::NoMemory { source }),
        };
        let whole = read.map_err(|_| BodyError::TooSlow { wait })??;
        lease.finish();
        Ok(whole)
    }

    /// Reads and drops the body, so that the connection can be used again.
    ///
    /// Stops after `limit_bytes`, after `wait`, if the connection breaks, or if `lease` is
    /// evicted; the connection is closed then.
    pub async fn discard_body(&mut self, lease: &MemoryLease, limit_bytes: usize, wait: Duration) {
        let mut body = std::mem::take(&mut self.body);
        let announced = usize::try_from(body.size_hint().lower());
        if announced.map_or(true, |length| length > limit_bytes) {
            return;
        }
        let discard = async {
            let mut length = 0;
            while length <= limit_bytes
                && let Some(Ok(frame)) = body.frame().await
            {
                length += frame.data_ref().map_or(0, Bytes::len);
                lease.record_progress();
            }
        };
        // A body that isn't read to its end closes the connection.
        tokio::select! {
            _ = tokio::time::timeout(wait, discard) => {}
            _ = lease.eviction().wait() => {}
        }
    }
}

/// Reads a body into one buffer, since each part may hold a larger buffer of the connection.
async fn collect(
    mut body: Body,
    lease: &mut MemoryLease,
    limit_bytes: usize,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint();
    if usize::try_from(announced.lower()).map_or(true, |length| length > limit_bytes) {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    let exact = announced
        .exact()
        .and_then(|length| usize::try_from(length).ok());
    let most = exact.unwrap_or(limit_bytes);
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken {
            message: error.to_string(),
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
        if length > whole.capacity() {
            let growth = whole.len().clamp(MIN_GROWTH_BYTES, MAX_GROWTH_BYTES);
            let capacity = (whole.len() + growth).min(most).max(length);
            let grown = lease.grow(capacity - whole.capacity()).await;
            grown.map_err(|source| BodyError::NoMemory { source })?;
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(data);
        lease.record_progress();
    }
    Ok(Bytes::from(whole))
}
