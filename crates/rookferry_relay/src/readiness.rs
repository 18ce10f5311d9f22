//! What an instance knows of its site, and whether it serves by that.

use std::time::Duration;
use std::time::Instant;

use rookferry_core::StartQueue;
use rookferry_net::clock;

use crate::mutex::lock;
use crate::peers::told_ms;
use crate::refusal::Refusal;
use crate::relay::Relay;

impl Relay {
    /// Whether requests can be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.knows_site()
    }

    /// Whether this instance has just started, and may know the site within
    /// moments.
    pub(crate) fn is_starting(&self) -> bool {
        !self.knows_site() && self.start_line().is_starting(self.age())
    }

    /// Whether configuration and servers are known well enough to serve by.
    pub(crate) fn knows_site(&self) -> bool {
        let view = self.view.load();
        view.index.is_some() && view.servers.is_some() && self.is_config_fresh()
    }

    /// Why requests can't be served while the site isn't known.
    pub(crate) fn unknown_site(&self) -> Refusal {
        if self.is_starting() {
            let line = self.start_line();
            return Refusal::Starting(line.retry_after(self.age(), rand::random()));
        }
        // Peers that are heard would have passed a newer word on.
        if lock(&self.peers).has_live_peer(clock::now()) {
            return Refusal::ConfigStale;
        }
        Refusal::ConfigUnknown
    }

    /// Whether the configuration was known to be the newest a short time ago.
    pub(crate) fn is_config_fresh(&self) -> bool {
        let bound = self.settings.bounds.max_config_age();
        lock(&self.config_age).is_fresh(clock::now(), bound)
    }

    /// How long ago a version was known to be the newest, rounded up, as peers
    /// are told.
    pub(crate) fn config_age_ms(&self, version: u64, now: Instant) -> Option<u64> {
        let known = self.config_age();
        let age = known.age(now).filter(|_| known.version() == version)?;
        Some(told_ms(age))
    }

    /// How long ago the list of servers in force was known to be the newest.
    pub(crate) fn servers_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.servers_age).age(now)
    }

    /// Whether this instance hears what the store has from one that reads it.
    ///
    /// One instance a failure domain reads the store; the others take its word, which
    /// heartbeats bring with its age, and read themselves when that grows old, or what
    /// they have in force does.
    pub(crate) fn relies_on_peers(&self) -> bool {
        let now = clock::now();
        let budget = self.settings.bounds.news_budget();
        let bound = lock(&self.peers).max_store_age(budget, now);
        let is_informed = self.store.contact().is_fresh(now, bound)
            && self.servers_age(now).is_some_and(|age| age < bound)
            && self.has_newest_config(now, bound);
        is_informed && !lock(&self.peers).is_store_reader(budget, now)
    }

    /// Whether no newer configuration is known of. One that nobody confirms, since the
    /// store was restored from before it, is the newest all the same.
    fn has_newest_config(&self, now: Instant, bound: Duration) -> bool {
        let Some(version) = self.config_version() else {
            return false;
        };
        self.config_age().is_fresh(now, bound) || !lock(&self.peers).has_newer_config(version, now)
    }

    /// Whether this instance has just started, and its peers are yet to tell
    /// it what they know, or what they told is fresh. It reads the store itself if
    /// they don't.
    pub(crate) fn awaits_peers(&self) -> bool {
        if self.age() >= self.start_line().first_read_after() {
            return false;
        }
        let fresh = self.settings.bounds.news_budget().max_report_age();
        !self.knows_site() || self.store.contact().is_fresh(clock::now(), fresh)
    }

    /// This instance's place in line at its start.
    fn start_line(&self) -> StartQueue {
        let peers = lock(&self.peers);
        StartQueue {
            is_first_start: self.settings.is_first_start,
            rank: peers.rank(clock::now()).max(peers.known_rank()),
            offered_ago: lock(&self.offered_at).map(clock::since),
            link_mbps: self.settings.machine.link_mbps,
        }
    }

    /// How long a request waits at most that comes while this instance starts; `None` if
    /// it is refused at once.
    pub(crate) fn start_wait(&self) -> Option<Duration> {
        self.start_line().max_wait(self.age())
    }

    /// Whether the store is left alone, because peers tell what it has.
    pub(crate) fn leaves_store(&self) -> bool {
        self.relies_on_peers() || self.awaits_peers()
    }

    /// How many instances of the failure domain are before this one in asking
    /// the store.
    pub(crate) fn rank(&self, now: Instant) -> usize {
        lock(&self.peers).rank(now)
    }
}
