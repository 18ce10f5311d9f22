//! A request as handlers get it.

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

/// Why a body couldn't be read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// It is over the limit.
    #[snafu(display("the body is longer than {limit_bytes} bytes"))]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// It came too slowly.
    #[snafu(display("the body did not arrive within {} ms", wait.as_millis()))]
    TooSlow {
        /// How long it was waited for.
        wait: Duration,
    },
    /// The connection broke.
    #[snafu(display("the body broke off: {message}"))]
    Broken {
        /// The cause.
        message: String,
    },
}

/// A request's head and its unread body.
#[derive(Debug)]
pub struct Inbound {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    body: Body,
}

impl Inbound {
    /// Takes the request out of gotham's state.
    pub(crate) fn take(state: &mut State) -> Self {
        Self {
            method: Method::borrow_from(state).clone(),
            uri: Uri::borrow_from(state).clone(),
            headers: HeaderMap::borrow_from(state).clone(),
            body: state.try_take::<Body>().unwrap_or_default(),
        }
    }

    /// A header's text, if it is there and is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The part of the path after a prefix.
    #[must_use]
    pub fn path_after(&self, prefix: &str) -> Option<&str> {
        self.uri.path().strip_prefix(prefix)
    }

    /// A parameter of the query.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Reads the body whole.
    ///
    /// # Errors
    ///
    /// If it is too large, too slow or broken off.
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
