//! The relay's own answers: why no server's answer is passed on, and the status,
//! problem body and `Retry-After` that the caller gets.

use std::time::Duration;

use gotham::helpers::http::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::RETRY_AFTER;
use rookferry_core::RequestSignature;
use rookferry_net::json_response_as;
use rookferry_wire::Outcome;
use rookferry_wire::Problem;
use rookferry_wire::ReasonCode;

use crate::event_log::millis;
use crate::protocol::HeaderNames;

/// Why the relay answers in place of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request is invalid; the text is the problem's detail.
    BadRequest(&'static str),
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body was not received within the time limit.
    BodyTooSlow,
    /// The instance has no memory for the request.
    NoMemory,
    /// The instance has just started and has no configuration or list of servers yet;
    /// it is expected to after this time.
    Starting(Duration),
    /// The instance has no configuration, or one that may be outdated.
    ConfigUnknown,
    /// The same, and no live peer has a newer one.
    ConfigStale,
    /// The instance is stopping.
    Leaving,
    /// No server can take the request now; nothing was sent, or servers refused it.
    NoServer,
    /// The engines' caches are full; the caller may retry after this time.
    Overloaded(Duration),
    /// All servers asked this instance for a backoff, which ends after this time.
    BackedOff(Duration),
    /// The servers' limits for all instances are reached; retry after this time.
    AtLimit(Duration),
    /// Servers crashed each time that they ran the request, or others with a segment of its
    /// prompt; it is quarantined for `wait`.
    Quarantined {
        /// Of the request or of the segment.
        signature: RequestSignature,
        wait: Duration,
    },
    /// The deadline passed, and no server ran the request.
    TimedOutNotRun,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The request was sent, and its outcome is unknown.
    Unknown,
}

impl Refusal {
    /// The refusal after all tries failed.
    pub(crate) const fn after_failed_tries(has_run: bool, is_timed_out: bool) -> Self {
        match (has_run, is_timed_out) {
            (true, true) => Self::TimedOut,
            (true, false) => Self::Unknown,
            (false, true) => Self::TimedOutNotRun,
            (false, false) => Self::NoServer,
        }
    }

    /// Replaces `NoServer` by the refusal of a known cause, if there is one.
    pub(crate) fn or_known_cause(self, known: impl FnOnce() -> Option<Self>) -> Self {
        match self {
            Self::NoServer => known().unwrap_or(self),
            _ => self,
        }
    }

