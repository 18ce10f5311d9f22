//! A member, and what it said last.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;

use super::Capacity;
use super::DomainLoads;
use super::LoadEntry;
use super::MemberSeen;
use super::capacity::Standing;
use crate::serving::ServerKey;

/// A peer's word that a server doesn't answer it.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutSeen {
    /// Since when it says so.
    pub(super) since: Instant,
    /// When it said so last.
    pub(super) told_at: Instant,
}

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) domain: Option<DomainId>,
    pub(super) instance: Option<InstanceId>,
    pub(super) incarnation: Incarnation,
    /// What it can carry of its domain's duties; the least while that isn't known.
    pub(super) capacity: Capacity,
    pub(super) heard_at: Option<Instant>,
    /// When it was last heard by any instance, or learnt of.
    pub(super) seen_at: Instant,
    /// The peer's clock as last received, and when.
    pub(super) clock: Option<(u64, Instant)>,
    /// The version of the configuration that the peer has in force.
    pub(super) config_version: Option<u64>,
    /// When the peer knew what the store has, by its word.
    pub(super) store_at: Option<Instant>,
    pub(super) loads: Vec<LoadEntry>,
    /// Servers that don't answer the peer.
    pub(super) out: BTreeMap<ServerKey, OutSeen>,
    /// What its domain has under way, if it last spoke for it.
    pub(super) sums: Option<(DomainLoads, Instant)>,
}

impl Peer {
    pub(super) const fn unheard(now: Instant) -> Self {
        Self {
            domain: None,
            instance: None,
            incarnation: 0,
            capacity: Capacity::LEAST,
            heard_at: None,
            seen_at: now,
            clock: None,
            config_version: None,
            store_at: None,
            loads: Vec::new(),
            out: BTreeMap::new(),
            sums: None,
        }
    }

    /// The place in line of the member at an address.
    pub(super) const fn standing(&self, addr: SocketAddr) -> Standing {
        Standing::new(self.capacity, addr)
    }

    /// The member at an address, as others are told of it.
    pub(super) fn seen(&self, addr: SocketAddr, now: Instant) -> MemberSeen {
        let age = now.saturating_duration_since(self.seen_at);
        MemberSeen {
            addr,
            age_tenths_s: u16::try_from(age.as_millis().div_ceil(100)).unwrap_or(u16::MAX),
            capacity: self.capacity,
        }
    }

    /// Whether it was heard within a time.
    pub(super) fn is_heard(&self, now: Instant, within: Duration) -> bool {
        is_within(self.heard_at, now, within)
    }
}

pub(super) fn is_within(at: Option<Instant>, now: Instant, within: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < within)
}
