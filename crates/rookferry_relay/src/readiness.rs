//! Decides whether this instance knows the site well enough to serve, and whether it
//! reads the store itself or relies on its peers.
//!
//! Only one instance per failure domain reads the store; the others use that instance's
//! state and fall back to the store when it grows old.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::StartQueue;
use rookferry_net::clock;
use slog::info;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::mutex::lock;
use crate::peers::advertised_ms;
use crate::refusal::Refusal;
use crate::relay::Relay;

impl Relay {
    /// Whether requests can be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.knows_site()
    }

    /// Whether this instance has just started, and may know the site within moments.
    pub(crate) fn is_starting(&self) -> bool {
        !self.knows_site() && self.start_queue().is_starting(self.age())
    }

    /// Whether configuration and servers are known and recent enough to serve by.
    pub(crate) fn knows_site(&self) -> bool {
        let view = self.view.load();
        view.index.is_some() && view.servers.is_some() && self.is_config_fresh()
    }

    /// The refusal for requests that can't be served while the site isn't known.
    pub(crate) fn unknown_site_refusal(&self) -> Refusal {
        if self.is_starting() {
            let queue = self.start_queue();
            return Refusal::Starting(queue.retry_after(self.age(), rand::random()));
        }
        // Live peers would have passed on a newer confirmation.
        if lock(&self.peers).has_live_peer(clock::now()) {
            return Refusal::ConfigStale;
        }
        Refusal::ConfigUnknown
    }

    /// Whether the configuration was recently confirmed to be the newest.
    pub(crate) fn is_config_fresh(&self) -> bool {
        let bound = self.settings.bounds.max_config_age();
        lock(&self.config_age).is_fresh(clock::now(), bound)
    }

    /// Milliseconds since a version was known to be the newest, rounded up, as advertised
    /// to peers; `None` if another version is active.
    pub(crate) fn config_age_ms(&self, version: u64, now: Instant) -> Option<u64> {
        let known = self.config_age();
        let age = known.age(now).filter(|_| known.version() == version)?;
        Some(advertised_ms(age))
    }

    /// Time since the active server list was known to be the newest.
    pub(crate) fn servers_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.servers_age).age(now)
    }

    /// Whether this instance gets the store's content from a peer that reads it.
    ///
    /// One instance per failure domain, the store reader, reads the store. The others
    /// rely on its heartbeats, which carry the age of its state, and read the store
    /// themselves when that or their own state grows too old.
    pub(crate) fn relies_on_peers(&self) -> bool {
        let now = clock::now();
        let budget = self.settings.bounds.propagation_budget();
        let bound = lock(&self.peers).max_store_age(budget, now);
        let is_informed = self.store.contact().is_fresh(now, bound)
            && self.servers_age(now).is_some_and(|age| age < bound)
            && self.has_newest_config(now, bound);
        is_informed && !lock(&self.peers).is_store_reader(budget, now)
    }

    /// Whether no newer configuration is known. One that no instance confirms, since the
    /// store was restored from an older backup, still counts as the newest.
    fn has_newest_config(&self, now: Instant, bound: Duration) -> bool {
        let Some(version) = self.config_version() else {
            return false;
        };
        self.config_age().is_fresh(now, bound) || !lock(&self.peers).has_newer_config(version, now)
    }

    /// Whether this instance has just started and its peers have not yet sent their
    /// state, or have sent a recent one. It reads the store itself if they don't.
    pub(crate) fn awaits_peers(&self) -> bool {
        if self.age() >= self.start_queue().first_read_after() {
            return false;
        }
        let fresh = self.settings.bounds.propagation_budget().max_report_age();
        !self.knows_site() || self.store.contact().is_fresh(clock::now(), fresh)
    }

    /// This instance's place in the queue at its start.
    fn start_queue(&self) -> StartQueue {
        let peers = lock(&self.peers);
        StartQueue {
            is_first_start: self.settings.is_first_start,
            rank: peers.rank(clock::now()).max(peers.known_rank()),
            offered_ago: lock(&self.offered_at).map(clock::since),
            link_mbps: self.settings.machine.link_mbps,
        }
    }

    /// The longest time that a request waits while this instance starts; `None` if it is
    /// refused at once.
    pub(crate) fn start_wait(&self) -> Option<Duration> {
        self.start_queue().max_wait(self.age())
    }

    /// Whether the store isn't read, because peers provide its content.
    pub(crate) fn skips_store(&self) -> bool {
        self.relies_on_peers() || self.awaits_peers()
    }

    /// Records whether this instance reads the server list from the store itself, and logs
    /// a change; returns whether it changed.
    pub(crate) fn record_store_reader(&self, reads: bool) -> bool {
        if self.reads_store.swap(reads, Ordering::Relaxed) == reads {
            return false;
        }
        let now = clock::now();
        let age_ms = self.store.contact().age(now).map(millis);
        if let Some(log) = self.events.line(Weight::Notable) {
            info!(log, "store: the reading of the server list changes";
                "event" => "store_reader_changed", "reads" => reads,
                "rank" => self.rank(now), "store_age_ms" => age_ms);
        }
        true
    }

    /// This instance's rank in its failure domain: how many instances precede it for the
    /// domain's duties, such as reading the store.
    pub(crate) fn rank(&self, now: Instant) -> usize {
        lock(&self.peers).rank(now)
    }
}
