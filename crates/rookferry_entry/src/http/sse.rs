//! Model answers as server-sent events: one event per token, then `[DONE]`, or an
//! `error` event if the answer is incomplete.

use std::convert::Infallible;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::HeaderValue;
use http::Response;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use rookferry_net::clock;
use rookferry_wire::Problem;
use rookferry_wire::RequestId;
use rookferry_wire::StreamEvent;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::runner::TokenSink;

/// Last event of a complete answer.
const DONE: &str = "data: [DONE]\n\n";

/// Cancels a stream on drop, such as when its caller's response is dropped.
pub(super) struct CancelOnDrop(pub(super) watch::Sender<bool>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let _ = self.0.send(true);
    }
}

/// Collects a stream's tokens and their times, and sends them as events if there is
/// a receiver.
pub(super) struct TokenCollector {
    request_id: RequestId,
    events: Option<mpsc::UnboundedSender<Bytes>>,
    last_at: Instant,
    pub(super) tokens: Vec<u64>,
    pub(super) first_token: Option<Duration>,
    pub(super) gaps: Vec<Duration>,
}

impl TokenCollector {
    /// The time to the first token counts from `received_at`.
    pub(super) const fn new(
        request_id: RequestId,
        received_at: Instant,
        events: Option<mpsc::UnboundedSender<Bytes>>,
    ) -> Self {
        Self {
            request_id,
            events,
            last_at: received_at,
            tokens: Vec::new(),
            first_token: None,
            gaps: Vec::new(),
        }
    }

    /// Ends the events of a complete answer.
    pub(super) fn done(&self) {
        self.send(DONE.into());
    }

    /// Ends the events of an incomplete answer with an error.
    pub(super) fn failed(&self, problem: &Problem) {
        let json = serde_json::to_string(problem).unwrap_or_default();
        self.send(format!("event: error\ndata: {json}\n\n").into());
    }

    fn send(&self, event: Bytes) {
        if let Some(events) = &self.events {
            // A disconnected caller is detected by `CancelOnDrop`.
            let _ = events.send(event);
        }
    }
}

impl TokenSink for TokenCollector {
    fn token(&mut self, index: u32, token: u64) {
        let now = clock::now();
        let gap = now.saturating_duration_since(self.last_at);
        self.last_at = now;
        if self.first_token.is_none() {
            self.first_token = Some(gap);
        } else {
            self.gaps.push(gap);
        }
        self.tokens.push(token);
        if self.events.is_some() {
            self.send(token_event(&self.request_id, index, token));
        }
    }
}

/// Text of a token.
pub(super) fn token_text(token: u64) -> String {
    format!("{token} ")
}

fn token_event(request_id: &RequestId, index: u32, token: u64) -> Bytes {
    let event = StreamEvent {
        id: request_id.clone(),
        index,
        token,
        text: token_text(token),
    };
    let json = serde_json::to_string(&event).unwrap_or_default();
    format!("data: {json}\n\n").into()
}

/// A response that sends events as they arrive; dropping it drops `cancel`, which
/// cancels the stream.
pub(super) fn live(
    events: mpsc::UnboundedReceiver<Bytes>,
    cancel: Option<CancelOnDrop>,
) -> Response<Body> {
    let events = stream::unfold((events, cancel), |(mut events, cancel)| async move {
        let event = events.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(event)), (events, cancel)))
    });
    response(StreamBody::new(events.boxed()))
}

/// A response that repeats the events of a finished answer.
pub(super) fn replay(request_id: &RequestId, tokens: &[u64]) -> Response<Body> {
    let mut events: Vec<Bytes> = (0..)
        .zip(tokens)
        .map(|(index, token)| token_event(request_id, index, *token))
        .collect();
    events.push(DONE.into());
    let frames = events
        .into_iter()
        .map(|event| Ok::<_, Infallible>(Frame::data(event)));
    response(StreamBody::new(stream::iter(frames).boxed()))
}

fn response<B>(body: B) -> Response<Body>
where
    B: http_body::Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    let body = body.map_err(|never| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
