//! When an instance that has just started reads the store.
//!
//! Load pattern: a thousand instances that start or restart together, each with a
//! configuration and pages of thousands of backend servers to read. Where each of them
//! reads the store, its rate and its link are used up for seconds, and so are the
//! links of small instances. So they stand in line: the first few of a failure domain
//! read, and the others get what was read over a tree of peers.
//!
//! An instance that restarts alone is offered everything within moments. Only where
//! nobody offers anything does the place in line count.

use std::time::Duration;

/// How long an instance that restarts leaves the store alone where no peer
/// offers what it needs: peers that are there answer within a few milliseconds.
const FIRST_READ: Duration = Duration::from_millis(120);
/// The same while a peer gives it: one peer that is asked in vain.
const FIRST_READ_OFFERED: Duration = Duration::from_millis(500);
/// The same where the whole site starts for the first time: all instances are
/// there and heard after three rounds of heartbeats, and no caller waits yet.
const FIRST_READ_OF_SITE: Duration = Duration::from_millis(700);
/// How long a peer's word that it has something holds: two heartbeats of a head.
const OFFER_KEPT: Duration = Duration::from_millis(650);
/// How much longer than the one in front of it an instance waits at least: an
/// answer of the store, and a heartbeat.
const READ_STEP: Duration = Duration::from_millis(100);
/// Places in line that are told apart.
const READ_STEPS: u32 = 8;
/// The size of what is read at a start: a configuration, and a list of a thousand
/// servers.
const BODY_MBIT: f64 = 4.0;
/// The longest that a body counts as being on its way over a link.
const LONGEST_BODY: Duration = Duration::from_millis(400);

/// How long a request waits at most for an instance that has just started: a stream has
/// to begin within its objective after that.
const LONGEST_WAIT: Duration = Duration::from_millis(330);
/// The least that callers are told to stay away: instances that start together know a
/// small site within about this.
const LEAST_AWAY: Duration = Duration::from_millis(400);
/// How many times as long the last of them stay away, so that not all come at once.
const AWAY_SPREAD: f64 = 1.25;
/// How long an instance counts as starting at least while it doesn't know the site.
const STARTING: Duration = Duration::from_millis(1_500);
/// How many times as long as it is likely to take an instance counts as starting.
const STARTING_SPREAD: u32 = 2;

/// From when on an instance has heard of most of those that start with it.
const MEMBERS_KNOWN_AFTER: Duration = Duration::from_millis(500);
/// How often a body is taken to be passed on while the others aren't known: as among
/// some hundreds.
const HOPS_IF_UNKNOWN: u32 = 9;

/// An instance that has just started, in line for its first read of the store.
#[derive(Clone, Copy, Debug)]
pub struct StartLine {
    /// Whether the whole site starts for the first time.
    pub is_first_start: bool,
    /// How many instances of its failure domain stand before it.
    pub rank: usize,
    /// How long ago a peer last told that it has what the instance needs, if any has.
    pub offered_ago: Option<Duration>,
    /// The bandwidth of its link, if it is known.
    pub link_mbps: Option<f64>,
}

impl StartLine {
    /// How long after its start the instance leaves the store alone.
    ///
    /// One with a slow link waits as much longer as its own read would take: a faster
    /// one has read by then, and offers what it has.
    #[must_use]
    pub fn first_read_after(&self) -> Duration {
        let body = self.body_time();
        let steps = u32::try_from(self.rank).unwrap_or(READ_STEPS);
        let in_line = self.first_of_line() + READ_STEP.max(body) * steps.min(READ_STEPS);
        if self.is_offered() {
            in_line.max(FIRST_READ_OFFERED) + body * self.hops()
        } else {
            in_line
        }
    }

    /// How long after its start an instance of an age is likely to know the site, where
    /// all start together.
    fn known_after(&self, age: Duration) -> Duration {
        let body = self.body_time();
        // Others are only just heard of.
        let is_early = age < MEMBERS_KNOWN_AFTER && self.offered_ago.is_none();
        let least_hops = if is_early { HOPS_IF_UNKNOWN } else { 0 };
        self.first_of_line() + READ_STEP + body * (self.hops().max(least_hops) + 1)
    }

    fn is_offered(&self) -> bool {
        self.offered_ago.is_some_and(|ago| ago < OFFER_KEPT)
    }

    /// Whether an instance of an age counts as starting while it doesn't know the site.
    #[must_use]
    pub fn is_starting(&self, age: Duration) -> bool {
        age < STARTING.max(self.known_after(age) * STARTING_SPREAD)
    }

    /// How long a request waits at most that comes at an age; `None` if it is refused at
    /// once.
    ///
    /// Load pattern: all of a site start again, and callers come all the while. One that
    /// waits in vain has lost the time in which it could have come back, and one that
    /// comes back too early meets another instance that doesn't know the site either,
    /// and gives up. So it waits only where the instance is likely to know in time.
    #[must_use]
    pub fn wait(&self, age: Duration) -> Option<Duration> {
        (self.left(age) <= LONGEST_WAIT).then_some(LONGEST_WAIT)
    }

    /// When a request that is refused at an age is to come back; `chance`, from 0 to 1, is
    /// its own.
    #[must_use]
    pub fn come_back_after(&self, age: Duration, chance: f64) -> Duration {
        let spread = chance.clamp(0.0, 1.0) * (AWAY_SPREAD - 1.0);
        self.left(age).max(LEAST_AWAY).mul_f64(1.0 + spread)
    }

    /// How much longer it is likely to take until the instance knows the site.
    fn left(&self, age: Duration) -> Duration {
        self.known_after(age).saturating_sub(age)
    }

    /// When the first in line reads.
    fn first_of_line(&self) -> Duration {
        if self.is_first_start {
            FIRST_READ_OF_SITE
        } else {
            FIRST_READ + self.body_time()
        }
    }

    /// How often a body is passed on until it reaches the instance: those that have it
    /// double with each time that it is sent.
    fn hops(&self) -> u32 {
        self.rank.checked_ilog2().map_or(1, |hops| hops + 2)
    }

    /// How long a body takes over the instance's link.
    fn body_time(&self) -> Duration {
        let seconds = self
            .link_mbps
            .map_or(0.0, |link_mbps| BODY_MBIT / link_mbps);
        Duration::try_from_secs_f64(seconds).map_or(LONGEST_BODY, |time| time.min(LONGEST_BODY))
    }
}
