//! Who gives a new configuration or list of servers on to whom.
//!
//! Load pattern: one instance has a body of some hundred kilobytes that 58
//! others of its failure domain want at once, over a link on which all of them
//! together take longer than each waits. So a source gives it to a few at a
//! time and sends the others to those that have it by then.

use std::net::SocketAddr;

/// Bodies that a source with a slow or unknown link sends at a time; more only make
/// each of them later.
const LEAST_AT_ONCE: usize = 2;
/// The bandwidth that a source leaves to each body: what a slow receiver takes.
const BODY_MBPS: f64 = 10.0;
/// Most bodies that a source sends at a time, for its memory's sake.
const MOST_AT_ONCE: usize = 32;
/// Receivers that are told to those sent elsewhere; newer ones are asked less
/// often so far.
const TOLD_RECEIVERS: usize = 8;

/// What a source answers to one that asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The body; [`BodySource::ended`] is due when it is sent.
    Body,
    /// These have it; where there are none yet, it comes back.
    Elsewhere(Vec<SocketAddr>),
}

/// Gives one kind of body on; its versions tell bodies apart.
#[derive(Clone, Debug)]
pub struct BodySource<V> {
    version: V,
    at_once: usize,
    under_way: usize,
    receivers: Vec<SocketAddr>,
}

impl<V: Copy + Default + PartialEq> Default for BodySource<V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<V: Copy + Default + PartialEq> BodySource<V> {
    /// Nothing sent so far, over a link whose bandwidth isn't known.
    #[must_use]
    pub fn new() -> Self {
        Self {
            version: V::default(),
            at_once: LEAST_AT_ONCE,
            under_way: 0,
            receivers: Vec::new(),
        }
    }

    /// The bandwidth of the source's link.
    #[must_use]
    pub fn link_mbps(mut self, link_mbps: f64) -> Self {
        let beside = (1..=MOST_AT_ONCE).take_while(|count| *count as f64 * BODY_MBPS <= link_mbps);
        self.at_once = beside.count().max(LEAST_AT_ONCE);
        self
    }

    /// Answers one that asks for a version.
    pub fn offer(&mut self, version: V) -> Offer {
        if version != self.version {
            self.version = version;
            self.receivers.clear();
        }
        if self.under_way < self.at_once {
            self.under_way += 1;
            return Offer::Body;
        }
        let newest = self.receivers.iter().rev().take(TOLD_RECEIVERS);
        Offer::Elsewhere(newest.copied().collect())
    }

    /// A body was sent to one that listens at an address; nobody got it where
    /// there is none.
    pub fn ended(&mut self, version: V, to: Option<SocketAddr>) {
        self.under_way = self.under_way.saturating_sub(1);
        if let Some(to) = to.filter(|_| version == self.version) {
            self.receivers.push(to);
        }
    }
}
