//! Synchronises the quarantined requests with the platform's store.
//!
//! The instance that quarantines a request writes it to the store at once. In each
//! failure domain the store reader also reads what others have written and writes what is
//! missing; heartbeats carry it to the other instances. So the quarantine survives the
//! loss of all instances, and reaches a domain that receives from no other.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rookferry_core::QuarantineObject;
use rookferry_core::QuarantineStart;
use rookferry_core::RequestSignature;
use rookferry_core::StoreVersion;
use rookferry_net::clock;
use rookferry_wire::Object;
use slog::warn;

use crate::event_log::Weight;
use crate::relay::Relay;
use crate::store::StoreError;
use crate::tracked_store::Versioned;

/// How long a watch waits. Three calls per minute per failure domain, a fortieth of those
/// for the configuration, keep the store's load low; peers report changes sooner.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed call, and between checks whether this instance reads the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The same while the instance has just started and has no state, and after a refused
/// watch.
const SHORT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum attempts of one write when others write concurrently.
const MAX_WRITE_ATTEMPTS: usize = 4;

/// Synchronises the quarantined requests until the process exits.
pub(crate) async fn sync_quarantine(relay: Arc<Relay>) {
    let mut syncer = QuarantineSyncer {
        relay: relay.clone(),
        stored: Stored::default(),
    };
    loop {
        let needs_write = tokio::select! {
            () = relay.quarantine.store_pending.notified() => true,
            // Removes a released request from the store; otherwise a starting instance
            // would read it, and every instance would quarantine it again.
            () = relay.quarantine.released.notified() => syncer.stores_cleared(),
            has_read = syncer.read_next() => has_read,
        };
        if needs_write {
            syncer.write_changes().await;
        }
    }
}

/// The object as last read or written.
#[derive(Debug, Default)]
struct Stored {
    /// The store version to watch from; `None` before the first read, and after a
    /// restore.
    after: Option<StoreVersion>,
    /// The object's revision, in the era in which it was read.
    version: StoreVersion,
    quarantine: QuarantineObject,
}

struct QuarantineSyncer {
    relay: Arc<Relay>,
    stored: Stored,
}

impl QuarantineSyncer {
    /// Reads the next change from the store, or pauses; returns whether it was read.
    async fn read_next(&mut self) -> bool {
        if self.relay.skips_store() || self.relay.is_store_unavailable.load(Ordering::Relaxed) {
            let pause = if self.relay.awaits_peers() {
                SHORT_PAUSE
            } else {
                RETRY_PAUSE
            };
            tokio::time::sleep(pause).await;
            return false;
        }
        let read = match self.stored.after {
            None => return self.reload().await,
            Some(after) => self.relay.store.watch_quarantine(after, WATCH_WAIT).await,
        };
        match read {
            Ok(Versioned { version, value, .. }) => {
                self.stored.after = Some(version);
                if let Some(object) = value {
                    self.apply(&object);
                }
                return true;
            }
            // Pauses first: if the store refuses every watch, this would be a busy loop.
            Err(StoreError::Forgotten | StoreError::Outdated) => {
                self.stored.after = None;
                tokio::time::sleep(SHORT_PAUSE).await;
            }
            // The outage is logged by the tasks that read configuration and servers.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
        false
    }

    /// Reads what the store has, in its current era; returns whether it was read.
    async fn reload(&mut self) -> bool {
        let Ok(Versioned { version, value, .. }) = self.relay.store.quarantine().await else {
            // The outage is logged by the tasks that read configuration and servers.
            tokio::time::sleep(RETRY_PAUSE).await;
            return false;
        };
        self.stored = Stored {
            after: Some(version),
            version: StoreVersion::new(version.era, 0),
            quarantine: QuarantineObject::default(),
        };
        if let Some(object) = value {
            self.apply(&object);
        }
        true
    }

    /// Applies an object of the era that was last read.
    fn apply(&mut self, object: &Object) {
        let quarantine = match serde_json::from_value(object.value.clone()) {
            Ok(quarantine) => quarantine,
            Err(error) => {
                self.log_unreadable(&error);
                QuarantineObject::default()
            }
        };
        self.stored.version.revision = object.version;
        self.stored.quarantine = quarantine;
        let unix_now = clock::unix_now();
        for stored in self.stored.quarantine.requests() {
            self.relay
                .merge_stored(stored, unix_now.saturating_sub(stored.since));
        }
    }

    fn log_unreadable(&self, error: &serde_json::Error) {
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            warn!(log, "quarantine: the store's object can't be parsed";
                "event" => "object_unreadable", "kind" => "quarantine", "cause" => %error);
        }
    }

    /// Whether the stored object, as last seen, contains a request that has succeeded
    /// since.
    fn stores_cleared(&self) -> bool {
        let quarantine = self.relay.quarantine.lock();
        let mut stored = self.stored.quarantine.requests();
        stored.any(|stored| quarantine.is_cleared(stored.signature))
    }

    /// Writes quarantined requests that the store lacks, and removes released ones.
    async fn write_changes(&mut self) {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let Some(quarantine) = self.object_to_write() else {
                return;
            };
            let store = &self.relay.store;
            let written = store.write_quarantine(self.stored.version, &quarantine);
            match written.await {
                Ok(version) => {
                    self.stored.version = version;
                    self.stored.quarantine = quarantine;
                    return;
                }
                Err(StoreError::Conflict {
                    current: Some(current),
                }) => self.apply(&current),
                // The write may have replaced an object that wasn't read.
                Err(StoreError::Outdated) => {
                    self.reload().await;
                }
                // The write may have taken effect all the same.
                Err(_) => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    self.reload().await;
                }
            }
        }
        // The next pass starts at once.
        self.relay.quarantine.store_pending.notify_one();
    }

    /// The object to write, if the stored one lacks a quarantined request or contains one
    /// that has succeeded since.
    fn object_to_write(&self) -> Option<QuarantineObject> {
        let now = clock::now();
        let unix_now = clock::unix_now();
        let quarantine = self.relay.quarantine.lock();
        let quarantined: Vec<_> = quarantine
            .quarantined(now)
            .map(|(signature, at, quarantines)| QuarantineStart {
                signature,
                since: unix_now.saturating_sub(now.saturating_duration_since(at)),
                quarantines,
            })
            .collect();
        let is_cleared = |signature| quarantine.is_cleared(signature);
        let stored = self.stored.quarantine.without(is_cleared);
        let wanted = stored.with(quarantined, unix_now);
        let is_changed = quarantines(&wanted) != quarantines(&self.stored.quarantine);
        is_changed.then_some(wanted)
    }
}

/// The requests, each with the number of its quarantine.
fn quarantines(quarantine: &QuarantineObject) -> BTreeSet<(RequestSignature, u8)> {
    let requests = quarantine.requests();
    requests
        .map(|stored| (stored.signature, stored.quarantines))
        .collect()
}
