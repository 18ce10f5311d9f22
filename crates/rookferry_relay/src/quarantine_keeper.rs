//! Keeps the held requests in the platform's store.
//!
//! The instance that finds one writes it at once. Of each failure domain the
//! instance that asks the store also reads what others wrote, and writes what
//! is missing; heartbeats carry it on. So what is known outlives all instances,
//! and reaches a domain that hears no other.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rookferry_core::QuarantineObject;
use rookferry_core::RequestSignature;
use rookferry_core::StoreVersion;
use rookferry_net::clock;
use rookferry_wire::Object;
use slog::warn;

use crate::event_log::Weight;
use crate::relay::Relay;
use crate::store::StoreError;
use crate::tracked_store::Versioned;

/// How long a watch waits: three calls a minute and failure domain, a fortieth
/// of those for the configuration.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed call, and between looks whether the store is this
/// instance's to ask.
const PAUSE: Duration = Duration::from_secs(1);
/// The same while the instance has just started and knows of none, and after a watch that
/// was refused.
const START_PAUSE: Duration = Duration::from_millis(50);
/// How often a write is tried against others' writes.
const MAX_WRITES: usize = 4;

/// Keeps the held requests until the process ends.
pub(crate) async fn keep_quarantine(relay: Arc<Relay>) {
    let mut keeper = QuarantineKeeper {
        relay: relay.clone(),
        stored: Stored::default(),
    };
    loop {
        let may_lack = tokio::select! {
            () = relay.quarantine.store_pending.notified() => true,
            // Without this, instances that start read of a request that was
            // released, and all held it again.
            () = relay.quarantine.released.notified() => keeper.stores_cleared(),
            has_read = keeper.read_next() => has_read,
        };
        if may_lack {
            keeper.write_missing().await;
        }
    }
}

/// The object as it was last seen.
#[derive(Debug, Default)]
struct Stored {
    /// The version of the store to watch from; `None` before the first read, and after
    /// a restore.
    after: Option<StoreVersion>,
    /// The object's revision in the era that it was seen in.
    version: StoreVersion,
    quarantine: QuarantineObject,
}

struct QuarantineKeeper {
    relay: Arc<Relay>,
    stored: Stored,
}

impl QuarantineKeeper {
    /// The next news of the store, or a pause; tells whether it was read.
    async fn read_next(&mut self) -> bool {
        if self.relay.leaves_store() || self.relay.is_store_away.load(Ordering::Relaxed) {
            let pause = if self.relay.awaits_peers() {
                START_PAUSE
            } else {
                PAUSE
            };
            tokio::time::sleep(pause).await;
            return false;
        }
        let read = match self.stored.after {
            None => return self.read_anew().await,
            Some(after) => self.relay.store.watch_quarantine(after, WATCH_WAIT).await,
        };
        match read {
            Ok(Versioned { version, value, .. }) => {
                self.stored.after = Some(version);
                if let Some(object) = value {
                    self.take(&object);
                }
                return true;
            }
            // It is read anew after a pause: a store may refuse each watch.
            Err(StoreError::Forgotten | StoreError::Outdated) => {
                self.stored.after = None;
                tokio::time::sleep(START_PAUSE).await;
            }
            // A store that is away shows as a lost dependency already.
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
        false
    }

    /// Reads what the store has, in whichever era it is; tells whether it was read.
    async fn read_anew(&mut self) -> bool {
        let Ok(Versioned { version, value, .. }) = self.relay.store.quarantine().await else {
            // A store that is away shows as a lost dependency already.
            tokio::time::sleep(PAUSE).await;
            return false;
        };
        self.stored = Stored {
            after: Some(version),
            version: StoreVersion::new(version.era, 0),
            quarantine: QuarantineObject::default(),
        };
        if let Some(object) = value {
            self.take(&object);
        }
        true
    }

    /// Takes in what the store has in the era that was last read in.
    fn take(&mut self, object: &Object) {
        let quarantine = match serde_json::from_value(object.value.clone()) {
            Ok(quarantine) => quarantine,
            Err(error) => {
                self.note_unreadable(&error);
                QuarantineObject::default()
            }
        };
        self.stored.version.revision = object.version;
        self.stored.quarantine = quarantine;
        let unix_now = clock::unix_now();
        for (signature, since) in self.stored.quarantine.requests() {
            self.relay
                .merge_stored(signature, unix_now.saturating_sub(since));
        }
    }

    fn note_unreadable(&self, error: &serde_json::Error) {
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            warn!(log, "quarantine: what the store has doesn't read";
                "event" => "object_unreadable", "kind" => "quarantine", "cause" => %error);
        }
    }

    /// Whether the store, as last seen, holds a request that has ended well.
    fn stores_cleared(&self) -> bool {
        let quarantine = self.relay.quarantine.lock();
        let mut stored = self.stored.quarantine.requests();
        stored.any(|(signature, _)| quarantine.is_cleared(signature))
    }

    /// Writes what is held here and isn't in the store, and what is to go.
    async fn write_missing(&mut self) {
        for _ in 0..MAX_WRITES {
            let Some(quarantine) = self.missing() else {
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
                }) => self.take(&current),
                // It may have been written over what wasn't read.
                Err(StoreError::Outdated) => {
                    self.read_anew().await;
                }
                // Read it anew: it may have been written all the same.
                Err(_) => {
                    tokio::time::sleep(PAUSE).await;
                    self.read_anew().await;
                }
            }
        }
        // The next look tries again.
        self.relay.quarantine.store_pending.notify_one();
    }

    /// The object with what is held here, if the store's lacks some of it or
    /// holds what has ended well since.
    fn missing(&self) -> Option<QuarantineObject> {
        let now = clock::now();
        let unix_now = clock::unix_now();
        let quarantine = self.relay.quarantine.lock();
        let held: Vec<_> = quarantine
            .quarantined(now)
            .map(|(signature, at)| {
                let since = unix_now.saturating_sub(now.saturating_duration_since(at));
                (signature, since)
            })
            .collect();
        let is_cleared = |signature| quarantine.is_cleared(signature);
        let stored = self.stored.quarantine.without(is_cleared);
        let wanted = stored.with(held, unix_now);
        let is_news = signatures(&wanted) != signatures(&self.stored.quarantine);
        is_news.then_some(wanted)
    }
}

fn signatures(quarantine: &QuarantineObject) -> BTreeSet<RequestSignature> {
    let requests = quarantine.requests();
    requests.map(|(signature, _)| signature).collect()
}
