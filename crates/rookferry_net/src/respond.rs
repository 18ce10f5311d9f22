//! Builds HTTP responses from values.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use serde::Serialize;

/// Builds a JSON response; a value that can't be encoded results in status 500.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    json_response_as(status, "application/json", value)
}

/// Like [`json_response`], with another content type.
#[must_use]
pub fn json_response_as<T: Serialize>(
    status: StatusCode,
    content_type: &'static str,
    value: &T,
) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => response(status, content_type, body.into()),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Builds a plain text response.
#[must_use]
pub fn text_response(status: StatusCode, text: String) -> Response<Body> {
    response(status, "text/plain; charset=utf-8", text.into())
}

fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
