//! The names and formats that callers and backend servers speak.
//!
//! The relay decides; an implementation of [`ServerProtocol`] only encodes
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
use snafu::Snafu;

/// Names of the headers that carry what the relay reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's id of the attempt.
    pub attempt: HeaderName,
    /// Milliseconds that the caller, or the relay, will still wait.
    pub time_left_ms: HeaderName,
    /// The last event that a resumed stream has delivered.
    pub last_event: HeaderName,
    /// The server's signature of an answer.
    pub signature: HeaderName,
    /// The client account, set by the relay.
    pub account: HeaderName,
    /// The start of a server that alone may run the request.
    pub expected_server: HeaderName,
    /// Set by servers on answers to requests that they didn't run.
    pub not_run: HeaderName,
    /// The engines that a request passes.
    pub path: HeaderName,
    /// The engine at fault, in refusals.
    pub faulty_server: HeaderName,
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The attempt's id, if there is one that reads.
    pub attempt: Option<String>,
    /// How long the caller will wait, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Tokens of the answer that the caller expects, if it says so.
    pub expected_answer_tokens: Option<u32>,
    /// The last event that an earlier attempt delivered.
    pub last_event: Option<u64>,
}

impl CallerHead {
    /// Tokens that the request holds in an engine's cache, over its life on
    /// average. The caller's guess has the mean of what comes; the most that
    /// it asks for is three times that, and had a fifth of the room unused.
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
    /// When it started, in Unix milliseconds, if it tells.
    pub incarnation: Option<Incarnation>,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Orders taken since its start.
    pub sequence: u64,
    /// The layers it holds, ready to run.
    pub held: Option<LayerRange>,
    /// How many times as long as published its steps take.
    pub slowdown: f64,
}

impl EngineReport {
    /// Whether it is of the start that an entry is of, as far as both tell.
    #[must_use]
    pub fn is_from(&self, entry: &BackendServer) -> bool {
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

/// Names the server that a request of the relay's own goes to.
pub(crate) fn set_host(request: &mut Request<Full<Bytes>>, addr: SocketAddr) {
    // An address is always fit for a header.
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
}

/// A body or header that doesn't read.
#[derive(Debug, Snafu)]
#[snafu(display("what the server says doesn't read: {message}"))]
pub struct FormatError {
    /// The cause.
    pub message: String,
}

/// Encodes and decodes what callers and backend servers speak.
pub trait ServerProtocol: Send + Sync {
    /// The names of headers.
    fn names(&self) -> &HeaderNames;

    /// Reads a caller's headers.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Whether an answer says that its server is leaving.
    ///
    /// # Errors
    ///
    /// If what it says doesn't read.
    fn says_leaving(&self, headers: &HeaderMap) -> Result<bool, FormatError>;

    /// The requests a second that a server takes of all instances together, if an
    /// answer names them.
    ///
    /// # Errors
    ///
    /// If what it names doesn't read.
    fn named_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, FormatError>;

    /// A path as the header that names it.
    fn path_value(&self, path: &PipelinePath) -> HeaderValue;

    /// The call that asks an engine for its report.
    fn report_call(&self) -> EngineCall;

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// If it doesn't read.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport, FormatError>;

    /// The order to hold layers; an engine whose sequence isn't the expected
    /// one doesn't take it.
    fn place_call(&self, layers: LayerRange, expected_sequence: Option<u64>) -> EngineCall;

    /// The order to move a running request to another path with the same
    /// first stage.
    fn repath_call(&self, attempt: &str, path: &PipelinePath) -> EngineCall;

    /// The engine that a refused order names.
    fn refused_stage(&self, body: &[u8]) -> Option<SocketAddr>;
}
