//! Keeps the configuration.
//!
//! A store that is restored from a copy may show an older configuration than the
//! one in force, which stays: a key that was removed stays removed. But nothing
//! confirms it until the operator has written it again, as what came after it may
//! be lost too.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rookferry_core::ServingConfig;
use rookferry_core::StoreVersion;
use slog::warn;

use super::look_pause;
use super::outage::Outage;
use crate::event_log::Weight;
use crate::relay::Relay;
use crate::store::StoreError;
use crate::tracked_store::Versioned;

/// How long a watch of the configuration waits. What it confirms is as old as
/// its start, so the age goes from one wait to two; when the store goes away
/// that much of the bound for removed keys is gone already.
const CONFIG_WAIT: Duration = Duration::from_millis(600);

/// Keeps the configuration.
pub(crate) async fn keep_config(relay: Arc<Relay>) {
    let mut stored = StoredConfig::default();
    let mut outage = Outage::none("store: configuration");
    loop {
        if relay.leaves_store() {
            // What a call showed before says nothing by the time of the next.
            relay.is_store_away.store(false, Ordering::Relaxed);
            tokio::time::sleep(look_pause(&relay)).await;
            continue;
        }
        let read = match stored.after {
            None => relay.store.config().await,
            Some(after) => relay.store.watch_config(after, CONFIG_WAIT).await,
        };
        match read {
            Ok(read) => {
                outage.ended(&relay);
                if stored.after.is_some() {
                    outage.watch_went_on();
                }
                relay.is_store_away.store(false, Ordering::Relaxed);
                stored.take(&relay, read);
            }
            Err(StoreError::Forgotten | StoreError::Outdated) => {
                stored.after = None;
                outage.watch_refused();
                outage.failures().wait_in_line(&relay).await;
            }
            Err(error) => {
                relay.is_store_away.store(true, Ordering::Relaxed);
                outage.failed(&relay, &error);
                outage.failures().wait_in_line(&relay).await;
            }
        }
    }
}

/// What the store was last seen to have.
#[derive(Debug, Default)]
struct StoredConfig {
    /// The version of the store to watch from.
    after: Option<StoreVersion>,
    /// The version of the configuration that it had in an era.
    shown: Option<(StoreVersion, u64)>,
}

impl StoredConfig {
    /// Takes an answer in, and confirms what it confirms.
    fn take(&mut self, relay: &Relay, read: Versioned<Option<ServingConfig>>) {
        let Versioned {
            version,
            value,
            asked_at,
        } = read;
        self.after = Some(version);
        if let Some(config) = value {
            self.shown = Some((version, config.version));
            note_older(relay, &config);
            relay.adopt_config(config, "store", asked_at);
            return;
        }
        // One that doesn't read confirms the last good one, as no news does; what was
        // shown in an era that is over confirms nothing.
        let shown = self.shown.filter(|(at, _)| at.era == version.era);
        if let Some((_, config_version)) = shown {
            relay.confirm_config(config_version, asked_at);
        }
    }
}

/// Tells that the store has an older configuration than the one in force.
fn note_older(relay: &Relay, config: &ServingConfig) {
    let in_force = relay.config_version();
    if in_force <= Some(config.version) {
        return;
    }
    if let Some(log) = relay.events.line(Weight::Notable) {
        warn!(log, "config: the store has an older version, and the one in force stays";
            "event" => "config_older", "version" => config.version, "in_force" => in_force);
    }
}
