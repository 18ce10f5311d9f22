//! The interface to the names and formats of callers and backend servers.
//!
//! The relay makes the decisions; an implementation of [`ServerProtocol`] only encodes
//! and decodes.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use rookferry_core::BackendServer;
use rookferry_core::PipelinePath;
use rookferry_wire::Incarnation;
use rookferry_wire::LayerRange;
use rookferry_wire::SegmentId;
use snafu::Snafu;

/// Names of the headers that the relay reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's ID of the attempt.
    pub attempt: HeaderName,
    /// Milliseconds that the caller, or the relay, will still wait.
    pub time_left_ms: HeaderName,
    /// The last event that a resumed stream has delivered.
    pub last_event: HeaderName,
    /// The server's signature of an answer.
    pub signature: HeaderName,
    /// The client account, set by the relay.
    pub account: HeaderName,
    /// The only server incarnation that may run the request.
    pub expected_server: HeaderName,
    /// Set by servers on answers to requests that they didn't run.
    pub not_run: HeaderName,
    /// The engines that a request passes through.
    pub path: HeaderName,
    /// The engine that caused a refusal.
    pub faulty_server: HeaderName,
}

/// The values of a caller's headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The attempt's ID, if there is a valid one.
    pub attempt: Option<String>,
    /// How long the caller will wait, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Tokens of the answer that the caller expects, if given.
    pub expected_answer_tokens: Option<u32>,
    /// The last event that an earlier attempt delivered.
    pub last_event: Option<u64>,
}

impl CallerHead {
    /// Tokens that the request occupies in an engine's cache, averaged over its duration.
    /// The caller's estimate matches the mean length of answers; the maximum that it asks
    /// for is three times that, and left a fifth of the cache unused.
    #[must_use]
    pub fn held_tokens(&self) -> f64 {
        let most = self.answer_tokens;
        let answer = self.expected_answer_tokens.unwrap_or(most).min(most);
        f64::from(self.prompt_tokens) + f64::from(answer) / 2.0
    }
}

/// An engine's report on itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// When it started, in Unix milliseconds, if reported.
    pub incarnation: Option<Incarnation>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Orders accepted since its start.
    pub sequence: u64,
    /// The layers that it holds, ready to run.
    pub held: Option<LayerRange>,
    /// The factor by which its steps take longer than published.
    pub slowdown: f64,
}

impl EngineReport {
    /// Whether the report and `entry` are of the same incarnation; true if either doesn't
    /// state it.
    #[must_use]
    pub fn is_same_incarnation(&self, entry: &BackendServer) -> bool {
        let starts = self.incarnation.zip(entry.incarnation);
        starts.is_none_or(|(reported, listed)| reported == listed)
    }
}

/// A call to an engine's own interface.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Path of the call.
    pub path: &'static str,
    /// JSON body; empty for a read.
    pub body: Bytes,
}

impl EngineCall {
    /// The call as a request to the engine at an address.
    pub(crate) fn request(&self, addr: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.uri_mut() = Uri::from_static(self.path);
        set_host(&mut request, addr);
        if !self.body.is_empty() {
            *request.method_mut() = Method::POST;
            let json = HeaderValue::from_static("application/json");
            request.headers_mut().insert(CONTENT_TYPE, json);
        }
        request
    }
}

/// Sets the `Host` header of a request that the relay itself makes.
pub(crate) fn set_host(request: &mut Request<Full<Bytes>>, addr: SocketAddr) {
    // An address is always a valid header value.
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
}

/// A body or header that can't be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("a header or body of the server can't be parsed: {message}"))]
pub struct FormatError {
    /// The cause.
    pub message: String,
}

/// Encodes and decodes the formats of callers and backend servers.
pub trait ServerProtocol: Send + Sync {
    /// The names of headers.
    fn names(&self) -> &HeaderNames;

    /// Parses a caller's headers.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// The segments of a request's prompt that other requests may share, in order; none
    /// without a prompt.
    ///
    /// # Errors
    ///
    /// If the header can't be parsed.
    fn prompt_segments(&self, headers: &HeaderMap) -> Result<Vec<SegmentId>, FormatError>;

    /// Whether an answer says that its server is leaving.
    ///
    /// # Errors
    ///
    /// If the header can't be parsed.
    fn reports_leaving(&self, headers: &HeaderMap) -> Result<bool, FormatError>;

    /// The requests per second that a server accepts from all instances together, if an
    /// answer states them.
    ///
    /// # Errors
    ///
    /// If the header can't be parsed.
    fn reported_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, FormatError>;

    /// Encodes a path as a header value.
    fn path_value(&self, path: &PipelinePath) -> HeaderValue;

    /// The call that asks an engine for its report.
    fn report_call(&self) -> EngineCall;

    /// Parses a report.
    ///
    /// # Errors
    ///
    /// If it can't be parsed.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport, FormatError>;

    /// The order to hold layers; an engine whose sequence isn't the expected one refuses
    /// it.
    fn place_call(&self, layers: LayerRange, expected_sequence: Option<u64>) -> EngineCall;

    /// The order to move a running request to another path with the same first stage.
    fn repath_call(&self, attempt: &str, path: &PipelinePath) -> EngineCall;

    /// The address of the engine that refused an order, if the response names it.
    fn refusing_stage_addr(&self, body: &[u8]) -> Option<SocketAddr>;
}
