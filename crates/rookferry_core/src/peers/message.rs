//! Heartbeats between instances.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use rookferry_wire::SiteId;
use serde::Deserialize;
use serde::Serialize;

use super::Capacity;
use super::LoadEntry;
use crate::limits::LimitSeen;
use crate::serving::DepartureObservation;
use crate::serving::ListVersion;
use crate::serving::RefusingObservation;
use crate::serving::ServerKey;
use crate::serving::SuspectObservation;

/// A heartbeat; one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's site; others' heartbeats may come where they had an instance.
    pub site: SiteId,
    /// The sender.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// What the sender can carry of its domain's duties.
    pub capacity: Capacity,
    /// The sender's steady clock in milliseconds, for the receiver to send
    /// back.
    pub sent_ms: u64,
    /// What the sender last got from the receiver.
    pub echo: Option<Echo>,
    /// The configuration that the sender has in force.
    pub config: Option<ConfigState>,
    /// The list of servers that the sender has in force.
    pub servers: ListState,
    /// How long ago the sender knew what the store has, itself or by others of its
    /// domain, in milliseconds; none if it is in doubt of that.
    pub store_age_ms: Option<u64>,
    /// The holder that the sender heard of, itself or by others.
    pub holder: Option<HolderSeen>,
    /// What is under way at servers by the sender's own requests; told in its
    /// own domain.
    pub loads: Vec<LoadEntry>,
    /// What the sender's domain has under way, if it speaks for it.
    pub domain_loads: Option<DomainLoads>,
    /// Servers that don't answer the sender; told in its own domain, in turn where they
    /// are too many.
    pub out: Vec<ServerKey>,
    /// How many there are in all.
    pub out_count: u32,
    /// Servers that take no new work; told in the sender's own domain.
    pub closed: Vec<RefusingObservation>,
    /// What the sender knows of requests under which servers ended.
    pub suspects: Vec<SuspectObservation>,
    /// The last words on servers that named a limit.
    pub limits: Vec<LimitSeen>,
    /// Servers that leave, as known to the sender.
    pub departed: Vec<DepartureObservation>,
    /// Some of the members that the sender knows.
    pub members: Vec<MembersOf>,
    /// How many instances the sender knows, itself included.
    pub instances: u32,
    /// Whether the sender asks for the members of its domain.
    pub is_joining: bool,
}

/// What a failure domain has under way at servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainLoads {
    /// How many instances' loads are in it.
    pub instances: u32,
    /// How many of the domain's instances the sender hears before the
    /// receiver, in line for its duties.
    pub rank: u32,
    /// The loads; to a member of the domain without its own.
    pub loads: Vec<LoadEntry>,
}

/// Members of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersOf {
    /// The domain.
    pub domain: DomainId,
    /// Its members.
    pub members: Vec<MemberSeen>,
}

/// A member, and how long ago any instance heard it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSeen {
    /// Where it listens for other instances.
    pub addr: SocketAddr,
    /// Tenths of a second since it was heard, rounded up: rounded down, a word that
    /// is passed on within a tenth would never age.
    pub age_tenths_s: u16,
    /// What it can carry of its domain's duties, as it said itself; the least while
    /// that isn't known.
    pub capacity: Capacity,
}

/// A holder of the lease for orders to engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderSeen {
    /// The holder.
    pub instance: InstanceId,
    /// How long ago it was known to hold the lease, in milliseconds.
    pub age_ms: u64,
}

/// A receiver's clock, sent back with the time that it was held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's own steady clock when it sent, in milliseconds.
    pub sent_ms: u64,
    /// Time from the sender's getting it to this message, in milliseconds.
    pub held_ms: u64,
}

impl Echo {
    /// When the sender knew something that was `age_ms` old when it sent this, by the
    /// receiver's steady clock, which counts from `epoch`; nothing if the figures can't
    /// be so.
    ///
    /// It may be before the epoch: what others know is older than an instance that has
    /// just started.
    #[must_use]
    pub fn known_at(self, age_ms: u64, epoch: Instant, now: Instant) -> Option<Instant> {
        let sent_back_ms = self.sent_ms.checked_add(self.held_ms)?;
        let sent_back_at = epoch.checked_add(Duration::from_millis(sent_back_ms))?;
        sent_back_at
            .min(now)
            .checked_sub(Duration::from_millis(age_ms))
    }
}

/// The list of servers that a sender has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListState {
    /// Its version; the lowest while there is none.
    pub version: ListVersion,
    /// How long ago it was known to be the newest, in milliseconds, if ever.
    pub age_ms: Option<u64>,
}

/// The configuration that a sender has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Its version.
    pub version: u64,
    /// How long ago it was known to be the newest, in milliseconds.
    pub age_ms: u64,
}