    /// The HTTP status.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory
            | Self::Starting(_)
            | Self::ConfigUnknown
            | Self::ConfigStale
            | Self::Leaving
            | Self::NoServer
            | Self::Overloaded(_)
            | Self::BackedOff(_)
            | Self::AtLimit(_)
            | Self::Quarantined { .. }
            | Self::TimedOutNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// The value of `cause` in logs and metrics.
    pub(crate) const fn cause(self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad_request",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoMemory => "no_memory",
            Self::Starting(_) => "starting",
            Self::ConfigUnknown => "config_unknown",
            Self::ConfigStale => "config_stale",
            Self::Leaving => "leaving",
            Self::NoServer => "no_server",
            Self::Overloaded(_) => "overloaded",
            Self::BackedOff(_) => "servers_backed_off",
            Self::AtLimit(_) => "servers_limited",
            Self::Quarantined { .. } => "quarantined",
            Self::TimedOutNotRun => "time_over_not_run",
            Self::TimedOut => "time_over",
            Self::Unknown => "unknown",
        }
    }

    /// Whether the request may have run.
    pub(crate) const fn outcome(self) -> Outcome {
        match self {
            Self::TimedOut | Self::Unknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// The signature that is quarantined; none for other refusals.
    pub(crate) const fn signature(self) -> Option<RequestSignature> {
        match self {
            Self::Quarantined { signature, .. } => Some(signature),
            _ => None,
        }
    }

    const fn reason(self) -> ReasonCode {
        match self {
            Self::BadRequest(_) => ReasonCode::BadRequest,
            Self::NoRoute => ReasonCode::NoRoute,
            Self::UnknownKey => ReasonCode::Unauthorized,
            Self::BodyTooLarge => ReasonCode::BodyTooLarge,
            Self::BodyTooSlow => ReasonCode::BodyTooSlow,
            Self::Starting(_) | Self::ConfigUnknown | Self::ConfigStale => ReasonCode::NotReady,
            Self::Leaving => ReasonCode::Leaving,
            Self::NoServer => ReasonCode::NoChain,
            Self::NoMemory | Self::Overloaded(_) | Self::BackedOff(_) | Self::AtLimit(_) => {
                ReasonCode::Overloaded
            }
            Self::Quarantined { .. } => ReasonCode::Quarantined,
            Self::TimedOutNotRun | Self::TimedOut => ReasonCode::DeadlinePassed,
            Self::Unknown => ReasonCode::EngineLost,
        }
    }

    /// When to retry, for refusals that promise that nothing ran.
    pub(crate) const fn retry_after(self) -> Option<Duration> {
        match self {
            // The store is unavailable to all instances and has been for seconds.
            Self::ConfigStale => Some(Duration::from_secs(1)),
            // Another instance may have the configuration.
            Self::ConfigUnknown | Self::Leaving => Some(Duration::from_millis(20)),
            // About the time to repair the placement with a standby copy of the layers.
            Self::NoServer => Some(Duration::from_millis(300)),
            Self::Starting(wait)
            | Self::Overloaded(wait)
            | Self::BackedOff(wait)
            | Self::AtLimit(wait)
            | Self::Quarantined { wait, .. } => Some(wait),
            // Another instance may have memory.
            Self::TimedOutNotRun | Self::BodyTooSlow | Self::NoMemory => {
                Some(Duration::from_millis(100))
            }
            _ => None,
        }
    }

    const fn detail(self) -> &'static str {
        match self {
            Self::BadRequest(detail) => detail,
            Self::NoRoute => "no route matches this host and path",
            Self::UnknownKey => "the key is missing or unknown; use one of the account's keys",
            Self::BodyTooLarge => "the body exceeds the size limit; send a shorter one",
            Self::BodyTooSlow => "the body did not arrive within the time limit; retry",
            Self::NoMemory => "this instance's memory for requests is in use; retry",
            Self::Starting(_) => "this instance has just started; retry after the stated time",
            Self::ConfigUnknown => "this instance lacks the newest configuration; retry",
            Self::ConfigStale => "no reachable instance has the newest configuration; retry later",
            Self::Leaving => "this instance is stopping; retry to reach another instance",
            Self::NoServer => "no server can take the request now; retry after the stated time",
            Self::Overloaded(_) => "the engines' caches are full; retry after the stated time",
            Self::BackedOff(_) => "all servers asked for a backoff; retry when it ends",
            Self::AtLimit(_) => "the servers' request limits are reached; retry when stated",
            Self::Quarantined { .. } => {
                "servers crashed each time that they ran this request, or others with a segment \
                 of its prompt; it is quarantined for a time"
            }
            Self::TimedOutNotRun => "the deadline passed before a server took the request",
            Self::TimedOut => "the deadline passed before the answer; the request may have run",
            Self::Unknown => "the answer is lost; the request may have run",
        }
    }

    /// The problem response, with `Retry-After` in seconds where a retry makes sense.
    pub(crate) fn response(self, names: &HeaderNames, attempt: Option<&str>) -> Response<Body> {
        let status = self.status();
        let retry_after = self.retry_after();
        let problem = Problem {
            title: self.cause().replace('_', " "),
            status: status.as_u16(),
            detail: self.detail().to_owned(),
            reason: self.reason(),
            outcome: self.outcome(),
            request_id: attempt.unwrap_or("unassigned").into(),
            retry_after_ms: retry_after.map(millis),
            ticket: None,
        };
        let mut response = json_response_as(status, "application/problem+json", &problem);
        let headers = response.headers_mut();
        if let Some(wait) = retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if let Some(Ok(value)) = attempt.map(HeaderValue::from_str) {
            headers.insert(names.attempt.clone(), value);
        }
        if matches!(self, Self::Leaving | Self::NoMemory) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
