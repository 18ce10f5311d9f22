//! Access to an HTTP request for handlers: head, headers, query and size-limited body.

use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::state::FromState;
use gotham::state::State;
use http::HeaderMap;
use http::Method;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use snafu::Snafu;

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
        let body = std::mem::take(&mut self.body);
        let collected = tokio::time::timeout(wait, Limited::new(body, limit_bytes).collect()).await;
        let Ok(collected) = collected else {
            return Err(BodyError::TooSlow { wait });
        };
        match collected {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(BodyError::TooLarge { limit_bytes })
            }
            Err(error) => Err(BodyError::Broken {
                message: error.to_string(),
            }),
        }
    }
}
