//! What a caller is told when there is no server's answer.

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

/// Why a request gets no server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request itself is at fault.
    BadRequest(&'static str),
    /// No route leads there.
    NoRoute,
    /// The key isn't known.
    UnknownKey,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body came too slowly.
    BodyTooSlow,
    /// The instance has just started and doesn't know the site yet; it is likely to
    /// after a time.
    Starting(Duration),
    /// The instance doesn't know the configuration, or not well enough.
    ConfigUnknown,
    /// The same, and the instances that it hears don't know more.
    ConfigStale,
    /// The instance is stopping.
    Leaving,
    /// No server can take it now; nothing was sent, or it was refused.
    NoServer,
    /// The engines have no room for it; it comes back after a time.
    Overloaded(Duration),
    /// All servers asked this instance for a backoff.
    BackedOff(Duration),
    /// Servers named a limit for all instances, and take no more now.
    Limited(Duration),
    /// Servers ended each time that they ran it; it is held for a time.
    Quarantined {
        signature: RequestSignature,
        wait: Duration,
    },
    /// The time was over before it was sent, or while it was not run.
    TimeOverNotRun,
    /// It was sent, and the time was over before an answer.
    TimeOver,
    /// It was sent, and what became of it is not known.
    Unknown,
}

impl Refusal {
    /// For a request that was tried and got no answer.
    pub(crate) const fn after_tries(has_run: bool, is_time_over: bool) -> Self {
        match (has_run, is_time_over) {
            (true, true) => Self::TimeOver,
            (true, false) => Self::Unknown,
            (false, true) => Self::TimeOverNotRun,
            (false, false) => Self::NoServer,
        }
    }

    /// For a request that no server takes, another refusal if it is known why.
    pub(crate) fn or_known(self, known: impl FnOnce() -> Option<Self>) -> Self {
        match self {
            Self::NoServer => known().unwrap_or(self),
            _ => self,
        }
    }

    /// The status.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Starting(_)
            | Self::ConfigUnknown
            | Self::ConfigStale
            | Self::Leaving
            | Self::NoServer
            | Self::Overloaded(_)
            | Self::BackedOff(_)
            | Self::Limited(_)
            | Self::Quarantined { .. }
            | Self::TimeOverNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimeOver => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// A word for logs and metrics.
    pub(crate) const fn cause(self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad_request",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::Starting(_) => "starting",
            Self::ConfigUnknown => "config_unknown",
            Self::ConfigStale => "config_stale",
            Self::Leaving => "leaving",
            Self::NoServer => "no_server",
            Self::Overloaded(_) => "overloaded",
            Self::BackedOff(_) => "servers_backed_off",
            Self::Limited(_) => "servers_limited",
            Self::Quarantined { .. } => "quarantined",
            Self::TimeOverNotRun => "time_over_not_run",
            Self::TimeOver => "time_over",
            Self::Unknown => "unknown",
        }
    }

    /// What the caller may conclude.
    pub(crate) const fn outcome(self) -> Outcome {
        match self {
            Self::TimeOver | Self::Unknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// The signature of a request that is held.
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
            Self::Overloaded(_) | Self::BackedOff(_) | Self::Limited(_) => ReasonCode::Overloaded,
            Self::Quarantined { .. } => ReasonCode::Quarantined,
            Self::TimeOverNotRun | Self::TimeOver => ReasonCode::DeadlinePassed,
            Self::Unknown => ReasonCode::EngineLost,
        }
    }

    /// When to come back, for refusals that promise that nothing ran.
    pub(crate) const fn retry_after(self) -> Option<Duration> {
        match self {
            // The store is away for all; it was for seconds so far.
            Self::ConfigStale => Some(Duration::from_secs(1)),
            // Another instance may well know the configuration.
            Self::ConfigUnknown | Self::Leaving => Some(Duration::from_millis(20)),
            // About the time of a repair of placement by a standing copy.
            Self::NoServer => Some(Duration::from_millis(300)),
            Self::Starting(wait)
            | Self::Overloaded(wait)
            | Self::BackedOff(wait)
            | Self::Limited(wait)
            | Self::Quarantined { wait, .. } => Some(wait),
            Self::TimeOverNotRun | Self::BodyTooSlow => Some(Duration::from_millis(100)),
            _ => None,
        }
    }

    const fn detail(self) -> &'static str {
        match self {
            Self::BadRequest(detail) => detail,
            Self::NoRoute => "no route leads to this host and path",
            Self::UnknownKey => "the key is not known; use one of the account's keys",
            Self::BodyTooLarge => "the body is over the limit; send a shorter one",
            Self::BodyTooSlow => "the body did not arrive in time; send it at once",
            Self::Starting(_) => "this instance has just started; come back",
            Self::ConfigUnknown => "this instance doesn't know the newest configuration; come back",
            Self::ConfigStale => "no instance in reach knows the newest configuration; come back",
            Self::Leaving => "this instance is stopping; come back, another one answers",
            Self::NoServer => "no server can take the request now; come back",
            Self::Overloaded(_) => "the engines have no room for the request now; come back",
            Self::BackedOff(_) => "all servers asked for a backoff; come back when it ends",
            Self::Limited(_) => "the servers take no more requests now; come back when told",
            Self::Quarantined { .. } => {
                "servers ended each time that they ran this request; it is held for a time"
            }
            Self::TimeOverNotRun => "the time was over before a server took the request",
            Self::TimeOver => "the time was over before the answer; the request may have run",
            Self::Unknown => "the answer is lost; the request may have run",
        }
    }

    /// The response.
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
        if self == Self::Leaving {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
