//! Heartbeats between instances: what each reports to the others.
//!
//! Encoded by `postcard`, so that the order and types of fields are the wire format.
//! Ages are sent instead of times, since the instances' clocks aren't synchronised.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use rookferry_wire::ServiceId;
use rookferry_wire::SiteId;
use serde::Deserialize;
use serde::Serialize;

use super::Capacity;
use super::LoadEntry;
use crate::limits::LimitObservation;
use crate::serving::DepartureObservation;
use crate::serving::ListVersion;
use crate::serving::RefusingObservation;
use crate::serving::ServerKey;
use crate::serving::SuspectObservation;

/// A heartbeat, sent as one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's site. Receivers drop heartbeats of other sites, which may still send
    /// to an address where they had an instance.
    pub site: SiteId,
    /// The sender.
    pub instance: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's failure domain.
    pub domain: DomainId,
    /// The sender's capacity for the duties of its domain.
    pub capacity: Capacity,
    /// The sender's steady clock in milliseconds, which the receiver sends back.
    pub sent_ms: u64,
    /// The receiver's clock as last received by the sender; none before that.
    pub echo: Option<Echo>,
    /// The configuration in force at the sender, if any.
    pub config: Option<ConfigState>,
    /// The server list in force at the sender.
    pub servers: ListState,
    /// The sender's knowledge of the store, read by itself or by others of its domain; none
    /// while that knowledge is uncertain.
    pub store: Option<StoreState>,
    /// The lease's holder as known to the sender, directly or through peers.
    pub holder: Option<HolderObservation>,
    /// Loads by the sender's own requests; sent within its domain only.
    pub loads: Vec<LoadEntry>,
    /// Loads of the sender's domain, if it is an aggregator or the representative.
    pub domain_loads: Option<DomainLoads>,
    /// Servers that don't answer the sender; sent within its domain only, in rotation
    /// where they don't fit.
    pub out: Vec<ServerKey>,
    /// Number of all servers that don't answer the sender.
    pub out_count: u32,
    /// Refusing servers, which get no new work; sent within the sender's domain only.
    pub closed: Vec<RefusingObservation>,
    /// What the sender knows of requests under which servers crashed.
    pub suspects: Vec<SuspectObservation>,
    /// Latest observations of server limits.
    pub limits: Vec<LimitObservation>,
    /// Leaving servers, as known to the sender.
    pub departed: Vec<DepartureObservation>,
    /// A part of the members that the sender knows.
    pub members: Vec<DomainMembers>,
    /// Number of instances that the sender knows, itself included.
    pub instances: u32,
    /// Whether the sender has just started and asks for the members of its domain.
    pub is_joining: bool,
    /// Services whose servers the sender doesn't reach by its own connections, while
    /// peers reach some.
    pub unreached: Vec<ServiceId>,
    /// Whether the sender is stopping.
    pub is_leaving: bool,
}

/// Requests and tokens that a failure domain has in flight at servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainLoads {
    /// Number of instances whose loads are included.
    pub instances: u32,
    /// Number of the domain's instances, live to the sender, that are ranked before the
    /// receiver; 0 for receivers in other domains.
    pub rank: u32,
    /// The loads; those sent to a member of the domain leave out its own.
    pub loads: Vec<LoadEntry>,
}

/// Members of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainMembers {
    /// The domain.
    pub domain: DomainId,
    /// Its members.
    pub members: Vec<MemberObservation>,
}

/// A member, and how long ago any instance received a heartbeat from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberObservation {
    /// Address for datagrams of peers.
    pub addr: SocketAddr,
    /// Tenths of a second since its last heartbeat, rounded up: rounded down, a report
    /// that is forwarded within a tenth would never age.
    pub age_tenths_s: u16,
    /// Capacity for the duties of its domain, as it reports itself; the lowest while
    /// unknown.
    pub capacity: Capacity,
}

/// The known holder of the lease for orders to engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderObservation {
    /// The holder.
    pub instance: InstanceId,
    /// Time since it was known to hold the lease, in milliseconds.
    pub age_ms: u64,
}

/// The receiver's clock, sent back with the time that the sender retained it.
///
/// It lets the receiver date what a heartbeat reports on its own clock, without a bound
/// on the network delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's steady clock when it sent the value, in milliseconds.
    pub sent_ms: u64,
    /// Time between receiving the value and sending it back, in milliseconds.
    pub held_ms: u64,
}

impl Echo {
    /// When the sender knew something that was `age_ms` old when it sent this, by the
    /// receiver's steady clock, which counts from `epoch`; none if a figure is out of
    /// range.
    ///
    /// The result may lie before `epoch`: peers' knowledge may be older than an instance
    /// that has just started.
    #[must_use]
    pub fn known_at(self, age_ms: u64, epoch: Instant, now: Instant) -> Option<Instant> {
        let sent_back_ms = self.sent_ms.checked_add(self.held_ms)?;
        let sent_back_at = epoch.checked_add(Duration::from_millis(sent_back_ms))?;
        sent_back_at
            .min(now)
            .checked_sub(Duration::from_millis(age_ms))
    }
}

/// The server list in force at a sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListState {
    /// Its version; the lowest while there is none.
    pub version: ListVersion,
    /// Time since it was known to be the newest, in milliseconds; none if it never was.
    pub age_ms: Option<u64>,
}

/// What a sender knows of the store's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreState {
    /// Time since that was the store's content, in milliseconds.
    pub age_ms: u64,
    /// The peer address of the instance that read it; none if the sender did.
    pub reader: Option<SocketAddr>,
}

/// The configuration in force at a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Its version.
    pub version: u64,
    /// Time since it was known to be the newest, in milliseconds.
    pub age_ms: u64,
}
