//! Who may order engines: the holder of the site's lease, or, while there is
//! none, the first instance of each domain in its own.

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

/// How long the lease lasts; a dead holder is replaced after about this.
const LEASE: Duration = Duration::from_secs(2);
/// How long a sender may be paused between its check and its sending. Orders
/// name the engine's sequence, so nothing waits for it.
const PAUSE_BOUND: Duration = Duration::from_secs(1);
/// How often a rival looks at the lease while it hears no holder.
const RIVAL_READS: Duration = Duration::from_millis(500);
/// The same while it hears one; covers a holder that has lost the lease to
/// another without knowing.
const QUIET_READS: Duration = Duration::from_secs(15);
/// How long no holder must have been heard before an instance orders engines
/// of its own domain without a lease: longer than another takes to get it.
const DEPUTY_AFTER: Duration = Duration::from_millis(3_500);

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

/// Keeps the lease, or looks for it.
pub(super) struct LeaseKeeper {
    relay: Arc<Relay>,
    lease: Lease,
    /// The store's era that the lease is of.
    era: StoreEra,
    read_at: Option<Instant>,
    /// Whether the lease was held when the store was restored: it is read again
    /// whoever reads the store for the domain.
    is_to_reread: bool,
    /// Whether this instance held the lease when the store last answered.
    was_holder: bool,
    /// Since when the store hasn't answered about the lease.
    away_since: Option<Instant>,
    started_at: Instant,
}

impl LeaseKeeper {
    pub(super) fn new(relay: Arc<Relay>, incarnation: Incarnation) -> Self {
        let timing = LeaseTiming {
            duration: LEASE,
            pause_bound: PAUSE_BOUND,
        };
        Self {
            lease: Lease::new(relay.settings.instance.clone(), incarnation, timing),
            era: 0,
            relay,
            read_at: None,
            is_to_reread: false,
            was_holder: false,
            away_since: None,
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
        if peers.hears_holder(now) {
            return Scope::Nothing;
        }
        // While the store is away nobody can take the lease over, and orders
        // of two would meet the engines' own count of orders.
        if self.was_holder && self.away_since.is_some() {
            return Scope::Site;
        }
        let heard_at = peers.holder_at().unwrap_or(self.started_at);
        let is_deputy =
            now.saturating_duration_since(heard_at) >= DEPUTY_AFTER && peers.is_first(now);
        if is_deputy {
            Scope::Domain
        } else {
            Scope::Nothing
        }
    }

    /// Lets another instance take the lease at once.
    pub(super) async fn give_up(&mut self) {
        if let Some((expected, object)) = self.lease.release() {
            // If it fails, the lease runs out by itself.
            let expected = StoreVersion::new(self.era, expected);
            let _ = self.relay.store.write_lease(expected, &object).await;
        }
        self.note_lease();
    }

    /// Renews the lease, or takes it where it has run out. Tells whether it
    /// was won or lost.
    pub(super) async fn keep(&mut self) -> bool {
        self.follow_era();
        let asked_at = clock::now();
        let is_heard = lock(&self.relay.peers).hears_holder(asked_at);
        let pause = if is_heard { QUIET_READS } else { RIVAL_READS };
        // Of the others one a domain is a rival, the one that asks the store.
        let is_rival = self.is_to_reread || !self.relay.leaves_store();
        let is_due = !self.is_holder()
            && is_rival
            && !self.relay.is_store_away.load(Ordering::Relaxed)
            && self
                .read_at
                .is_none_or(|read_at| clock::since(read_at) >= pause);
        if is_due {
            self.read_at = Some(asked_at);
            match self.relay.store.lease().await {
                Ok(read) => {
                    self.follow_era();
                    self.read_at = Some(asked_at);
                    if read.version.era == self.era {
                        self.lease.on_read(asked_at, read.value.as_ref());
                        self.is_to_reread = false;
                        self.store_answered();
                    }
                }
                // It shows as a lost dependency where the servers are read.
                Err(_) => {
                    self.away_since.get_or_insert(asked_at);
                }
            }
        }
        // What isn't read while a holder is heard looks run out, and isn't.
        let may_write = self.is_holder() || (is_due && !is_heard);
        if may_write
            && let LeaseAction::Write { expected, object } = self.lease.next_action(clock::now())
        {
            let sent_at = clock::now();
            let expected = StoreVersion::new(self.era, expected);
            match self.relay.store.write_lease(expected, &object).await {
                Ok(version) => {
                    self.lease.on_written(sent_at, version.revision, object);
                    self.store_answered();
                    self.was_holder = true;
                }
                Err(StoreError::Conflict { current }) => {
                    self.lease.on_read(clock::now(), current.as_ref());
                    self.store_answered();
                }
                // It may have been written over another holder's.
                Err(StoreError::Outdated) => self.read_at = None,
                // Whether it was written is read back next time.
                Err(_) => {
                    self.read_at = None;
                    self.away_since.get_or_insert(sent_at);
                }
            }
        }
        self.note_lease()
    }

    /// In another era of the store nothing holds that was read or written of the
    /// lease: another may hold it, or nobody.
    fn follow_era(&mut self) {
        let era = self.relay.store.era();
        if era == self.era {
            return;
        }
        self.is_to_reread |= self.was_holder;
        self.era = era;
        self.lease.reset();
        self.was_holder = false;
        self.read_at = None;
    }

    fn store_answered(&mut self) {
        self.away_since = None;
        self.was_holder = self.is_holder();
    }

    /// Notes whether this instance orders; tells whether that has changed.
    fn note_lease(&self) -> bool {
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
