//! Responses to callers, with the headers that all of them carry.

use std::sync::atomic::Ordering;

use gotham::helpers::http::Body;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use rookferry_net::json_response_as;

use crate::answers::StoredAnswer;
use crate::entry::EntryState;
use crate::http::refusal::Refusal;

/// Content type of refusals.
pub(super) const PROBLEM_TYPE: &str = "application/problem+json";

const REQUEST_ID: HeaderName = HeaderName::from_static("rookferry-request-id");

/// The response for a refusal.
pub(super) fn refused(entry: &EntryState, refusal: &Refusal) -> Response<Body> {
    let problem = refusal.problem();
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response_as(status, PROBLEM_TYPE, &problem);
    if let Some(wait_ms) = problem.retry_after_ms {
        let seconds = HeaderValue::from(wait_ms.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    finished(entry, refusal.request_id(), response)
}

/// The response for a stored answer.
pub(super) fn stored(entry: &EntryState, answer: &StoredAnswer) -> Response<Body> {
    let body = Full::new(answer.body.clone().into()).map_err(|never| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
    }
    finished(entry, &answer.request_id, response)
}

/// Adds the request id. On a leaving instance it also closes the connection, so
/// that the caller connects to another one.
pub(super) fn finished(
    entry: &EntryState,
    request_id: &str,
    mut response: Response<Body>,
) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    if entry.leaving.load(Ordering::SeqCst) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
