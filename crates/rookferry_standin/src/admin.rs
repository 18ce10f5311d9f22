//! Faults on order, the same for every stand-in.

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

/// How long a stand-in that has ended is away.
pub(crate) const DOWN: Duration = Duration::from_millis(300);

/// Faults of one stand-in; absent fields stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Answers nothing until thawed, then goes on with what came meanwhile.
    pub frozen: Option<bool>,
    /// Breaks every connection.
    pub dead: Option<bool>,
    /// Delay of each message, both ways.
    pub delay_ms: Option<u64>,
    /// Performs this many calls and then loses their answers.
    pub lose_answers: Option<u32>,
    /// Says that it leaves.
    pub leaving: Option<bool>,
    /// Refuses the next calls with 503 and this `Retry-After`.
    pub retry_after: Option<String>,
    /// How many calls it refuses so.
    pub refusals: Option<u32>,
    /// Ends when it begins to run work with this text in it, and is back after
    /// a while.
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
    /// Calls that came since it last refused one so.
    calls_since: Option<u32>,
    ends_under: Option<String>,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct FaultState {
    faults: Mutex<Faults>,
    changed: Notify,
}

impl FaultState {
    /// Puts faults in force.
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
                faults.ends_under.clone_from(&fault.ends_under);
            }
        }
        self.changed.notify_waiters();
    }

    /// Whether connections break.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        self.lock().is_dead
    }

    /// Whether it says that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.lock().is_leaving
    }

    /// Whether the stand-in ends under work with some bytes in it.
    #[must_use]
    pub fn ends_under(&self, work: &[u8]) -> bool {
        let faults = self.lock();
        let text = faults.ends_under.as_deref().map(str::as_bytes);
        text.is_some_and(|text| work.windows(text.len()).any(|part| part == text))
    }

    /// Counts a call; gives the refusal with a backoff, if it gets one.
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

    /// Calls that came since it last asked for a backoff, if it has.
    pub(crate) fn calls_since_asked(&self) -> Option<u32> {
        self.lock().calls_since
    }

    /// Takes one of the answers to be lost.
    #[must_use]
    pub fn loses_answer(&self) -> bool {
        let mut faults = self.lock();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }

    /// Waits as long as messages are delayed or nothing is answered.
    pub async fn pass(&self) {
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

/// A response whose connection breaks.
pub(crate) fn broken_connection() -> Response<Body> {
    let broken = stream::iter([Err::<http_body::Frame<Bytes>, _>(
        io::ErrorKind::ConnectionReset.into(),
    )]);
    Response::new(UnsyncBoxBody::new(StreamBody::new(broken)))
}
