//! One exchange with a backend server, and what is known when it fails.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use rookferry_core::ServerKey;
use snafu::Snafu;

use crate::pool::ConnectError;
use crate::pool::Connection;
use crate::pool::UpstreamPool;
use crate::protocol::HeaderNames;
use crate::request::end_to_end;

/// Kept connections that may turn out closed before one request gives up.
const MAX_STALE_CONNECTIONS: usize = 4;
/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub(crate) enum UpstreamError {
    /// No byte of the request has left.
    #[snafu(display("not sent: {source}"))]
    NotConnected { source: ConnectError },
    /// The server asked this instance for a backoff; no byte has left.
    #[snafu(display("not sent: backing off from {addr} for {} ms more", left.as_millis()))]
    BackedOff { addr: SocketAddr, left: Duration },
    /// There is no permit for a server with a limit; no byte has left.
    #[snafu(display("not sent: no permit for {addr}, which takes no more now"))]
    NotPermitted { addr: SocketAddr },
    /// The check before sending forbade it; no byte has left.
    #[snafu(display("not sent: what was decided no longer holds"))]
    Withdrawn,
    /// The request may have run.
    #[snafu(display("the answer of {addr} is lost: {message}"))]
    Lost { addr: SocketAddr, message: String },
    /// The relay itself gave the run up, which may go on.
    #[snafu(display("the run at {addr} is given up: {message}"))]
    GivenUp { addr: SocketAddr, message: String },
    /// What came belongs to another request; this one may have run.
    #[snafu(display("{addr} answered another request"))]
    Crossed { addr: SocketAddr },
}

impl UpstreamError {
    /// Whether this instance's part of the server's connections is in use; it
    /// says nothing about the server.
    pub(crate) const fn is_own_limit(&self) -> bool {
        matches!(
            self,
            Self::NotConnected {
                source: ConnectError::Full { .. }
            }
        )
    }

    /// Whether it wasn't sent for what this instance knows or has in use, which
    /// is no new word on the server.
    pub(crate) const fn is_held_here(&self) -> bool {
        self.is_own_limit() || matches!(self, Self::BackedOff { .. } | Self::NotPermitted { .. })
    }

    /// Whether the connection broke, or gave something else, under a run.
    pub(crate) const fn is_break(&self) -> bool {
        matches!(self, Self::Lost { .. } | Self::Crossed { .. })
    }

    /// Whether nothing listens at the server's address any more: the process
    /// has ended.
    pub(crate) const fn shows_end(&self) -> bool {
        matches!(
            self,
            Self::NotConnected {
                source: ConnectError::Refused { .. }
            }
        )
    }

    /// Whether no byte of the request has left.
    pub(crate) const fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::NotConnected { .. }
                | Self::BackedOff { .. }
                | Self::NotPermitted { .. }
                | Self::Withdrawn
        )
    }
}

/// An answer's head, and its body yet to be read.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    /// The backoff that the server asked this instance for.
    pub(crate) backoff: Option<Duration>,
    /// To be kept once the body is read whole.
    connection: Option<Connection>,
}

/// An answer read whole.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Where to send, and how many connections to it may be open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Upstream {
    pub(crate) server: ServerKey,
    pub(crate) max_connections: usize,
}

impl UpstreamPool {
    /// Sends a request and waits for the answer's head.
    ///
    /// `may_send` is asked when a connection is there, right before the first
    /// byte leaves.
    pub(crate) async fn send(
        &self,
        upstream: Upstream,
        mut request: Request<Full<Bytes>>,
        may_send: impl Fn() -> Result<(), UpstreamError>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let addr = upstream.server.addr;
        let mut stale = 0;
        loop {
            let mut connection = self
                .checkout(upstream.server, upstream.max_connections)
                .await
                .map_err(|source| UpstreamError::NotConnected { source })?;
            may_send()?;
            let sent = connection.sender.try_send_request(request).await;
            let mut error = match sent {
                Ok(response) => {
                    let (parts, body) = response.into_parts();
                    return Ok(UpstreamAnswer {
                        status: parts.status,
                        headers: parts.headers,
                        body,
                        backoff: None,
                        connection: Some(connection),
                    });
                }
                Err(error) => error,
            };
            // The message comes back only if no byte of it was written.
            match error.take_message() {
                Some(unsent) if connection.is_reused && stale < MAX_STALE_CONNECTIONS => {
                    stale += 1;
                    request = unsent;
                }
                Some(_) => {
                    let message = error.error().to_string();
                    let source = ConnectError::Failed { addr, message };
                    return Err(UpstreamError::NotConnected { source });
                }
                None => {
                    let message = error.error().to_string();
                    return Err(UpstreamError::Lost { addr, message });
                }
            }
        }
    }
}

/// Whether an answer may be passed on: a success counts only with its
/// server's signature.
pub(crate) fn is_signed(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> bool {
    !status.is_success() || headers.contains_key(&names.signature)
}

impl WholeAnswer {
    /// The answer for the caller, as the server gave it.
    pub(crate) fn into_response(self) -> Response<Body> {
        let body = Full::new(self.body).map_err(|never| match never {});
        let mut response: Response<Body> = Response::new(UnsyncBoxBody::new(body));
        *response.status_mut() = self.status;
        *response.headers_mut() = end_to_end(&self.headers);
        // The library counts what it sends; a 304 names another body's length.
        if self.status != StatusCode::NOT_MODIFIED {
            response.headers_mut().remove(http::header::CONTENT_LENGTH);
        }
        response
    }
}

impl UpstreamAnswer {
    /// Whether the answer is for an attempt; anything else is someone else's.
    pub(crate) fn is_for(&self, names: &HeaderNames, attempt: &str) -> bool {
        self.headers
            .get(&names.attempt)
            .is_some_and(|value| value.as_bytes() == attempt.as_bytes())
    }

    /// Whether the server says that it didn't run the request.
    pub(crate) fn is_not_run(&self, names: &HeaderNames) -> bool {
        self.status == StatusCode::MISDIRECTED_REQUEST || self.headers.contains_key(&names.not_run)
    }

    /// Keeps the connection for another request; the body must have been read
    /// to its end.
    pub(crate) fn keep_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.keep(&self.headers);
        }
    }

    /// Reads the body whole and keeps the connection.
    pub(crate) async fn collect(self, addr: SocketAddr) -> Result<WholeAnswer, UpstreamError> {
        let Self {
            status,
            headers,
            body,
            connection,
            ..
        } = self;
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| UpstreamError::Lost {
                addr,
                message: error.to_string(),
            })?
            .to_bytes();
        if let Some(connection) = connection {
            connection.keep(&headers);
        }
        Ok(WholeAnswer {
            status,
            headers,
            body,
        })
    }
}
