//! Parses the `Retry-After` header, by which a server requests a backoff. The value is a
//! number of seconds, also with a fraction, or an HTTP date.
//!
//! A date is relative to the `Date` header of the same response, so that the clocks of
//! the two machines needn't agree. Without a `Date` it is relative to the local clock.

use std::time::Duration;
use std::time::SystemTime;

use http::HeaderMap;
use http::HeaderName;
use http::header::DATE;
use http::header::RETRY_AFTER;
use snafu::Snafu;

/// Upper bound of a parsed backoff; longer ones are reduced to it. Callers apply far
/// lower bounds of their own.
const MAX_BACKOFF: Duration = Duration::from_hours(24);

/// A `Retry-After` header that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("Retry-After is {value:?}, neither seconds nor a date"))]
pub struct RetryAfterError {
    /// Value of the header.
    pub value: String,
}

/// Returns the backoff that a response requests, at most 24 hours; `None` without the
/// header.
///
/// # Errors
///
/// If the value is neither a number of seconds nor an HTTP date.
pub fn parse_retry_after(headers: &HeaderMap) -> Result<Option<Duration>, RetryAfterError> {
    let Some(value) = headers.get(RETRY_AFTER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim();
    let backoff = parse_seconds(text).or_else(|| parse_date(text, headers));
    let backoff = backoff.ok_or_else(|| RetryAfterError {
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    })?;
    Ok(Some(backoff.min(MAX_BACKOFF)))
}

/// Parses digits with at most one decimal point. Other forms that `f64` accepts, such as
/// exponents or `inf`, are not valid here.
fn parse_seconds(text: &str) -> Option<Duration> {
    let is_number = text.contains(|c: char| c.is_ascii_digit())
        && text.chars().all(|c| c.is_ascii_digit() || c == '.');
    if !is_number {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_BACKOFF))
}

fn parse_date(text: &str, headers: &HeaderMap) -> Option<Duration> {
    let at = httpdate::parse_http_date(text).ok()?;
    let now = header_date(headers, &DATE).unwrap_or_else(SystemTime::now);
    // A date in the past requests no backoff.
    Some(at.duration_since(now).unwrap_or(Duration::ZERO))
}

fn header_date(headers: &HeaderMap, name: &HeaderName) -> Option<SystemTime> {
    let text = headers.get(name)?.to_str().ok()?;
    httpdate::parse_http_date(text).ok()
}
