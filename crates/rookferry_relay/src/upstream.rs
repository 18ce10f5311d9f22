//! One HTTP exchange with a backend server over a pooled connection.
//!
//! Errors state whether any byte of the request has left: only then may the request
//! have run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use rookferry_core::PathFailure;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use rookferry_wire::ServiceId;
use snafu::Snafu;
use tokio::sync::Semaphore;

use crate::answer_meter::MeteredBody;
use crate::links::Way;
use crate::mutex::lock;
use crate::pool::ConnectError;
use crate::pool::Connection;
use crate::protocol::HeaderNames;
use crate::relay::Relay;
use crate::request::end_to_end_headers;
use crate::request::set_time_left;

/// Pooled connections that may turn out closed before a request fails.
const MAX_STALE_CONNECTIONS: usize = 4;
/// Largest answer that is read whole, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Largest answer of those that callers don't get: reports, answers to orders, and refusals
/// of requests that a server didn't run; in bytes.
const MAX_INTERNAL_ANSWER_BYTES: usize = 256 * 1024;
/// Size from which an answer that is read whole needs room among the large ones, and the
/// step by which its buffer grows, in bytes.
const LARGE_ANSWER_BYTES: usize = 1024 * 1024;

/// Why an exchange has no answer.
#[derive(Debug, Snafu)]
pub(crate) enum UpstreamError {
    /// There was no connection; no byte of the request has left.
    #[snafu(display("not sent: {source}"))]
    NotConnected { source: ConnectError },
    /// The server asked this instance for a backoff; no byte has left.
    #[snafu(display("not sent: backing off from {addr} for {} ms more", left.as_millis()))]
    BackedOff { addr: SocketAddr, left: Duration },
    /// There is no permit for a server with a limit; no byte has left.
    #[snafu(display("not sent: no permit for {addr}, whose request limit is reached"))]
    NotPermitted { addr: SocketAddr },
    /// The check right before sending failed; no byte has left.
    #[snafu(display("not sent: the configuration, a server's state or the quarantine changed"))]
    Withdrawn,
    /// The connection failed or the answer was invalid; the request may have run.
    #[snafu(display("the answer of {addr} is lost: {message}"))]
    Lost { addr: SocketAddr, message: String },
    /// The connection through a peer failed; the request may have run. That proves
    /// nothing of the server.
    #[snafu(display("the answer of {addr} through {peer} is lost: {message}"))]
    TunnelLost {
        addr: SocketAddr,
        peer: SocketAddr,
        message: String,
    },
    /// This instance's path to the server broke after the request was sent, so that the
    /// answer won't come; the request may have run.
    #[snafu(display("the path to {addr} has broken"))]
    PathLost { addr: SocketAddr },
    /// The relay abandoned the run, which may still go on.
    #[snafu(display("the run at {addr} was abandoned: {message}"))]
    Abandoned { addr: SocketAddr, message: String },
    /// The answer is for another attempt; this request may have run.
    #[snafu(display("{addr} sent the answer to another attempt"))]
    WrongAttempt { addr: SocketAddr },
}

impl UpstreamError {
    /// The loss of an answer on a connection.
    const fn lost(addr: SocketAddr, way: Way, message: String) -> Self {
        match way {
            Way::Direct => Self::Lost { addr, message },
            Way::Peer(peer) => Self::TunnelLost {
                addr,
                peer,
                message,
            },
        }
    }

    /// Whether this instance's share of the server's connections is in use, which
    /// is no evidence about the server.
    pub(crate) const fn is_connection_limit(&self) -> bool {
        matches!(
            self,
            Self::NotConnected {
                source: ConnectError::Full { .. } | ConnectError::AllFull { .. }
            }
        )
    }

    /// Whether this instance refused to send: by its connection limit, a backoff or a
    /// missing permit. It is no new evidence about the server.
    pub(crate) const fn is_local_refusal(&self) -> bool {
        self.is_connection_limit()
            || matches!(self, Self::BackedOff { .. } | Self::NotPermitted { .. })
    }

    /// Whether the exchange broke after the request was sent, so that the server may
    /// have crashed.
    pub(crate) const fn may_be_crash(&self) -> bool {
        matches!(
            self,
            Self::Lost { .. } | Self::TunnelLost { .. } | Self::WrongAttempt { .. }
        )
    }

