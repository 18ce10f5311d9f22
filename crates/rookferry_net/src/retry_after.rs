//! The backoff that a server asks for by its answer's `Retry-After` header: in
//! seconds, here also with a fraction, or as a date.
//!
//! A date is taken from the answer's own `Date`, so that the clocks of the two
//! machines needn't agree; without one it is taken from this machine's.

use std::time::Duration;
use std::time::SystemTime;

use http::HeaderMap;
use http::HeaderName;
use http::header::DATE;
use http::header::RETRY_AFTER;
use snafu::Snafu;

/// The longest time that is told apart; what is beyond reads as this much. Who
/// goes by it has a far lower bound.
const LONGEST: Duration = Duration::from_hours(24);

/// A `Retry-After` that doesn't read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("Retry-After is {value:?}, neither seconds nor a date"))]
pub struct RetryAfterError {
    /// What stands there.
    pub value: String,
}

/// The backoff that an answer asks for, if any.
///
/// # Errors
///
/// If it is neither seconds nor a date.
pub fn retry_after(headers: &HeaderMap) -> Result<Option<Duration>, RetryAfterError> {
    let Some(value) = headers.get(RETRY_AFTER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim();
    let wait = seconds(text).or_else(|| until_date(text, headers));
    let wait = wait.ok_or_else(|| RetryAfterError {
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    })?;
    Ok(Some(wait.min(LONGEST)))
}

/// Digits with at most one point; not all that reads as a float is meant as a
/// time.
fn seconds(text: &str) -> Option<Duration> {
    let is_number = text.contains(|sign: char| sign.is_ascii_digit())
        && text
            .chars()
            .all(|sign| sign.is_ascii_digit() || sign == '.');
    if !is_number {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST))
}

fn until_date(text: &str, headers: &HeaderMap) -> Option<Duration> {
    let at = httpdate::parse_http_date(text).ok()?;
    let now = date(headers, &DATE).unwrap_or_else(SystemTime::now);
    // One that has gone by asks for no time.
    Some(at.duration_since(now).unwrap_or(Duration::ZERO))
}

fn date(headers: &HeaderMap, name: &HeaderName) -> Option<SystemTime> {
    let text = headers.get(name)?.to_str().ok()?;
    httpdate::parse_http_date(text).ok()
}
