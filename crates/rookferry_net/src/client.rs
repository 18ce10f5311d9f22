//! An HTTP client whose errors distinguish requests of which no byte was sent from those
//! that the server may have processed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future;
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
use crate::parse_retry_after;

/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Timeout of a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of pooled idle connections per backend server.
const MAX_IDLE_PER_HOST: usize = 64;

/// Reason why a request has no successful response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection could not be established; no byte of the request was sent.
    #[snafu(display("could not connect to {addr}: {message}"))]
    NotConnected {
        /// Address of the server.
        addr: SocketAddr,
        /// The cause.
        message: String,
        /// Whether the connection was refused: no process listens at the address.
        is_connection_refused: bool,
    },
    /// No response arrived in time; the server may have processed the request.
    #[snafu(display("no answer from {addr} within {} ms", wait.as_millis()))]
    TimedOut {
        /// Address of the server.
        addr: SocketAddr,
        /// The timeout.
        wait: Duration,
    },
    /// The connection broke; the server may have processed the request.
    #[snafu(display("connection to {addr} broke: {message}"))]
    Broken {
        /// Address of the server.
        addr: SocketAddr,
        /// The cause.
        message: String,
    },
    /// The response has a status other than success.
    #[snafu(display("{addr} answered {status}: {body}"))]
    Status {
        /// Address of the server.
        addr: SocketAddr,
        /// HTTP status.
        status: StatusCode,
        /// Response body as text.
        body: String,
        /// The backoff that the response requests, if any.
        retry_after: Result<Option<Duration>, RetryAfterError>,
    },
    /// The server requested a backoff that hasn't expired; no byte was sent.
    #[snafu(display("backing off from {addr} for {} ms more", remaining.as_millis()))]
    BackedOff {
        /// Address of the server.
        addr: SocketAddr,
        /// Remaining time of the backoff.
        remaining: Duration,
    },
    /// A request could not be encoded, or a response could not be decoded.
    #[snafu(display("could not encode the request to {addr} or decode its response: {message}"))]
    Decode {
        /// Address of the server.
        addr: SocketAddr,
        /// The cause.
        message: String,
    },
}

impl ClientError {
    /// Whether it is certain that no byte of the request was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::BackedOff { .. })
    }

    /// Whether the connection was refused because no process listens at the address.
    #[must_use]
    pub const fn is_connection_refused(&self) -> bool {
        matches!(
            self,
            Self::NotConnected {
                is_connection_refused: true,
                ..
            }
        )
    }
}

/// A successful response with its complete body.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl ClientResponse {
    /// Decodes the body as JSON; `addr` is the server's address, used in the error.
    ///
    /// # Errors
    ///
    /// If the body isn't JSON of type `T`.
    pub fn json<T: DeserializeOwned>(&self, addr: SocketAddr) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|error| ClientError::Decode {
            addr,
            message: error.to_string(),
        })
    }
}

