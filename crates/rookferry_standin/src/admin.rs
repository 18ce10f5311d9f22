//! Fault injection shared by all stand-ins.
//!
//! `POST /admin/fault` takes a `Fault`. The request handlers check the active faults in
//! `FaultState` before and after their work.

use std::io;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use rookferry_net::text_response;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// Time until a stand-in that crashed under `Fault::ends_under` is up again.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(300);

/// A change to the faults of one stand-in; absent fields keep their value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Suspends all processing until reset; requests received meanwhile are then
    /// processed.
    pub frozen: Option<bool>,
    /// Breaks every connection; a model engine also loses its streams, as in a crash.
    pub dead: Option<bool>,
    /// Delay before a call is processed; model engines also delay the response.
    pub delay_ms: Option<u64>,
    /// Number of writes, step requests or service calls that are performed but whose
    /// connection breaks before the response.
    pub lose_answers: Option<u32>,
    /// Model engines only: reports that it is leaving, and refuses new streams.
    pub leaving: Option<bool>,
    /// `Retry-After` value of the 503 responses that `refusals` counts.
    pub retry_after: Option<String>,
    /// Number of calls to refuse with 503 and `retry_after`.
    pub refusals: Option<u32>,
    /// Crashes when it starts work that contains this text, and restarts 300 ms later.
    pub ends_under: Option<String>,
}

#[derive(Debug, Default)]
struct Faults {
    is_frozen: bool,
    is_dead: bool,
    delay: Duration,
    lose_answers: u32,
    is_leaving: bool,
    retry_after: Option<String>,
    refusals: u32,
    /// Calls received since the last refusal with `retry_after`.
    calls_since: Option<u32>,
    crash_text: Option<String>,
}

/// Active faults of a stand-in.
#[derive(Debug, Default)]
pub struct FaultState {
    faults: Mutex<Faults>,
    changed: Notify,
}

impl FaultState {
    /// Applies a change and wakes suspended calls.
    pub fn apply(&self, fault: &Fault) {
        {
            let mut faults = self.lock();
            faults.is_frozen = fault.frozen.unwrap_or(faults.is_frozen);
            faults.is_dead = fault.dead.unwrap_or(faults.is_dead);
            faults.delay = fault.delay_ms.map_or(faults.delay, Duration::from_millis);
            faults.lose_answers = fault.lose_answers.unwrap_or(faults.lose_answers);
            faults.is_leaving = fault.leaving.unwrap_or(faults.is_leaving);
            faults.refusals = fault.refusals.unwrap_or(faults.refusals);
            if fault.retry_after.is_some() {
                faults.retry_after.clone_from(&fault.retry_after);
                faults.calls_since = None;
            }
            if fault.ends_under.is_some() {
                faults.crash_text.clone_from(&fault.ends_under);
            }
        }
        self.changed.notify_waiters();
    }

    /// Whether every connection is to be broken.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        self.lock().is_dead
    }

    /// Whether the stand-in reports that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.lock().is_leaving
    }

    /// Whether this work crashes the stand-in, because it contains the configured text.
    #[must_use]
    pub fn crashes_on(&self, work: &[u8]) -> bool {
        let faults = self.lock();
        let text = faults.crash_text.as_deref().map(str::as_bytes);
        text.is_some_and(|text| work.windows(text.len()).any(|part| part == text))
    }

    /// Counts a call and returns the 503 response to refuse it with, if any.
    pub(crate) fn refusal_with_backoff(&self) -> Option<Response<Body>> {
        let mut faults = self.lock();
        let retry_after = faults.retry_after.clone()?;
        faults.calls_since = faults.calls_since.map(|calls| calls + 1);
        faults.refusals = faults.refusals.checked_sub(1)?;
        faults.calls_since = Some(0);
        drop(faults);
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "later".to_owned());
        if let Ok(value) = HeaderValue::from_str(&retry_after) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        Some(response)
    }

    /// Calls received since the last refusal with `retry_after`; `None` before one.
    pub(crate) fn calls_since_refusal(&self) -> Option<u32> {
        self.lock().calls_since
    }

    /// Whether the response of this call is lost; counts down `lose_answers`.
    #[must_use]
    pub fn drops_response(&self) -> bool {
        let mut faults = self.lock();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }

    /// Waits until the stand-in isn't frozen, then for the configured delay.
    pub async fn delay_message(&self) {
        loop {
            let changed = self.changed.notified();
            let (is_frozen, delay) = {
                let faults = self.lock();
                (faults.is_frozen, faults.delay)
            };
            if !is_frozen {
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A response whose body fails at once, which breaks the connection.
pub(crate) fn broken_connection() -> Response<Body> {
    let broken = stream::iter([Err::<http_body::Frame<Bytes>, _>(
        io::ErrorKind::ConnectionReset.into(),
    )]);
    Response::new(UnsyncBoxBody::new(StreamBody::new(broken)))
}