    /// Whether the failure is the server's, as far as is known.
    pub(crate) const fn is_server_failure(&self) -> bool {
        !matches!(self, Self::TunnelLost { .. } | Self::PathLost { .. })
    }

    /// Whether the process is known to have exited.
    pub(crate) const fn shows_exit(&self) -> bool {
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

/// An answer's head, with the body still to be read.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: MeteredBody,
    /// The backoff that the server asked this instance for.
    pub(crate) backoff: Option<Duration>,
    /// How the connection reaches the server.
    pub(crate) way: Way,
    /// Returned to the pool once the body is read whole.
    connection: Option<Connection>,
}

/// An answer with its whole body.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Which connections an exchange may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Dial {
    /// An idle one, else a new one.
    Any,
    /// A new one.
    New,
    /// A new one through a peer.
    ThroughPeer,
}

/// A server, and the connections to it that an exchange may use.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) server: ServerKey,
    pub(crate) service: ServiceId,
    /// The most connections that this instance may open to it.
    pub(crate) max_connections: usize,
    pub(crate) dial: Dial,
    /// How its last request was sent.
    pub(crate) sent: SentRecord,
}

/// How a request was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    pub(crate) way: Way,
    pub(crate) at: Instant,
}

/// The last request sent to an upstream, if any; shared by its clones.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentRecord(Arc<Mutex<Option<SentRequest>>>);

impl SentRecord {
    fn set(&self, way: Way, at: Instant) {
        *lock(&self.0) = Some(SentRequest { way, at });
    }

    pub(crate) fn get(&self) -> Option<SentRequest> {
        *lock(&self.0)
    }

    /// The time at which the request was sent over a direct connection; none if it was
    /// sent through a peer or not yet.
    pub(crate) fn direct_at(&self) -> Option<Instant> {
        let sent = self.get()?;
        (sent.way == Way::Direct).then_some(sent.at)
    }
}

impl Upstream {
    /// The same server over other connections.
    #[must_use]
    pub(crate) fn with_dial(mut self, dial: Dial) -> Self {
        self.dial = dial;
        self
    }
}

impl Relay {
    /// Sends a request and waits for the answer's head.
    ///
    /// `may_send` is called with a connection at hand, right before the first byte
    /// is sent, and again for each pooled connection that proved closed.
    pub(crate) async fn send_over_link(
        &self,
        upstream: &Upstream,
        mut request: Request<Full<Bytes>>,
        may_send: impl Fn() -> Result<(), UpstreamError>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let addr = upstream.server.addr;
        let mut stale = 0;
        loop {
            let mut connection = self
                .connection(upstream)
                .await
                .map_err(|source| UpstreamError::NotConnected { source })?;
            may_send()?;
            // Opening the connection may have taken a while.
            set_time_left(&mut request, self.protocol.names());
            upstream.sent.set(connection.way, clock::now());
            connection.meter.restart();
            let sent = connection.sender.try_send_request(request).await;
            let mut error = match sent {
                Ok(response) => {
                    connection.record_activity(clock::now());
                    connection.meter.restart();
                    let (parts, body) = response.into_parts();
                    let body = MeteredBody::new(body, connection.meter.clone());
                    return Ok(UpstreamAnswer {
                        status: parts.status,
                        headers: parts.headers,
                        body,
                        backoff: None,
                        way: connection.way,
                        connection: Some(connection),
                    });
                }
                Err(error) => error,
            };
            // hyper returns the message only if no byte of it was written.
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
                    connection.record_break(clock::now());
                    let message = error.error().to_string();
                    return Err(UpstreamError::lost(addr, connection.way, message));
                }
            }
        }
    }

    /// An idle connection to a server, or a new one. While the own path is silent, open
    /// direct connections would probably hang with whatever is sent.
    pub(crate) async fn connection(&self, upstream: &Upstream) -> Result<Connection, ConnectError> {
        let server = upstream.server;
        if upstream.dial == Dial::Any {
            let broken = self.broken_path(upstream);
            let is_silent = broken.is_some_and(|path| path.failure == PathFailure::AllConnections);
            if let Some(idle) = self.pool.take_idle(server, !is_silent).await {
                return Ok(idle);
            }
        }
        let slot = self.pool.reserve(upstream)?;
        // Boxed, as most exchanges use an idle connection.
        let opened = Box::pin(self.open_stream(upstream)).await?;
        self.pool.begin(server.addr, slot, opened).await
    }
}

