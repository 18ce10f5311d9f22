//! What may be told about a request, as types.
//!
//! Only an [`Undispatched`] request, or the engines' own refusals, can make a
//! [`NotRun`]. Dispatching consumes the `Undispatched`, so that no path of
//! code can call a dispatched request "not run" by mistake.

use rookferry_wire::Outcome;
use rookferry_wire::ReasonCode;
use rookferry_wire::RequestId;

use crate::StreamDriver;

/// A request of which nothing has been sent to any backend server.
#[derive(Debug)]
pub struct Undispatched {
    request_id: RequestId,
}

/// A request of which something may have run.
#[derive(Debug)]
pub struct Dispatched {
    request_id: RequestId,
}

/// The proof that nothing of a request ran or will run.
#[derive(Debug)]
pub struct NotRun {
    request_id: RequestId,
    reason: ReasonCode,
}

/// A request whose result is lost.
#[derive(Debug)]
pub struct Unknown {
    request_id: RequestId,
    reason: ReasonCode,
}

/// What is told about a request that gets no answer.
#[derive(Debug)]
pub enum Verdict {
    /// Nothing ran.
    NotRun(NotRun),
    /// Something may have run.
    Unknown(Unknown),
}

impl Undispatched {
    /// Starts the life of a request.
    #[must_use]
    pub const fn new(request_id: RequestId) -> Self {
        Self { request_id }
    }

    /// The request's id.
    #[must_use]
    pub const fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Gives the request up before anything was sent.
    #[must_use]
    pub fn refuse(self, reason: ReasonCode) -> NotRun {
        NotRun {
            request_id: self.request_id,
            reason,
        }
    }

    /// Gives the request up where an earlier one under its key may have run.
    #[must_use]
    pub fn unknown(self, reason: ReasonCode) -> Unknown {
        Unknown {
            request_id: self.request_id,
            reason,
        }
    }

    /// To be called before the first byte goes to a backend server.
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

    /// The result is lost.
    #[must_use]
    pub fn lost(self, reason: ReasonCode) -> Unknown {
        Unknown {
            request_id: self.request_id,
            reason,
        }
    }

    /// Not run if the stream's engines each refused it before admission,
    /// unknown in all other cases.
    #[must_use]
    pub fn settle(self, stream: &StreamDriver, reason: ReasonCode) -> Verdict {
        if stream.nothing_ran() {
            return Verdict::NotRun(NotRun {
                request_id: self.request_id,
                reason,
            });
        }
        Verdict::Unknown(self.lost(reason))
    }

    /// No connection to the backend server was made, so that no byte of the
    /// request can have left.
    ///
    /// The caller vouches for that; the one place that may is the client's
    /// report of a failed connect.
    #[must_use]
    pub fn never_connected(self) -> Undispatched {
        Undispatched {
            request_id: self.request_id,
        }
    }
}

impl Verdict {
    /// As callers see it.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown(_) => Outcome::Unknown,
        }
    }

    /// Why there is no answer.
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

impl From<NotRun> for Verdict {
    fn from(proof: NotRun) -> Self {
        Self::NotRun(proof)
    }
}

impl From<Unknown> for Verdict {
    fn from(unknown: Unknown) -> Self {
        Self::Unknown(unknown)
    }
}
