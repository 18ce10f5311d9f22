//! Sends one request as a client would, and reads its response or event stream.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use rookferry_net::HttpClient;
use rookferry_wire::CompletionRequest;
use rookferry_wire::CompletionResponse;
use rookferry_wire::Problem;
use rookferry_wire::StreamEvent;
use serde::Serialize;

/// Outcome of a request, as the client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// A complete answer.
    Answered(CallResponse),
    /// An error response (problem document or error event) of the entry instance.
    Problem(Problem),
    /// The connection broke, the response was invalid, or it timed out; gives the cause.
    Cut(String),
}

/// A complete answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CallResponse {
    /// Request id that the entry instance assigned.
    pub id: String,
    /// Generated tokens; empty for plain services.
    pub tokens: Vec<u64>,
    /// Response body; empty for streamed answers.
    pub body: String,
    /// Time from sending to the first token; `None` unless streamed.
    pub first_token: Option<Duration>,
    /// Times between tokens, if streamed.
    pub gaps: Vec<Duration>,
}

/// HTTP client with the key of a client account.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    key: String,
    timeout: Duration,
}

/// Tokenizes a text as the fake model does: one token per byte.
#[must_use]
pub fn tokenize(text: &str) -> Vec<u64> {
    text.bytes().map(u64::from).collect()
}

impl Caller {
    /// A caller that waits up to `timeout` for a complete answer.
    #[must_use]
    pub const fn new(client: HttpClient, key: String, timeout: Duration) -> Self {
        Self {
            client,
            key,
            timeout,
        }
    }

    /// Sends a model call; with an `idempotency_key`, as one that must run at most once.
    pub async fn complete(
        &self,
        addr: SocketAddr,
        body: &CompletionRequest,
        idempotency_key: Option<&str>,
    ) -> CallOutcome {
        let json = serde_json::to_vec(body).unwrap_or_default();
        let mut request = self.request(Method::POST, addr, "/v1/completions");
        if let Some(key) = idempotency_key {
            request = request
                .header("idempotency-key", key)
                .header("rookferry-repeatable", "false");
        }
        self.exchange(addr, request, json.into(), body.stream).await
    }

    /// Calls a plain service; with an `idempotency_key`, the call must run at most once.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> CallOutcome {
        let mut request = self.request(method, addr, path);
        if let Some(key) = idempotency_key {
            request = request
                .header("idempotency-key", key)
                .header("rookferry-repeatable", "false");
        }
        self.exchange(addr, request, body.to_owned().into(), false)
            .await
    }

    fn request(&self, method: Method, addr: SocketAddr, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: http::request::Builder,
        body: Bytes,
        is_stream: bool,
    ) -> CallOutcome {
        let Ok(request) = request.body(Full::new(body)) else {
            return CallOutcome::Cut("invalid request".to_owned());
        };
        let outcome_future = self.read_outcome(addr, request, is_stream);
        match tokio::time::timeout(self.timeout, outcome_future).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::Cut("timed out before the answer was complete".to_owned()),
        }
    }

    async fn read_outcome(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        is_stream: bool,
    ) -> CallOutcome {
        let sent_at = Instant::now();
        let response = match self.client.send(addr, request, self.timeout).await {
            Ok(response) => response,
            Err(error) => return CallOutcome::Cut(error.to_string()),
        };
        let (head, mut body) = response.into_parts();
        let id = head.headers.get("rookferry-request-id");
        let id = id
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let mut reader = StreamReader::new(sent_at, id.clone());
        let mut bytes = Vec::new();
        let is_events = is_stream && head.status.is_success();
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return CallOutcome::Cut(error.to_string()),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if is_events {
                reader.push(&data);
            } else {
                bytes.extend_from_slice(&data);
            }
        }
        if is_events {
            return reader.finish();
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if !head.status.is_success() {
            return match serde_json::from_str(&text) {
                Ok(problem) => CallOutcome::Problem(problem),
                Err(error) => CallOutcome::Cut(format!(
                    "status {} without a valid problem document: {error}",
                    head.status
                )),
            };
        }
        CallOutcome::Answered(parse_response(id, text))
    }
}

fn parse_response(id: String, text: String) -> CallResponse {
    let tokens = serde_json::from_str::<CompletionResponse>(&text)
        .map_or_else(|_| Vec::new(), |body| body.tokens);
    CallResponse {
        id,
        tokens,
        body: text,
        ..CallResponse::default()
    }
}

/// Parses the server-sent events of a streamed answer.
struct StreamReader {
    buffer: String,
    last_token_at: Instant,
    answer: CallResponse,
    is_done: bool,
    problem: Option<Problem>,
    fault: Option<String>,
}

impl StreamReader {
    fn new(sent_at: Instant, id: String) -> Self {
        Self {
            buffer: String::new(),
            last_token_at: sent_at,
            answer: CallResponse {
                id,
                ..CallResponse::default()
            },
            is_done: false,
            problem: None,
            fault: None,
        }
    }

    fn push(&mut self, data: &[u8]) {
        self.buffer.push_str(&String::from_utf8_lossy(data));
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            self.on_event(event.trim_end());
        }
    }

    fn on_event(&mut self, event: &str) {
        let is_error = event.lines().any(|line| line == "event: error");
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            return;
        };
        if data == "[DONE]" {
            self.is_done = true;
            return;
        }
        if is_error {
            self.problem = serde_json::from_str(data).ok();
            return;
        }
        let Ok(token) = serde_json::from_str::<StreamEvent>(data) else {
            self.fault = Some(format!("invalid event: {data}"));
            return;
        };
        if token.index as usize != self.answer.tokens.len() || *token.id != *self.answer.id {
            self.fault = Some(format!("event with an unexpected index or id: {data}"));
        }
        self.on_token(token.token);
    }

    fn on_token(&mut self, token: u64) {
        let now = Instant::now();
        let gap = now.saturating_duration_since(self.last_token_at);
        if self.answer.first_token.is_none() {
            self.answer.first_token = Some(gap);
        } else {
            self.answer.gaps.push(gap);
        }
        self.last_token_at = now;
        self.answer.tokens.push(token);
    }

    fn finish(self) -> CallOutcome {
        if let Some(fault) = self.fault {
            return CallOutcome::Cut(fault);
        }
        if let Some(problem) = self.problem {
            return CallOutcome::Problem(problem);
        }
        if !self.is_done {
            return CallOutcome::Cut("the stream ended before [DONE]".to_owned());
        }
        CallOutcome::Answered(self.answer)
    }
}
