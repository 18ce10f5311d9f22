//! When an instance that has just started reads the store, and what happens to requests
//! until it knows the site.
//!
//! Load pattern: a thousand instances start or restart together, each with a
//! configuration and pages of thousands of backend servers to read. If each of them read
//! the store, its rate and its link would be used up for seconds, and so would the links
//! of small instances. So they are ranked: the first few of a failure domain read, and
//! the others get what was read over a tree of peers.
//!
//! An instance that restarts alone is offered everything by peers within moments. The
//! rank only matters if no peer offers anything.

use std::time::Duration;

/// How long the first-ranked instance waits before it reads the store if no peer offers
/// what it needs. Live peers answer within a few milliseconds.
const FIRST_READ: Duration = Duration::from_millis(120);
/// The same while a peer offers it: time for one unanswered request to a peer.
const FIRST_READ_OFFERED: Duration = Duration::from_millis(500);
/// The same if the whole site starts for the first time: all instances are running and
/// known after three rounds of heartbeats, and no caller waits yet.
const FIRST_READ_OF_SITE: Duration = Duration::from_millis(700);
/// How long a peer's offer is valid: two heartbeats of an aggregator.
const OFFER_TTL: Duration = Duration::from_millis(650);
/// Least delay between consecutive ranks: an answer of the store and a heartbeat.
const RANK_STEP: Duration = Duration::from_millis(100);
/// Highest rank that still adds delay.
const MAX_RANK_STEPS: u32 = 8;
/// Size of what is read at a start, in megabits: a configuration, and a list of a
/// thousand servers.
const BODY_MBIT: f64 = 4.0;
/// Upper limit of the estimated transfer time of a body.
const LONGEST_BODY: Duration = Duration::from_millis(400);

/// Longest time that a request waits for an instance that has just started. A stream has
/// to begin within its objective after that.
const LONGEST_WAIT: Duration = Duration::from_millis(330);
/// Shortest retry time for callers: instances that start together know a small site
/// within about this time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Upper end of the spread of retry times, as a factor, so that callers don't return all
/// at once.
const RETRY_SPREAD: f64 = 1.25;
/// Least time for which an instance counts as starting while it doesn't know the site.
const MIN_STARTING: Duration = Duration::from_millis(1_500);
/// Factor on the expected time until the site is known; an instance counts as starting
/// for the product.
const STARTING_FACTOR: u32 = 2;

/// Age at which an instance knows most of those that start with it.
const MEMBERS_KNOWN_AFTER: Duration = Duration::from_millis(500);
/// Assumed hops of a body between peers while they aren't known yet: enough for some
/// hundreds.
const HOPS_IF_UNKNOWN: u32 = 9;

/// An instance that has just started and waits for its first read of the store.
#[derive(Clone, Copy, Debug)]
pub struct StartQueue {
    /// Whether the whole site starts for the first time.
    pub is_first_start: bool,
    /// How many instances of its failure domain are ranked before it.
    pub rank: usize,
    /// Time since a peer last offered what the instance needs, if any has.
    pub offered_ago: Option<Duration>,
    /// The bandwidth of its link, if it is known.
    pub link_mbps: Option<f64>,
}

impl StartQueue {
    /// Time from its start to its first read of the store.
    ///
    /// An instance with a slow link waits longer, by the time that its own read would
    /// take: a faster one has read by then, and offers the result.
    #[must_use]
    pub fn first_read_after(&self) -> Duration {
        let body = self.body_time();
        let steps = u32::try_from(self.rank).unwrap_or(MAX_RANK_STEPS);
        let by_rank = self.first_rank_delay() + RANK_STEP.max(body) * steps.min(MAX_RANK_STEPS);
        if self.is_offered() {
            by_rank.max(FIRST_READ_OFFERED) + body * self.hops()
        } else {
            by_rank
        }
    }

    /// Expected time from its start until the instance knows the site, if all instances
    /// start together.
    fn expected_ready_after(&self, age: Duration) -> Duration {
        let body = self.body_time();
        // Peers are only becoming known.
        let are_peers_unknown = age < MEMBERS_KNOWN_AFTER && self.offered_ago.is_none();
        let least_hops = if are_peers_unknown {
            HOPS_IF_UNKNOWN
        } else {
            0
        };
        self.first_rank_delay() + RANK_STEP + body * (self.hops().max(least_hops) + 1)
    }

    fn is_offered(&self) -> bool {
        self.offered_ago.is_some_and(|ago| ago < OFFER_TTL)
    }

    /// Whether an instance of this age counts as starting while it doesn't know the site.
    #[must_use]
    pub fn is_starting(&self, age: Duration) -> bool {
        age < MIN_STARTING.max(self.expected_ready_after(age) * STARTING_FACTOR)
    }

    /// How long a request that arrives at this age may wait; `None` if it is refused at
    /// once.
    ///
    /// Load pattern: all instances of a site restart while callers keep sending. A caller
    /// that waits in vain has lost time in which it could have retried; one that retries
    /// too early reaches another instance that doesn't know the site either, and gives
    /// up. So a request waits only if the instance is likely to know the site in time.
    #[must_use]
    pub fn max_wait(&self, age: Duration) -> Option<Duration> {
        (self.expected_left(age) <= LONGEST_WAIT).then_some(LONGEST_WAIT)
    }

    /// Retry time of a request that is refused at this age; `chance`, from 0 to 1, is
    /// drawn per request and spreads the retry times.
    #[must_use]
    pub fn retry_after(&self, age: Duration, chance: f64) -> Duration {
        let spread = chance.clamp(0.0, 1.0) * (RETRY_SPREAD - 1.0);
        self.expected_left(age)
            .max(MIN_RETRY_AFTER)
            .mul_f64(1.0 + spread)
    }

    /// Expected time left until the instance knows the site.
    fn expected_left(&self, age: Duration) -> Duration {
        self.expected_ready_after(age).saturating_sub(age)
    }

    /// When the first-ranked instance reads.
    fn first_rank_delay(&self) -> Duration {
        if self.is_first_start {
            FIRST_READ_OF_SITE
        } else {
            FIRST_READ + self.body_time()
        }
    }

    /// Hops of a body from peer to peer until it reaches the instance: the instances that
    /// have it double with each.
    fn hops(&self) -> u32 {
        self.rank.checked_ilog2().map_or(1, |hops| hops + 2)
    }

    /// Transfer time of a body over the instance's link.
    fn body_time(&self) -> Duration {
        let seconds = self
            .link_mbps
            .map_or(0.0, |link_mbps| BODY_MBIT / link_mbps);
        Duration::try_from_secs_f64(seconds).map_or(LONGEST_BODY, |time| time.min(LONGEST_BODY))
    }
}
