//! Which instances carry a failure domain's duties.
//!
//! Load pattern: a domain of hundreds of small machines and a few large ones. What
//! its heads, its reader of the store and the holder of the lease send grows with the
//! domain, and fills a small machine's link. So those with the most capacity come
//! first in line; among equals the address decides. Where all are alike, or the
//! large ones are gone, the line is by address alone.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The capacity that counts as one unit: a small machine's.
const UNIT_CORES: f64 = 0.0625;
const UNIT_LINK_MBPS: f64 = 10.0;
/// The highest class.
const MAX_CLASS: u32 = 15;

/// How much an instance can carry beside its requests, in steps of two: small
/// differences between machines move no duties.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Capacity(u8);

impl Capacity {
    /// The lowest.
    pub(super) const LEAST: Self = Self(0);

    /// The capacity of a machine with a share of cores and a link; the scarcer counts.
    #[must_use]
    pub fn of_machine(cores: f64, link_mbps: f64) -> Self {
        let units = (cores / UNIT_CORES).min(link_mbps / UNIT_LINK_MBPS);
        let classes = 1..=MAX_CLASS;
        let reached = classes.take_while(|class| f64::from(1_u32 << class) <= units);
        Self(u8::try_from(reached.count()).unwrap_or_default())
    }
}

/// An instance's place in line for its domain's duties; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Standing {
    capacity: Reverse<Capacity>,
    addr: SocketAddr,
}

impl Standing {
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
