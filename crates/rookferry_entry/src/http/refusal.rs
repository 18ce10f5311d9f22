//! Refusals: why a caller gets no answer, and the problem document that says so.

use std::time::Duration;

use http::StatusCode;
use rookferry_core::FailureOutcome;
use rookferry_core::Undispatched;
use rookferry_wire::Outcome;
use rookferry_wire::Problem;
use rookferry_wire::ReasonCode;
use rookferry_wire::RequestId;

/// A refused call. Its outcome comes from a [`FailureOutcome`] or is "running"; it can't be
/// made in any other way.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    outcome: Outcome,
    pub(crate) reason: ReasonCode,
    request_id: RequestId,
    pub(crate) detail: String,
    retry_after: Option<Duration>,
    ticket: Option<String>,
}

impl Refusal {
    pub(crate) fn new(verdict: impl Into<FailureOutcome>, detail: impl Into<String>) -> Self {
        let verdict = verdict.into();
        Self {
            outcome: verdict.outcome(),
            reason: verdict.reason(),
            request_id: verdict.request_id().clone(),
            detail: detail.into(),
            retry_after: None,
            ticket: None,
        }
    }

    /// The key's work is already running, here or elsewhere; nothing was dispatched
    /// for this request.
    pub(crate) fn running(request: &Undispatched, detail: impl Into<String>) -> Self {
        Self::running_as(request.request_id().clone(), detail)
    }

    /// As [`Self::running`], for a request that was dispatched before another
    /// instance took over its work.
    pub(crate) fn running_as(request_id: RequestId, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Running,
            reason: ReasonCode::KeyRunning,
            request_id,
            detail: detail.into(),
            retry_after: Some(Duration::from_millis(200)),
            ticket: None,
        }
    }

    #[must_use]
    pub(crate) const fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    #[must_use]
    pub(crate) fn ticket(mut self, ticket: Option<String>) -> Self {
        self.ticket = ticket;
        self
    }

    pub(crate) const fn outcome(&self) -> Outcome {
        self.outcome
    }

    pub(crate) const fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Whether the caller caused the refusal, so that it counts against no objective
    /// of the site.
    pub(crate) const fn is_caller_error(&self) -> bool {
        matches!(
            self.reason,
            ReasonCode::BadRequest
                | ReasonCode::Unauthorized
                | ReasonCode::BodyTooLarge
                | ReasonCode::BodyTooSlow
                | ReasonCode::NotFound
                | ReasonCode::NoRoute
                | ReasonCode::KeyReused
                | ReasonCode::KeyExpired
                | ReasonCode::AccountLimit
        )
    }

    pub(crate) fn problem(&self) -> Problem {
        let status = self.status();
        Problem {
            title: status.canonical_reason().unwrap_or("error").to_owned(),
            status: status.as_u16(),
            detail: self.detail.clone(),
            reason: self.reason,
            outcome: self.outcome,
            request_id: self.request_id.clone(),
            retry_after_ms: self
                .retry_after
                .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
            ticket: self.ticket.clone(),
        }
    }

    const fn status(&self) -> StatusCode {
        match self.reason {
            ReasonCode::BadRequest => StatusCode::BAD_REQUEST,
            ReasonCode::Unauthorized => StatusCode::UNAUTHORIZED,
            ReasonCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ReasonCode::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            ReasonCode::NotFound | ReasonCode::NoRoute => StatusCode::NOT_FOUND,
            ReasonCode::AccountLimit => StatusCode::TOO_MANY_REQUESTS,
            ReasonCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            ReasonCode::KeyExpired => StatusCode::GONE,
            ReasonCode::KeyRunning => StatusCode::CONFLICT,
            ReasonCode::NoChain
            | ReasonCode::Overloaded
            | ReasonCode::NotReady
            | ReasonCode::Leaving
            | ReasonCode::Quarantined
            | ReasonCode::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            ReasonCode::EngineLost | ReasonCode::OwnerGone => StatusCode::BAD_GATEWAY,
            ReasonCode::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}