/// An HTTP/1.1 client with a connection pool that clones share.
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
    /// Creates a client with an empty pool.
    ///
    /// The client never retries a request by itself, not even if a pooled connection
    /// turns out to be closed; the caller decides about retries.
    #[must_use]
    pub fn new() -> Self {
        Self::with_idle_connections(MAX_IDLE_PER_HOST)
    }

    /// Creates a client that opens a new connection for each request.
    #[must_use]
    pub fn without_pool() -> Self {
        Self::with_idle_connections(0)
    }

    fn with_idle_connections(max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the response without reading its body.
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
        let Ok(result) = tokio::time::timeout(wait, self.inner.request(request)).await else {
            return Err(ClientError::TimedOut { addr, wait });
        };
        result.map_err(|error| {
            let message = error_chain(&error);
            if error.is_connect() {
                let is_connection_refused = is_connection_refused(&error);
                return ClientError::NotConnected {
                    addr,
                    message,
                    is_connection_refused,
                };
            }
            ClientError::Broken { addr, message }
        })
    }

    /// Sends a POST request with a JSON body and decodes a JSON response.
    ///
    /// # Errors
    ///
    /// If there is no successful response of type `T` within `wait`.
    pub async fn post<Q: Serialize + Sync, T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Q,
        wait: Duration,
    ) -> Result<T, ClientError> {
        self.call(Method::POST, addr, path, Some(body), wait).await
    }

    /// Sends a GET request and decodes a JSON response.
    ///
    /// # Errors
    ///
    /// If there is no successful response of type `T` within `wait`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<T, ClientError> {
        self.call(Method::GET, addr, path, None::<&()>, wait).await
    }

    /// Sends a GET request and returns the response undecoded.
    ///
    /// # Errors
    ///
    /// If there is no successful response within `wait`.
    pub async fn get_raw(
        &self,
        addr: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<ClientResponse, ClientError> {
        self.call_raw(Method::GET, addr, path, None::<&()>, wait)
            .await
    }

    /// Like [`HttpClient::get_raw`], but if no response has begun after `hedge_after`, the
    /// request is sent again over a new connection; the first response counts.
    ///
    /// A connection that has died silently then costs `hedge_after` instead of `wait`.
    ///
    /// # Errors
    ///
    /// If there is no successful response within `wait`.
    pub async fn get_hedged(
        &self,
        addr: SocketAddr,
        path: &str,
        hedge_after: Duration,
        wait: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let whole = async {
            let response = self.send_hedged(addr, path, hedge_after, wait).await?;
            read_response(addr, response).await
        };
        let Ok(result) = tokio::time::timeout(wait, whole).await else {
            return Err(ClientError::TimedOut { addr, wait });
        };
        result
    }

    /// The response to the first of both requests that succeeds.
    async fn send_hedged(
        &self,
        addr: SocketAddr,
        path: &str,
        hedge_after: Duration,
        wait: Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        let request = || build_request(Method::GET, addr, path, Bytes::new());
        let first = self.send(addr, request()?, wait);
        tokio::pin!(first);
        if let Ok(response) = tokio::time::timeout(hedge_after, &mut first).await {
            return response;
        }
        let client = Self::without_pool();
        let second = client.send(addr, request()?, wait);
        let (response, _) = future::select_ok([first.boxed(), second.boxed()]).await?;
        Ok(response)
    }

    /// Sends a GET request and returns the response body as text.
    ///
    /// # Errors
    ///
    /// If there is no successful response within `wait`.
    pub async fn get_text(
        &self,
        addr: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<String, ClientError> {
        let response = self.get_raw(addr, path, wait).await?;
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    /// Sends a request with an optional JSON body and decodes a JSON response.
    ///
    /// # Errors
    ///
    /// If there is no successful response of type `T` within `wait`.
    pub async fn call<Q: Serialize + Sync, T: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Option<&Q>,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let response = self.call_raw(method, addr, path, body, wait).await?;
        response.json(addr)
    }

    /// Sends a request with an optional JSON body and returns the response undecoded.
    ///
    /// # Errors
    ///
    /// If there is no successful response within `wait`.
    pub async fn call_raw<Q: Serialize + Sync>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Option<&Q>,
        wait: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let body = match body {
            Some(value) => serde_json::to_vec(value).map_err(|error| ClientError::Decode {
                addr,
                message: error.to_string(),
            })?,
            None => Vec::new(),
        };
        let request = build_request(method, addr, path, body.into())?;
        self.exchange(addr, request, wait).await
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let whole = async {
            let response = self.send(addr, request, wait).await?;
            read_response(addr, response).await
        };
        let Ok(result) = tokio::time::timeout(wait, whole).await else {
            return Err(ClientError::TimedOut { addr, wait });
        };
        result
    }
}

/// Reads a response to its end; a status other than success is an error.
async fn read_response(
    addr: SocketAddr,
    response: Response<Incoming>,
) -> Result<ClientResponse, ClientError> {
    let (head, body) = response.into_parts();
    let status = head.status;
    let retry_after = parse_retry_after(&head.headers);
    let body = read_body(addr, body).await?;
    if status.is_success() {
        let headers = head.headers;
        return Ok(ClientResponse { headers, body });
    }
    Err(ClientError::Status {
        addr,
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        retry_after,
    })
}

async fn read_body(addr: SocketAddr, body: Incoming) -> Result<Bytes, ClientError> {
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let collected = collected.map_err(|error| ClientError::Broken {
        addr,
        message: error.to_string(),
    })?;
    Ok(collected.to_bytes())
}

fn build_request(
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

/// Whether an error was caused by a refused connection.
fn is_connection_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let causes = std::iter::successors(Some(error), |cause| cause.source());
    causes
        .filter_map(|cause| cause.downcast_ref::<std::io::Error>())
        .any(|cause| cause.kind() == std::io::ErrorKind::ConnectionRefused)
}
