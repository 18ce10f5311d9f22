//! The lists of a heartbeat that may be shortened.

use std::fmt;

use super::Heartbeat;

/// A list of a [`Heartbeat`] that may be shortened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeartbeatList {
    /// Loads by the sender's own requests.
    Loads,
    /// Observations of server limits.
    Limits,
    /// Refusing servers.
    Closed,
    /// Leaving servers.
    Departed,
    /// Loads of the sender's domain.
    DomainLoads,
    /// Unresponsive servers.
    Out,
    /// Requests under which servers crashed.
    Suspects,
    /// Members, of all domains.
    Members,
}

impl HeartbeatList {
    /// All lists, in the order in which they are shortened.
    ///
    /// The first is of one instance alone, and most receivers use the sums of its domain
    /// instead. The next three are only delayed, since they are sent in rotation and
    /// receivers retain them. A load that is left out counts as none, so that engines are
    /// overfilled. Reports of unresponsive servers expire if they aren't repeated in time,
    /// suspects are advertised for a few rounds only, and a member that isn't advertised
    /// in time counts as lost.
    pub const ALL: [Self; 8] = [
        Self::Loads,
        Self::Limits,
        Self::Closed,
        Self::Departed,
        Self::DomainLoads,
        Self::Out,
        Self::Suspects,
        Self::Members,
    ];

    /// Number of entries of this list.
    #[must_use]
    pub fn entries(self, beat: &Heartbeat) -> usize {
        match self {
            Self::Loads => beat.loads.len(),
            Self::Limits => beat.limits.len(),
            Self::Closed => beat.closed.len(),
            Self::Out => beat.out.len(),
            Self::Departed => beat.departed.len(),
            Self::DomainLoads => beat
                .domain_loads
                .as_ref()
                .map_or(0, |sums| sums.loads.len()),
            Self::Suspects => beat.suspects.len(),
            Self::Members => beat.members.iter().map(|of| of.members.len()).sum(),
        }
    }
}

impl fmt::Display for HeartbeatList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Loads => "loads",
            Self::Limits => "limits",
            Self::Closed => "closed",
            Self::Out => "out",
            Self::Departed => "departed",
            Self::DomainLoads => "domain_loads",
            Self::Suspects => "suspects",
            Self::Members => "members",
        })
    }
}
