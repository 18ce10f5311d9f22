//! Types that track whether a request may have run on a backend server.
//!
//! Only an [`Undispatched`] request, or refusals by the engines, can produce a
//! [`NotRun`]. Dispatching consumes the `Undispatched`, so that no code path can report
//! a dispatched request as not run by mistake.

use rookferry_wire::Outcome;
use rookferry_wire::ReasonCode;
use rookferry_wire::RequestId;

use crate::StreamDriver;

/// A request that hasn't been sent to any backend server, not even in part.
#[derive(Debug)]
pub struct Undispatched {
    request_id: RequestId,
}

/// A request that may have run, at least in part.
#[derive(Debug)]
pub struct Dispatched {
    request_id: RequestId,
}

/// Proof that no part of a request ran or will run.
#[derive(Debug)]
pub struct NotRun {
    request_id: RequestId,
    reason: ReasonCode,
}

/// A request that may have run and whose result is lost.
#[derive(Debug)]
pub struct Unknown {
    request_id: RequestId,
    reason: ReasonCode,
}

/// Outcome of a request that gets no answer, as reported to its caller.
#[derive(Debug)]
pub enum FailureOutcome {
    /// No part of it ran.
    NotRun(NotRun),
    /// It may have run, at least in part.
    Unknown(Unknown),
}

impl Undispatched {
    /// A request that was just accepted.
    #[must_use]
    pub const fn new(request_id: RequestId) -> Self {
        Self { request_id }
    }

    /// The request's id.
    #[must_use]
    pub const fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Refuses the request before anything was sent.
    #[must_use]
    pub fn refuse(self, reason: ReasonCode) -> NotRun {
        NotRun {
            request_id: self.request_id,
            reason,
        }
    }

    /// Fails the request because an earlier one with its idempotency key may have run.
    #[must_use]
    pub fn into_unknown(self, reason: ReasonCode) -> Unknown {
        Unknown {
            request_id: self.request_id,
            reason,
        }
    }

    /// Marks the request as dispatched; must be called before the first byte is sent to a
    /// backend server.
    #[must_use]
    pub fn dispatch(self) -> Dispatched {
        Dispatched {
            request_id: self.request_id,
        }
    }
}

impl Dispatched {
    /// The request's id.
    #[must_use]
    pub const fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Fails the request because its result is lost.
    #[must_use]
    pub fn into_unknown(self, reason: ReasonCode) -> Unknown {
        Unknown {
            request_id: self.request_id,
            reason,
        }
    }

    /// Fails the request: not run if the engines refused every step of its stream,
    /// unknown otherwise.
    #[must_use]
    pub fn into_failure(self, stream: &StreamDriver, reason: ReasonCode) -> FailureOutcome {
        if stream.nothing_ran() {
            return FailureOutcome::NotRun(NotRun {
                request_id: self.request_id,
                reason,
            });
        }
        FailureOutcome::Unknown(self.into_unknown(reason))
    }

    /// Reverts the dispatch because no connection to the backend server was made, so no
    /// byte of the request can have been sent.
    ///
    /// This can't be checked here: call it only when the HTTP client reports that the
    /// connect failed.
    #[must_use]
    pub fn never_connected(self) -> Undispatched {
        Undispatched {
            request_id: self.request_id,
        }
    }
}

impl FailureOutcome {
    /// Outcome as sent to callers.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown(_) => Outcome::Unknown,
        }
    }

    /// Reason why there is no answer.
    #[must_use]
    pub const fn reason(&self) -> ReasonCode {
        match self {
            Self::NotRun(NotRun { reason, .. }) | Self::Unknown(Unknown { reason, .. }) => *reason,
        }
    }

    /// The request's id.
    #[must_use]
    pub const fn request_id(&self) -> &RequestId {
        match self {
            Self::NotRun(NotRun { request_id, .. }) | Self::Unknown(Unknown { request_id, .. }) => {
                request_id
            }
        }
    }
}

impl From<NotRun> for FailureOutcome {
    fn from(proof: NotRun) -> Self {
        Self::NotRun(proof)
    }
}

impl From<Unknown> for FailureOutcome {
    fn from(unknown: Unknown) -> Self {
        Self::Unknown(unknown)
    }
}
