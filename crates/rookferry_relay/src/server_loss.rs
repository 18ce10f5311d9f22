//! Reasons for which a server counts as lost.

use std::fmt;

use crate::upstream::UpstreamError;

/// Evidence that a server can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerLoss {
    /// Nothing listens at its address: the process has exited.
    Refused,
    /// Another incarnation answers at its address: the process has exited.
    OtherStart,
    /// It answers, but without the layers that its entry lists.
    LayersGone,
    /// It didn't answer, which a network partition explains as well. Contains the cause.
    Unreachable(String),
}

impl ServerLoss {
    /// Whether it proves that the process has exited.
    pub(crate) const fn is_end(&self) -> bool {
        matches!(self, Self::Refused | Self::OtherStart)
    }
}

impl From<&UpstreamError> for ServerLoss {
    fn from(error: &UpstreamError) -> Self {
        if error.shows_end() {
            return Self::Refused;
        }
        Self::Unreachable(error.to_string())
    }
}

impl fmt::Display for ServerLoss {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => formatter.write_str("it refuses connections"),
            Self::OtherStart => formatter.write_str("another incarnation of it answers"),
            Self::LayersGone => formatter.write_str("it doesn't hold its layers any more"),
            Self::Unreachable(cause) => formatter.write_str(cause),
        }
    }
}
