//! A peer and its last report, as an entry of the peer table.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use rookferry_wire::ServiceId;

use super::Capacity;
use super::DomainLoads;
use super::LoadEntry;
use super::MemberObservation;
use super::capacity::RankKey;
use crate::serving::ServerKey;

/// A peer's report that a server doesn't answer it.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnresponsiveReport {
    /// When the peer first listed the server.
    pub(super) since: Instant,
    /// When the peer last listed the server.
    pub(super) reported_at: Instant,
}

/// A peer's knowledge of the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownStore {
    /// When it was last up to date.
    pub(super) at: Instant,
    /// The instance that read it.
    pub(super) reader: SocketAddr,
}

/// An entry of the peer table.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) domain: Option<DomainId>,
    /// None before the first heartbeat, and after the peer was reported as lost.
    pub(super) instance: Option<InstanceId>,
    pub(super) incarnation: Incarnation,
    /// Capacity for the duties of its domain; the lowest while it is unknown.
    pub(super) capacity: Capacity,
    /// When its last heartbeat was received here.
    pub(super) received_at: Option<Instant>,
    /// When any instance last received a heartbeat from it; at first, when its address
    /// was added.
    pub(super) seen_at: Instant,
    /// The peer's clock in milliseconds as last received, and when.
    pub(super) clock: Option<(u64, Instant)>,
    /// Version of the configuration that is in force at the peer.
    pub(super) config_version: Option<u64>,
    /// The peer's knowledge of the store, as it reports.
    pub(super) store: Option<KnownStore>,
    pub(super) loads: Vec<LoadEntry>,
    /// Servers that the peer reports as unresponsive.
    pub(super) unresponsive: BTreeMap<ServerKey, UnresponsiveReport>,
    /// Services whose servers the peer reports that it doesn't reach.
    pub(super) unreached: Vec<ServiceId>,
    /// Whether the peer reports that it is stopping.
    pub(super) is_leaving: bool,
    /// Its domain's loads and when they were received, if it acts as an aggregator.
    pub(super) sums: Option<(DomainLoads, Instant)>,
}

impl Peer {
    /// An address that no heartbeat was received from yet.
    pub(super) const fn without_heartbeat(now: Instant) -> Self {
        Self {
            domain: None,
            instance: None,
            incarnation: 0,
            capacity: Capacity::LOWEST,
            received_at: None,
            seen_at: now,
            clock: None,
            config_version: None,
            store: None,
            loads: Vec::new(),
            unresponsive: BTreeMap::new(),
            unreached: Vec::new(),
            is_leaving: false,
            sums: None,
        }
    }

    /// The peer's sort key in the rank order of its domain.
    pub(super) const fn rank_key(&self, addr: SocketAddr) -> RankKey {
        RankKey::new(self.capacity, addr)
    }

    /// The peer as advertised to other instances.
    pub(super) fn observation(&self, addr: SocketAddr, now: Instant) -> MemberObservation {
        let age = now.saturating_duration_since(self.seen_at);
        MemberObservation {
            addr,
            age_tenths_s: u16::try_from(age.as_millis().div_ceil(100)).unwrap_or(u16::MAX),
            capacity: self.capacity,
        }
    }

    /// Whether a heartbeat was received from it within a time.
    pub(super) fn received_within(&self, now: Instant, within: Duration) -> bool {
        is_within(self.received_at, now, within)
    }
}

/// Whether a time is known and less than `within` ago.
pub(super) fn is_within(at: Option<Instant>, now: Instant, within: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < within)
}
