//! How old an instance's knowledge of the platform's store is.
//!
//! Ages are independent of versions: after a restore the store may return an older
//! configuration than the active one. Times of this instance's calls and of
//! reports by peers of its failure domain come in; the age decides whether requests are
//! still served and whether the instance reads the store itself.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Factor by which the largest delay decays with each answer.
const DELAY_DECAY: f64 = 0.875;
/// An answer is overdue after this many times the usual delay.
const OVERDUE_DELAYS: u32 = 2;
/// Upper bound on the allowance for a slow store; a longer planned delay still applies.
const MAX_DELAY_ALLOWANCE: Duration = Duration::from_millis(600);

/// Knowledge of the store, as advertised to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdvertisedContact {
    /// Time since it was the store's content.
    pub age: Duration,
    /// The peer address of the instance that read it; `None` if this instance did.
    pub reader: Option<SocketAddr>,
}

/// A time in which the store may have answered no instance of the domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerGap {
    /// When the last read that was answered before was sent; `None` if there was none.
    pub began_at: Option<Instant>,
    /// When the first read that was answered again was sent.
    pub ended_at: Instant,
}

/// A read by another instance of the failure domain.
#[derive(Clone, Copy, Debug)]
struct RelayedRead {
    at: Instant,
    reader: SocketAddr,
}

/// When the store was last known to answer all reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    config_at: Option<Instant>,
    servers_at: Option<Instant>,
    /// As reported by peers of the failure domain.
    relayed: Option<RelayedRead>,
    /// As shown by bodies that were fetched from peers of any domain.
    bodies_at: Option<Instant>,
    /// Whether a watch of this instance is overdue.
    is_overdue: bool,
    /// Decaying maximum of the answers' delays.
    delay: Duration,
    /// As of when the store last answered a read of the servers, here or by a peer.
    answered_at: Option<Instant>,
    /// Shortest time between two answers that counts as a gap.
    min_gap: Duration,
    /// The last gap between answers.
    last_gap: Option<AnswerGap>,
}

impl StoreContact {
    /// Nothing is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the shortest time without an answer that counts as a gap.
    #[must_use]
    pub const fn min_gap(mut self, min_gap: Duration) -> Self {
        self.min_gap = min_gap;
        self
    }

    /// Records that the configuration was read by a call that was sent at `at`.
    pub fn record_config_read(&mut self, at: Instant) {
        self.config_at = self.config_at.max(Some(at));
        self.is_overdue = false;
    }

    /// Records that the servers were read by a call that was sent at `at`.
    pub fn record_servers_read(&mut self, at: Instant) {
        self.servers_at = self.servers_at.max(Some(at));
        self.record_answer(at);
        self.is_overdue = false;
    }

    /// Records that a peer knows what the instance at `reader` read of the store as of `at`.
    pub fn merge_peer(&mut self, at: Instant, reader: SocketAddr) {
        if self.relayed.is_none_or(|relayed| relayed.at < at) {
            self.relayed = Some(RelayedRead { at, reader });
            self.record_answer(at);
        }
    }

    /// Records that bodies from peers show the store's content as of `at`. That isn't
    /// advertised, as no instance of the domain may have read it.
    pub fn record_bodies(&mut self, at: Instant) {
        self.bodies_at = self.bodies_at.max(Some(at));
    }

    /// Records that a watch is overdue: peers must not rely on this instance until its
    /// next read.
    pub fn record_watch_overdue(&mut self) {
        self.is_overdue = true;
    }

    /// Records how much later than possible an answer came.
    pub fn record_delay(&mut self, delay: Duration) {
        self.delay = delay.max(self.delay.mul_f64(DELAY_DECAY));
    }

    /// Delay after which an answer is overdue: `planned`, or longer if the store is slow.
    #[must_use]
    pub fn overdue_after(&self, planned: Duration) -> Duration {
        let by_delay = self.delay.saturating_mul(OVERDUE_DELAYS);
        planned.max(by_delay.min(MAX_DELAY_ALLOWANCE))
    }

    /// Age of the knowledge of the store; `None` if nothing is known.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let relayed_at = self.relayed.map(|relayed| relayed.at);
        let known_at = self.read_at().max(relayed_at).max(self.bodies_at)?;
        Some(now.saturating_duration_since(known_at))
    }

    /// The last gap of at least the minimum length.
    #[must_use]
    pub const fn last_gap(&self) -> Option<AnswerGap> {
        self.last_gap
    }

    /// Records that the store answered a read of the servers that was sent at `at`.
    fn record_answer(&mut self, at: Instant) {
        let gap = self
            .answered_at
            .map(|answered_at| at.saturating_duration_since(answered_at));
        if gap.is_none_or(|gap| gap >= self.min_gap) {
            self.last_gap = Some(AnswerGap {
                began_at: self.answered_at,
                ended_at: at,
            });
        }
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// When this instance last read all of it.
    fn read_at(&self) -> Option<Instant> {
        self.config_at.min(self.servers_at)
    }

    /// What to advertise; `None` while a watch is overdue.
    ///
    /// An own read that is younger than `max_own_age` goes before what peers have read
    /// since, so that another instance that reads as well knows that it needn't.
    #[must_use]
    pub fn advertised(&self, now: Instant, max_own_age: Duration) -> Option<AdvertisedContact> {
        if self.is_overdue {
            return None;
        }
        let read_at = self.read_at();
        let is_recent = read_at.is_some_and(|at| now.saturating_duration_since(at) < max_own_age);
        let relayed = self
            .relayed
            .filter(|relayed| Some(relayed.at) > read_at && !is_recent);
        let known_at = relayed.map(|relayed| relayed.at).or(read_at)?;
        Some(AdvertisedContact {
            age: now.saturating_duration_since(known_at),
            reader: relayed.map(|relayed| relayed.reader),
        })
    }

    /// Whether the age is below `max_age`.
    #[must_use]
    pub fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age < max_age)
    }
}
