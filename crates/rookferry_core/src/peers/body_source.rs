//! Distribution of a new configuration or server list between the instances of a
//! failure domain.
//!
//! Load pattern: one instance has a body of some hundred kilobytes, and 58 others of its
//! failure domain request it at once. Sent to all concurrently over the source's link it
//! would reach none of them before its timeout. So a source serves a few at a time and
//! redirects the others to peers that already received the body.

use std::net::SocketAddr;

/// Concurrent transfers over a slow or unknown link; more would only delay each of them.
const MIN_CONCURRENT: usize = 2;
/// Bandwidth reserved for each transfer, in Mbit/s: as much as a slow receiver takes.
const TRANSFER_MBPS: f64 = 10.0;
/// Upper bound of concurrent transfers, which bounds the source's memory.
const MAX_CONCURRENT: usize = 32;
/// Addresses named in a redirect. The latest receivers are named, since they had fewer
/// requests so far.
const MAX_REDIRECT_ADDRESSES: usize = 8;

/// A source's answer to a request for a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyOffer {
    /// Send the body; the caller calls [`BodySource::finish_transfer`] when the transfer
    /// is over.
    Body,
    /// Peers that have the body; while there are none, the receiver retries later.
    Elsewhere(Vec<SocketAddr>),
}

/// Serves one kind of body, configuration or server list, to peers; `V` is its version.
#[derive(Clone, Debug)]
pub struct BodySource<V> {
    version: V,
    max_concurrent: usize,
    in_flight: usize,
    receivers: Vec<SocketAddr>,
}

impl<V: Copy + Default + PartialEq> Default for BodySource<V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<V: Copy + Default + PartialEq> BodySource<V> {
    /// A source without transfers, over a link of unknown bandwidth.
    #[must_use]
    pub fn new() -> Self {
        Self {
            version: V::default(),
            max_concurrent: MIN_CONCURRENT,
            in_flight: 0,
            receivers: Vec::new(),
        }
    }

    /// Sets the bandwidth of the source's link, in Mbit/s.
    #[must_use]
    pub fn link_mbps(mut self, link_mbps: f64) -> Self {
        let concurrent =
            (1..=MAX_CONCURRENT).take_while(|count| *count as f64 * TRANSFER_MBPS <= link_mbps);
        self.max_concurrent = concurrent.count().max(MIN_CONCURRENT);
        self
    }

    /// Decides whether a request for a version gets the body or a redirect.
    pub fn offer(&mut self, version: V) -> BodyOffer {
        if version != self.version {
            self.version = version;
            self.receivers.clear();
        }
        if self.in_flight < self.max_concurrent {
            self.in_flight += 1;
            return BodyOffer::Body;
        }
        let newest = self.receivers.iter().rev().take(MAX_REDIRECT_ADDRESSES);
        BodyOffer::Elsewhere(newest.copied().collect())
    }

    /// Records the end of a transfer. `to` is the receiver's peer address; none if the
    /// transfer failed.
    pub fn finish_transfer(&mut self, version: V, to: Option<SocketAddr>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(to) = to.filter(|_| version == self.version) {
            self.receivers.push(to);
        }
    }
}
