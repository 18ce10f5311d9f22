//! Reasons for which a server counts as lost.

use std::fmt;

use crate::upstream::UpstreamError;

/// Evidence that a server can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerLoss {
    /// Nothing listens at its address: the process has exited.
    Refused,
    /// Another incarnation answers at its address: the process has exited.
    OtherIncarnation,
    /// It answers, but without the layers that its entry lists.
    LayersMissing,
    /// It didn't answer, which a network partition explains as well. Contains the cause.
    Unreachable(String),
}

impl ServerLoss {
    /// Whether it proves that the process has exited.
    pub(crate) const fn is_exit(&self) -> bool {
        matches!(self, Self::Refused | Self::OtherIncarnation)
    }
}

impl From<&UpstreamError> for ServerLoss {
    fn from(error: &UpstreamError) -> Self {
        if error.shows_exit() {
            return Self::Refused;
        }
        Self::Unreachable(error.to_string())
    }
}

impl fmt::Display for ServerLoss {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => formatter.write_str("it refuses connections"),
            Self::OtherIncarnation => formatter.write_str("another incarnation of it answers"),
            Self::LayersMissing => formatter.write_str("it doesn't hold its layers any more"),
            Self::Unreachable(cause) => formatter.write_str(cause),
        }
    }
}
