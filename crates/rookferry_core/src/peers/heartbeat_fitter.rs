//! Shortens a heartbeat that is too long for the receive buffer.
//!
//! A truncated datagram is dropped whole, and the sender then counts as silent although
//! it only has much to report. The lists are shortened one after another, in the order of
//! [`HeartbeatList::ALL`], until the heartbeat fits. All other fields are kept. The sizes
//! of the entries are added up, so the format must encode a list as its length and then
//! its entries, as `postcard` does.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

use rookferry_wire::DomainId;
use serde::Serialize;

use super::DomainMembers;
use super::Heartbeat;
use super::HeartbeatList;
use super::LoadEntry;
use super::MemberObservation;

/// Most parts into which a list in rotation is divided. A suspect is advertised for 8
/// rounds, in which an aggregator sends 4 heartbeats to its domain; each part must be in
/// one of them.
pub(super) const PARTS: usize = 4;
/// Divisor of the own loads that are kept before other lists are shortened.
const LOADS_DIVISOR: usize = 4;
/// Divisor of the domain's loads that are kept before the last lists are shortened: most
/// instances choose engines by these sums.
const DOMAIN_LOADS_DIVISOR: usize = 2;

/// Size of values in the format of heartbeats.
pub trait EncodedSize {
    /// Number of bytes of an encoded value.
    fn encoded_bytes<T: Serialize>(&self, value: &T) -> usize;
}

/// Shortens heartbeats to a number of bytes.
#[derive(Clone, Debug)]
pub struct HeartbeatFitter {
    max_bytes: usize,
    part: usize,
    preferred: Option<DomainId>,
}

/// A heartbeat that was shortened.
#[derive(Clone, Debug, PartialEq)]
pub struct ShortenedHeartbeat {
    /// The heartbeat.
    pub beat: Heartbeat,
    /// What was left out of it.
    pub cuts: Vec<HeartbeatCut>,
}

/// How far a list was shortened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatCut {
    /// The list.
    pub list: HeartbeatList,
    /// Number of its entries that are sent.
    pub kept: usize,
    /// Number of its entries before.
    pub entries: usize,
}

impl fmt::Display for HeartbeatCut {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}/{}", self.list, self.kept, self.entries)
    }
}

impl HeartbeatFitter {
    /// Shortens heartbeats to `max_bytes`. Lists in rotation are kept from the start of
    /// this `part` on.
    #[must_use]
    pub const fn new(max_bytes: usize, part: usize) -> Self {
        Self {
            max_bytes,
            part: part % PARTS,
            preferred: None,
        }
    }

    /// Leaves out members of this domain only after all others.
    #[must_use]
    pub fn preferring(mut self, domain: DomainId) -> Self {
        self.preferred = Some(domain);
        self
    }

    /// A copy of a heartbeat that is shortened to fit; none if it fits.
    ///
    /// `encoded_bytes` is the size of the whole datagram, with the echo set.
    pub fn shorten(
        &self,
        beat: &Heartbeat,
        encoded_bytes: usize,
        sizes: &impl EncodedSize,
    ) -> Option<ShortenedHeartbeat> {
        let mut excess = encoded_bytes.checked_sub(self.max_bytes)?;
        if excess == 0 {
            return None;
        }
        let mut shortened = beat.clone();
        for list in HeartbeatList::ALL {
            excess = self.shorten_list(&mut shortened, list, excess, sizes);
        }
        // All lists are at their least length; loads are the largest ones left.
        excess = drop_least(&mut shortened.loads, 0, excess, sizes);
        if let Some(sums) = &mut shortened.domain_loads {
            drop_least(&mut sums.loads, 0, excess, sizes);
        }
        let cuts = HeartbeatList::ALL.map(|list| HeartbeatCut {
            list,
            kept: list.entries(&shortened),
            entries: list.entries(beat),
        });
        let cuts = cuts.into_iter().filter(|cut| cut.kept < cut.entries);
        Some(ShortenedHeartbeat {
            cuts: cuts.collect(),
            beat: shortened,
        })
    }

