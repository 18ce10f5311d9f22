//! Who gives a new configuration or list of servers on to whom.
//!
//! Load pattern: one instance has a body of some hundred kilobytes that 58
//! others of its failure domain want at once, over a link on which all of them
//! together take longer than each waits. So a source gives it to a few at a
//! time and sends the others to those that have it by then.

use std::net::SocketAddr;

/// Bodies that a source sends at a time. Over a link of 20 Mbit/s, 200 KB take
/// 80 ms each alone; more at a time only make each of them later.
const BODIES_AT_ONCE: usize = 2;
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
#[derive(Clone, Debug, Default)]
pub struct BodySource<V> {
    version: V,
    under_way: usize,
    receivers: Vec<SocketAddr>,
}

impl<V: Copy + Default + PartialEq> BodySource<V> {
    /// Nothing sent so far.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers one that asks for a version.
    pub fn offer(&mut self, version: V) -> Offer {
        if version != self.version {
            self.version = version;
            self.receivers.clear();
        }
        if self.under_way < BODIES_AT_ONCE {
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