/// Whether an answer may be passed on: a success needs the server's signature header.
pub(crate) fn is_signed(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> bool {
    !status.is_success() || headers.contains_key(&names.signature)
}

impl WholeAnswer {
    /// The response for the caller: the server's status, end-to-end headers and body.
    pub(crate) fn into_response(self) -> Response<Body> {
        let body = Full::new(self.body).map_err(|never| match never {});
        let mut response: Response<Body> = Response::new(UnsyncBoxBody::new(body));
        *response.status_mut() = self.status;
        *response.headers_mut() = end_to_end_headers(&self.headers);
        // hyper sets the length of the body; a 304 states that of another body.
        if self.status != StatusCode::NOT_MODIFIED {
            response.headers_mut().remove(http::header::CONTENT_LENGTH);
        }
        response
    }
}

impl UpstreamAnswer {
    /// Whether the answer carries this attempt's id.
    pub(crate) fn is_for(&self, names: &HeaderNames, attempt: &str) -> bool {
        self.headers
            .get(&names.attempt)
            .is_some_and(|value| value.as_bytes() == attempt.as_bytes())
    }

    /// Whether the server states that it didn't run the request.
    pub(crate) fn is_not_run(&self, names: &HeaderNames) -> bool {
        self.status == StatusCode::MISDIRECTED_REQUEST || self.headers.contains_key(&names.not_run)
    }

    /// Records that another part of the body has arrived.
    pub(crate) fn record_activity(&self, now: Instant) {
        if let Some(connection) = &self.connection {
            connection.record_activity(now);
        }
    }

    /// Records that the answer broke off.
    pub(crate) fn record_break(&self, now: Instant) {
        if let Some(connection) = &self.connection {
            connection.record_break(now);
        }
    }

    /// Returns the connection to the pool; the body must have been read to its end.
    pub(crate) fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.return_to_pool(&self.headers);
        }
    }

    /// Reads the whole body, for the caller, and returns the connection to the pool.
    ///
    /// Fails with `Lost` if the body breaks off or exceeds [`MAX_ANSWER_BYTES`].
    pub(crate) async fn collect(self, addr: SocketAddr) -> Result<WholeAnswer, UpstreamError> {
        self.collect_within(addr, MAX_ANSWER_BYTES).await
    }

    /// The same for an answer that no caller gets, of [`MAX_INTERNAL_ANSWER_BYTES`] at most.
    pub(crate) async fn collect_internal(
        self,
        addr: SocketAddr,
    ) -> Result<WholeAnswer, UpstreamError> {
        self.collect_within(addr, MAX_INTERNAL_ANSWER_BYTES).await
    }

    async fn collect_within(
        self,
        addr: SocketAddr,
        max_bytes: usize,
    ) -> Result<WholeAnswer, UpstreamError> {
        let Self {
            status,
            headers,
            body,
            way,
            connection,
            ..
        } = self;
        let room = connection
            .as_ref()
            .map(|connection| &*connection.large_answers);
        let body = read_whole(body, room, max_bytes)
            .await
            .map_err(|message| UpstreamError::lost(addr, way, message))?;
        if let Some(connection) = connection {
            connection.return_to_pool(&headers);
        }
        Ok(WholeAnswer {
            status,
            headers,
            body,
        })
    }
}

/// Reads a body into one buffer; a large one once there is `room`. Fails with the cause if
/// it breaks off or exceeds `max_bytes`.
async fn read_whole(
    mut body: MeteredBody,
    room: Option<&Semaphore>,
    max_bytes: usize,
) -> Result<Bytes, String> {
    let mut whole = Vec::new();
    let mut permit = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > max_bytes {
            return Err(format!("more than {max_bytes} bytes"));
        }
        if length > LARGE_ANSWER_BYTES && permit.is_none() {
            // The semaphore is never closed.
            permit = match room {
                Some(room) => room.acquire().await.ok(),
                None => None,
            };
        }
        if length > whole.capacity() {
            whole.reserve_exact(data.len().max(whole.len().clamp(1024, LARGE_ANSWER_BYTES)));
        }
        whole.extend_from_slice(data);
    }
    Ok(Bytes::from(whole))
}