    /// Shortens one list, and returns the bytes that are still too many.
    fn shorten_list(
        &self,
        beat: &mut Heartbeat,
        list: HeartbeatList,
        excess: usize,
        sizes: &impl EncodedSize,
    ) -> usize {
        if excess == 0 {
            return 0;
        }
        match list {
            HeartbeatList::Loads => {
                let least = beat.loads.len() / LOADS_DIVISOR;
                drop_least(&mut beat.loads, least, excess, sizes)
            }
            HeartbeatList::DomainLoads => {
                let Some(sums) = &mut beat.domain_loads else {
                    return excess;
                };
                let least = sums.loads.len() / DOMAIN_LOADS_DIVISOR;
                drop_least(&mut sums.loads, least, excess, sizes)
            }
            HeartbeatList::Limits => self.keep_part(&mut beat.limits, excess, size_by(sizes)),
            HeartbeatList::Closed => self.keep_part(&mut beat.closed, excess, size_by(sizes)),
            HeartbeatList::Out => self.keep_part(&mut beat.out, excess, size_by(sizes)),
            HeartbeatList::Departed => self.keep_part(&mut beat.departed, excess, size_by(sizes)),
            HeartbeatList::Suspects => self.keep_part(&mut beat.suspects, excess, size_by(sizes)),
            HeartbeatList::Members => self.shorten_members(&mut beat.members, excess, sizes),
        }
    }

    /// Drops entries of a list in rotation, at most until one part is left. The entries
    /// kept begin with the part's first one, so that all parts together have every entry.
    fn keep_part<T>(
        &self,
        list: &mut Vec<T>,
        mut excess: usize,
        size: impl Fn(&T) -> usize,
    ) -> usize {
        let least = list.len().div_ceil(PARTS);
        if let Some(start) = (self.part * least).checked_rem(list.len()) {
            list.rotate_left(start);
        }
        while excess > 0
            && list.len() > least
            && let Some(dropped) = list.pop()
        {
            excess = excess.saturating_sub(size(&dropped));
        }
        excess
    }

    fn shorten_members(
        &self,
        members: &mut Vec<DomainMembers>,
        mut excess: usize,
        sizes: &impl EncodedSize,
    ) -> usize {
        let all = std::mem::take(members).into_iter();
        let all = all.flat_map(|of| {
            let domain = of.domain;
            let members = of.members.into_iter();
            members.map(move |member| (domain.clone(), member))
        });
        let (mut preferred, mut others): (Vec<_>, Vec<_>) =
            all.partition(|(domain, _)| Some(domain) == self.preferred.as_ref());
        // A domain's name is sent once for all its members, so it isn't counted.
        let size = |(_, member): &(DomainId, MemberObservation)| sizes.encoded_bytes(member);
        for list in [&mut others, &mut preferred] {
            if excess > 0 {
                excess = self.keep_part(list, excess, size);
            }
        }
        let mut by_domain: BTreeMap<DomainId, Vec<MemberObservation>> = BTreeMap::new();
        for (domain, member) in preferred.into_iter().chain(others) {
            by_domain.entry(domain).or_default().push(member);
        }
        let by_domain = by_domain.into_iter();
        members.extend(by_domain.map(|(domain, members)| DomainMembers { domain, members }));
        excess
    }
}

fn size_by<T: Serialize>(sizes: &impl EncodedSize) -> impl Fn(&T) -> usize {
    |entry| sizes.encoded_bytes(entry)
}

/// Drops the loads with the fewest requests, at most until `least` are left. Returns the
/// bytes that are still too many.
fn drop_least(
    loads: &mut Vec<LoadEntry>,
    least: usize,
    mut excess: usize,
    sizes: &impl EncodedSize,
) -> usize {
    if excess == 0 {
        return 0;
    }
    loads.sort_by_key(|entry| Reverse((entry.requests, entry.tokens)));
    while excess > 0
        && loads.len() > least
        && let Some(dropped) = loads.pop()
    {
        excess = excess.saturating_sub(sizes.encoded_bytes(&dropped));
    }
    excess
}
