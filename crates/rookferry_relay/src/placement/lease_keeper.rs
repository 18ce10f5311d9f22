//! Acquires and renews the site's lease, and decides which engines may be ordered.
//!
//! The lease holder orders engines of the whole site. While there is no holder, the
//! first-ranked instance of each failure domain orders engines of its own domain.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::Lease;
use rookferry_core::LeaseAction;
use rookferry_core::LeaseTiming;
use rookferry_core::StoreVersion;
use rookferry_net::clock;
use rookferry_wire::Incarnation;
use rookferry_wire::StoreEra;
use slog::info;

use crate::event_log::Weight;
use crate::mutex::lock;
use crate::relay::Relay;
use crate::store::StoreError;

/// Duration of the lease; a dead holder is replaced after about this time.
const LEASE_DURATION: Duration = Duration::from_secs(2);
/// How long an instance may be paused between checking the lease and sending. Orders
/// carry the engine's sequence number, so nothing waits for this time.
const PAUSE_BOUND: Duration = Duration::from_secs(1);
/// How often a candidate reads the lease while no holder is known.
const CANDIDATE_READ_INTERVAL: Duration = Duration::from_millis(500);
/// How often it does while a holder is known; covers a holder that has lost the lease to
/// another without noticing.
const KNOWN_HOLDER_READ_INTERVAL: Duration = Duration::from_secs(15);
/// How long no holder must have been reported before an instance orders engines of its
/// own domain without a lease: longer than another instance takes to acquire it.
const DEPUTY_DELAY: Duration = Duration::from_millis(3_500);

/// The engines that an instance may order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// None.
    Nothing,
    /// Those of its own failure domain, while there is no holder.
    Domain,
    /// All.
    Site,
}

/// Renews the lease, or tries to acquire it.
pub(super) struct LeaseKeeper {
    relay: Arc<Relay>,
    lease: Lease,
    /// The store's era in which the lease was read or written.
    era: StoreEra,
    read_at: Option<Instant>,
    /// Whether the lease was held when the store was restored; it is then read again
    /// whichever instance reads the store for the domain.
    must_reread: bool,
    /// Whether this instance held the lease when the store last answered.
    was_holder: bool,
    /// Since when calls about the lease have failed.
    unavailable_since: Option<Instant>,
    started_at: Instant,
}

impl LeaseKeeper {
    pub(super) fn new(relay: Arc<Relay>, incarnation: Incarnation) -> Self {
        let timing = LeaseTiming {
            duration: LEASE_DURATION,
            pause_bound: PAUSE_BOUND,
        };
        Self {
            lease: Lease::new(relay.settings.instance.clone(), incarnation, timing),
            era: 0,
            relay,
            read_at: None,
            must_reread: false,
            was_holder: false,
            unavailable_since: None,
            started_at: clock::now(),
        }
    }

    fn is_holder(&self) -> bool {
        self.lease.fence_for(clock::now(), true).is_some()
    }

    /// Which engines this instance may order now.
    pub(super) fn scope(&self) -> Scope {
        if self.is_holder() {
            return Scope::Site;
        }
        let now = clock::now();
        let peers = lock(&self.relay.peers);
        if peers.has_live_holder(now) {
            return Scope::Nothing;
        }
        // While the store is unavailable no instance can take the lease over, and
        // conflicting orders of two instances would be refused by the engines' sequence
        // numbers.
        if self.was_holder && self.unavailable_since.is_some() {
            return Scope::Site;
        }
        let reported_at = peers.holder_known_at().unwrap_or(self.started_at);
        let is_deputy = now.saturating_duration_since(reported_at) >= DEPUTY_DELAY
            && peers.is_first_ranked(now);
        if is_deputy {
            Scope::Domain
        } else {
            Scope::Nothing
        }
    }

    /// Releases the lease, so that another instance can acquire it at once.
    pub(super) async fn release_lease(&mut self) {
        if let Some((expected, object)) = self.lease.release() {
            // If this fails, the lease expires by itself.
            let expected = StoreVersion::new(self.era, expected);
            let _ = self.relay.store.write_lease(expected, &object).await;
        }
        self.publish_lease();
    }

    /// Renews the lease, or acquires an expired one. Returns whether it was won or lost.
    pub(super) async fn renew(&mut self) -> bool {
        self.reset_on_era_change();
        let requested_at = clock::now();
        let is_holder_known = lock(&self.relay.peers).has_live_holder(requested_at);
        let pause = if is_holder_known {
            KNOWN_HOLDER_READ_INTERVAL
        } else {
            CANDIDATE_READ_INTERVAL
        };
        // Only one instance per domain is a candidate: its store reader.
        let is_candidate = self.must_reread || !self.relay.skips_store();
        let is_due = !self.is_holder()
            && is_candidate
            && !self.relay.is_store_unavailable.load(Ordering::Relaxed)
            && self
                .read_at
                .is_none_or(|read_at| clock::since(read_at) >= pause);
        if is_due {
            self.read_at = Some(requested_at);
            match self.relay.store.lease().await {
                Ok(read) => {
                    self.reset_on_era_change();
                    self.read_at = Some(requested_at);
                    if read.version.era == self.era {
                        self.lease.on_read(requested_at, read.value.as_ref());
                        self.must_reread = false;
                        self.record_answer();
                    }
                }
                // The outage is logged by the task that reads the server list.
                Err(_) => {
                    self.unavailable_since.get_or_insert(requested_at);
                }
            }
        }
        // A lease that isn't read while a holder is known only looks expired.
        let may_write = self.is_holder() || (is_due && !is_holder_known);
        if may_write
            && let LeaseAction::Write { expected, object } = self.lease.next_action(clock::now())
        {
            let sent_at = clock::now();
            let expected = StoreVersion::new(self.era, expected);
            match self.relay.store.write_lease(expected, &object).await {
                Ok(version) => {
                    self.lease.on_written(sent_at, version.revision, object);
                    self.record_answer();
                    self.was_holder = true;
                }
                Err(StoreError::Conflict { current }) => {
                    self.lease.on_read(clock::now(), current.as_ref());
                    self.record_answer();
                }
                // It may have been written over another holder's lease.
                Err(StoreError::Outdated) => self.read_at = None,
                // The next read shows whether it was written.
                Err(_) => {
                    self.read_at = None;
                    self.unavailable_since.get_or_insert(sent_at);
                }
            }
        }
        self.publish_lease()
    }

    /// Discards what was read or written of the lease in a previous era of the store:
    /// another instance may hold it now, or none.
    fn reset_on_era_change(&mut self) {
        let era = self.relay.store.era();
        if era == self.era {
            return;
        }
        self.must_reread |= self.was_holder;
        self.era = era;
        self.lease.reset();
        self.was_holder = false;
        self.read_at = None;
    }

    fn record_answer(&mut self) {
        self.unavailable_since = None;
        self.was_holder = self.is_holder();
    }

    /// Publishes and logs whether this instance orders the whole site; returns whether
    /// that has changed.
    fn publish_lease(&self) -> bool {
        let is_held = self.scope() == Scope::Site;
        if self.relay.holds_lease.swap(is_held, Ordering::Relaxed) == is_held {
            return false;
        }
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            let holder = self.lease.holder().map(|lease| lease.holder.to_string());
            let fence = self.lease.holder().map(|lease| lease.fence);
            let event = if is_held { "lease_held" } else { "lease_lost" };
            info!(log, "placement: the lease changed"; "event" => event,
                "holder" => holder, "fence" => fence);
        }
        true
    }
}
