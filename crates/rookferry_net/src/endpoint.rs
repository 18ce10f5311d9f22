//! Adapts async functions of an application and a request to gotham handlers.

use std::fmt;
use std::panic::AssertUnwindSafe;
use std::panic::RefUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::Handler;
use gotham::handler::HandlerFuture;
use gotham::handler::NewHandler;
use gotham::helpers::http::Body;
use gotham::router::response::ResponseExtender;
use gotham::state::State;
use gotham::state::client_addr;
use http::Response;
use http::StatusCode;
use http_body_util::combinators::UnsyncBoxBody;
use rookferry_wire::Outcome;
use rookferry_wire::Problem;
use rookferry_wire::ReasonCode;

use crate::ConnectionTable;
use crate::InboundRequest;
use crate::RequestGuard;
use crate::json_response_as;

/// A gotham handler made of an async function and its application state.
pub struct Endpoint<A, F> {
    app: AssertUnwindSafe<Arc<A>>,
    connections: AssertUnwindSafe<ConnectionTable>,
    call: F,
}

/// Creates a handler that calls an async function with the application state. Each request
/// counts as active in `connections` until its response body is dropped.
#[must_use]
pub fn endpoint<A, F>(app: &Arc<A>, connections: &ConnectionTable, call: F) -> Endpoint<A, F> {
    Endpoint {
        app: AssertUnwindSafe(app.clone()),
        connections: AssertUnwindSafe(connections.clone()),
        call,
    }
}

impl<A, F: Clone> Clone for Endpoint<A, F> {
    fn clone(&self) -> Self {
        Self {
            app: AssertUnwindSafe(self.app.0.clone()),
            connections: AssertUnwindSafe(self.connections.0.clone()),
            call: self.call.clone(),
        }
    }
}

impl<A, F> fmt::Debug for Endpoint<A, F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Endpoint").finish_non_exhaustive()
    }
}

impl<A, F, R> NewHandler for Endpoint<A, F>
where
    A: Send + Sync + 'static,
    F: Fn(Arc<A>, InboundRequest) -> R + Clone + Send + Sync + RefUnwindSafe + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<A, F, R> Handler for Endpoint<A, F>
where
    A: Send + Sync + 'static,
    F: Fn(Arc<A>, InboundRequest) -> R + Send + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let guard = client_addr(&state).map(|addr| self.connections.0.start_request(addr));
        let inbound = InboundRequest::from_state(&mut state);
        async move {
            let response = (self.call)(self.app.0, inbound).await;
            let response = response.map(|inner| {
                UnsyncBoxBody::new(ActiveRequestBody {
                    inner,
                    _guard: guard,
                })
            });
            Ok((state, response))
        }
        .boxed()
    }
}

/// A response body that keeps its request counted as active until it is dropped.
struct ActiveRequestBody {
    inner: Body,
    _guard: Option<RequestGuard>,
}

impl http_body::Body for ActiveRequestBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}

/// Replaces gotham's responses to unknown paths and methods by problem bodies.
#[derive(Clone, Copy, Debug)]
pub struct NotFound;

impl ResponseExtender<Body> for NotFound {
    fn extend(&self, _state: &mut State, response: &mut Response<Body>) {
        let status = response.status();
        let problem = Problem {
            title: "no such path or method".to_owned(),
            status: status.as_u16(),
            detail:
                "the path or method is not served here; see docs/OPERATIONS.md for those that are"
                    .to_owned(),
            reason: ReasonCode::NotFound,
            outcome: Outcome::NotRun,
            request_id: "unassigned".into(),
            retry_after_ms: None,
            ticket: None,
        };
        let code = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::NOT_FOUND);
        *response = json_response_as(code, "application/problem+json", &problem);
    }
}
