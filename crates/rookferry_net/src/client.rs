//! An HTTP client that tells whether any byte of a request can have left.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::RetryAfterError;
use crate::retry_after;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// How long a connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle connections kept for each backend server.
const IDLE_PER_HOST: usize = 64;

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection was made; no byte of the request has left.
    #[snafu(display("could not connect to {addr}: {message}"))]
    NotConnected {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        message: String,
        /// Whether nothing listens there: the process isn't there.
        is_refused: bool,
    },
    /// No answer within the time; the request may have been taken.
    #[snafu(display("no answer from {addr} within {} ms", wait.as_millis()))]
    TimedOut {
        /// The address.
        addr: SocketAddr,
        /// The time.
        wait: Duration,
    },
    /// The connection broke; the request may have been taken.
    #[snafu(display("connection to {addr} broke: {message}"))]
    Broken {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        message: String,
    },
    /// An answer with a status that isn't a success.
    #[snafu(display("{addr} answered {status}: {body}"))]
    Status {
        /// The address.
        addr: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The body's text.
        body: String,
        /// The backoff that it asks for, if any.
        retry_after: Result<Option<Duration>, RetryAfterError>,
    },
    /// It asked for a backoff, which isn't over; no byte has left.
    #[snafu(display("backing off from {addr} for {} ms more", left.as_millis()))]
    BackedOff {
        /// The address.
        addr: SocketAddr,
        /// How much longer.
        left: Duration,
    },
    /// The answer isn't what was expected.
    #[snafu(display("could not read the answer of {addr}: {message}"))]
    Decode {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        message: String,
    },
}

impl ClientError {
    /// Whether no byte of the request can have left.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::BackedOff { .. })
    }

    /// Whether nothing listens at the address any more.
    #[must_use]
    pub const fn is_refused(&self) -> bool {
        matches!(
            self,
            Self::NotConnected {
                is_refused: true,
                ..
            }
        )
    }
}

/// A success, read whole.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl ClientAnswer {
    /// The body as JSON; `addr` is whose answer it is.
    ///
    /// # Errors
    ///
    /// If it isn't JSON of that type.
    pub fn json<T: DeserializeOwned>(&self, addr: SocketAddr) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|error| ClientError::Decode {
            addr,
            message: error.to_string(),
        })
    }
}

/// A client with a pool of connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// A client without connections.
    ///
    /// It never repeats a request by itself, not even on a pooled connection
    /// that turns out to be closed: whoever sends decides about repeats.
    #[must_use]
    pub fn new() -> Self {
        Self::with_idle_connections(IDLE_PER_HOST)
    }

    /// A client that opens a connection for each request.
    #[must_use]
    pub fn without_pool() -> Self {
        Self::with_idle_connections(0)
    }

    fn with_idle_connections(most: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(most)
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and gives the response with its body unread.
    ///
    /// # Errors
    ///
    /// If there is no response within `wait`.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        let Ok(answer) = tokio::time::timeout(wait, self.inner.request(request)).await else {
            return Err(ClientError::TimedOut { addr, wait });
        };
        answer.map_err(|error| {
            let message = error_chain(&error);
            if error.is_connect() {
                let is_refused = is_refused(&error);
                return ClientError::NotConnected {
                    addr,
                    message,
                    is_refused,
                };
            }
            ClientError::Broken { addr, message }
        })
    }

    /// Posts JSON and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// If there is no such answer within `wait`.
    pub async fn post<Q: Serialize + Sync, T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Q,
        wait: Duration,
    ) -> Result<T, ClientError> {
        self.call(Method::POST, addr, path, Some(body), wait).await
    }

    /// Gets a JSON answer.
    ///
    /// # Errors
    ///
    /// If there is no such answer within `wait`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<T, ClientError> {
        self.call(Method::GET, addr, path, None::<&()>, wait).await
    }

    /// Gets an answer as it came.
    ///
    /// # Errors
    ///
    /// If there is no answer within `wait`.
    pub async fn get_answer(
        &self,
        addr: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<ClientAnswer, ClientError> {
        self.call_answer(Method::GET, addr, path, None::<&()>, wait)
            .await
    }

    /// Gets an answer as text.
    ///
    /// # Errors
    ///
    /// If there is no answer within `wait`.
    pub async fn get_text(
        &self,
        addr: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<String, ClientError> {
        let answer = self.get_answer(addr, path, wait).await?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Calls with an optional JSON body and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// If there is no such answer within `wait`.
    pub async fn call<Q: Serialize + Sync, T: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Option<&Q>,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let answer = self.call_answer(method, addr, path, body, wait).await?;
        answer.json(addr)
    }

    /// Calls with an optional JSON body and reads the answer as it came.
    ///
    /// # Errors
    ///
    /// If there is no answer within `wait`.
    pub async fn call_answer<Q: Serialize + Sync>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Option<&Q>,
        wait: Duration,
    ) -> Result<ClientAnswer, ClientError> {
        let body = match body {
            Some(value) => serde_json::to_vec(value).map_err(|error| ClientError::Decode {
                addr,
                message: error.to_string(),
            })?,
            None => Vec::new(),
        };
        let request = build(method, addr, path, body.into())?;
        self.exchange(addr, request, wait).await
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<ClientAnswer, ClientError> {
        let whole = async {
            let response = self.send(addr, request, wait).await?;
            let (head, body) = response.into_parts();
            let status = head.status;
            let retry_after = retry_after(&head.headers);
            let body = read_answer(addr, body).await?;
            if status.is_success() {
                let headers = head.headers;
                return Ok(ClientAnswer { headers, body });
            }
            Err(ClientError::Status {
                addr,
                status,
                body: String::from_utf8_lossy(&body).into_owned(),
                retry_after,
            })
        };
        let Ok(answer) = tokio::time::timeout(wait, whole).await else {
            return Err(ClientError::TimedOut { addr, wait });
        };
        answer
    }
}

async fn read_answer(addr: SocketAddr, body: Incoming) -> Result<Bytes, ClientError> {
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let collected = collected.map_err(|error| ClientError::Broken {
        addr,
        message: error.to_string(),
    })?;
    Ok(collected.to_bytes())
}

fn build(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body));
    request.map_err(|error| ClientError::Decode {
        addr,
        message: error.to_string(),
    })
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Whether an error's cause is a refused connection.
fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let causes = std::iter::successors(Some(error), |cause| cause.source());
    causes
        .filter_map(|cause| cause.downcast_ref::<std::io::Error>())
        .any(|cause| cause.kind() == std::io::ErrorKind::ConnectionRefused)
}
