//! Rank order of a failure domain's instances, which decides who carries its duties.
//!
//! Load pattern: a domain of hundreds of small machines and a few large ones. The traffic
//! of its aggregators, its store reader and the lease's holder grows with the domain, and
//! saturates a small machine's link. So instances with the highest capacity rank first;
//! among equals the address decides. Where all have the same capacity, or the large ones
//! are lost, the order is by address alone.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Cores and link bandwidth that count as one unit of capacity: those of a small machine.
const UNIT_CORES: f64 = 0.0625;
const UNIT_LINK_MBPS: f64 = 10.0;
/// The highest capacity class; class `n` needs `2^n` units.
const MAX_CLASS: u32 = 15;

/// Capacity class of an instance for duties besides its requests. Each class doubles the
/// capacity, so that small differences between machines move no duties.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Capacity(u8);

impl Capacity {
    /// The lowest class.
    pub(super) const LOWEST: Self = Self(0);

    /// The class of a machine by its cores (or its share of one) and its link in Mbit/s;
    /// the scarcer of both decides.
    #[must_use]
    pub fn of_machine(cores: f64, link_mbps: f64) -> Self {
        let units = (cores / UNIT_CORES).min(link_mbps / UNIT_LINK_MBPS);
        let classes = 1..=MAX_CLASS;
        let reached = classes.take_while(|class| f64::from(1_u32 << class) <= units);
        Self(u8::try_from(reached.count()).unwrap_or_default())
    }
}

/// Sort key of an instance in the rank order of its domain; the lowest ranks first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankKey {
    capacity: Reverse<Capacity>,
    addr: SocketAddr,
}

impl RankKey {
    pub(super) const fn new(capacity: Capacity, addr: SocketAddr) -> Self {
        Self {
            capacity: Reverse(capacity),
            addr,
        }
    }

    pub(super) const fn addr(self) -> SocketAddr {
        self.addr
    }
}
