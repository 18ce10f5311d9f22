//! Keeps the configuration in step with the store.
//!
//! A store restored from a backup may contain an older configuration than the active one.
//! The active one stays, so a removed key stays removed. But nothing confirms it until
//! the operator has written it again, because changes made after the backup may be lost
//! as well.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rookferry_core::ServingConfig;
use rookferry_core::StoreVersion;
use rookferry_net::clock;
use slog::warn;

use super::outage::Outage;
use super::poll_interval;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::relay::Relay;
use crate::store::ConfigRead;
use crate::store::StoreError;
use crate::tracked_store::Versioned;

/// How long a watch of the configuration waits. A watch confirms the configuration as of
/// the watch's start, so the known age varies between one wait and two; when the store
/// becomes unavailable, that much of the bound for removed keys is already used.
const CONFIG_WATCH_WAIT: Duration = Duration::from_millis(600);

/// Keeps the configuration until the process exits.
pub(crate) async fn sync_config(relay: Arc<Relay>) {
    let mut stored = StoredConfig::default();
    let mut outage = Outage::none("store: configuration");
    let mut is_first = true;
    loop {
        if relay.skips_store() {
            is_first = true;
            // The result of an earlier call is meaningless by the time of the next one.
            relay.is_store_unavailable.store(false, Ordering::Relaxed);
            tokio::time::sleep(poll_interval(&relay)).await;
            continue;
        }
        // Others wait for the first read after a failure.
        let wait = if is_first {
            Duration::ZERO
        } else {
            CONFIG_WATCH_WAIT
        };
        let read = match stored.after {
            None => relay.store.config().await,
            Some(after) => relay.store.watch_config(after, wait).await,
        };
        is_first = read.is_err();
        match read {
            Ok(read) => {
                outage.record_success(&relay, read.requested_at);
                if stored.after.is_some() {
                    outage.record_watch();
                }
                relay.is_store_unavailable.store(false, Ordering::Relaxed);
                stored.apply(&relay, read);
            }
            Err(StoreError::Forgotten | StoreError::Outdated) => {
                stored.after = None;
                outage.record_refused_watch();
                outage.failures().wait_backoff(&relay).await;
            }
            Err(error) => {
                relay.is_store_unavailable.store(true, Ordering::Relaxed);
                outage.record_failure(&relay, &error);
                outage.failures().wait_backoff(&relay).await;
            }
        }
    }
}

/// What the store last returned.
#[derive(Debug, Default)]
struct StoredConfig {
    /// The store version to watch from.
    after: Option<StoreVersion>,
    /// The configuration's version, and the store version at which it was read.
    shown: Option<(StoreVersion, u64)>,
}

impl StoredConfig {
    /// Applies an answer, and confirms the configuration as far as the answer does.
    fn apply(&mut self, relay: &Relay, read: Versioned<ConfigRead>) {
        let Versioned {
            version,
            value,
            requested_at,
        } = read;
        self.after = Some(version);
        match value {
            ConfigRead::Valid(config) => {
                self.shown = Some((version, config.version));
                log_older(relay, &config);
                relay.adopt_config(config, "store", requested_at);
            }
            ConfigRead::Unchanged => {
                // A configuration read in a previous era confirms nothing.
                let shown = self.shown.filter(|(at, _)| at.era == version.era);
                if let Some((_, config_version)) = shown {
                    relay.confirm_config(config_version, requested_at);
                }
            }
            // The active one may contain keys that are removed by now, so its age grows.
            ConfigRead::Unreadable => {
                self.shown = None;
                log_unconfirmed(relay, version, "it can't be decoded");
            }
            ConfigRead::Absent => {
                if self.shown.take().is_some() {
                    log_unconfirmed(relay, version, "it is gone");
                }
            }
        }
    }
}

/// Logs that the store's configuration no longer confirms the active one.
fn log_unconfirmed(relay: &Relay, version: StoreVersion, cause: &str) {
    counter!("rookferry_config_unconfirmed_total").increment(1);
    if let Some(log) = relay.events.line(Weight::Notable) {
        let age = relay.config_age().age(clock::now());
        warn!(log, "config: the store's doesn't confirm the active one";
            "event" => "config_unconfirmed", "cause" => cause, "store_version" => %version,
            "in_force" => relay.config_version(), "age_ms" => age.map(millis),
            "refused_from_ms" => millis(relay.settings.bounds.max_config_age()));
    }
}

/// Logs that the store has an older configuration than the active one.
fn log_older(relay: &Relay, config: &ServingConfig) {
    let in_force = relay.config_version();
    if in_force <= Some(config.version) {
        return;
    }
    if let Some(log) = relay.events.line(Weight::Notable) {
        warn!(log, "config: the store has an older version; keeping the active one";
            "event" => "config_older", "version" => config.version, "in_force" => in_force);
    }
}
