//! Logs when the active server list passes the age at which it should have been read or
//! confirmed, and when it is confirmed again.
//!
//! An instance that receives nothing adopts nothing, so no other line shows that its list
//! grows old.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_net::clock;
use slog::KV;
use slog::Key;
use slog::Record;
use slog::Serializer;
use slog::info;
use slog::warn;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::mutex::lock;
use crate::relay::Relay;

/// What both lines tell of the list, as of one time.
struct ListFields<'a> {
    relay: &'a Relay,
    now: Instant,
}

/// Checks the age of the server list until the process exits. Periods shorter than the
/// pause between two checks may be missed.
pub(crate) async fn watch_servers_age(relay: Arc<Relay>) {
    let budget = relay.settings.bounds.propagation_budget();
    let mut stale_since: Option<Instant> = None;
    loop {
        tokio::time::sleep(budget.poll_interval()).await;
        let now = clock::now();
        let limit = lock(&relay.peers).max_store_age(budget, now);
        // A list that was never confirmed, or is missing, is as old as the instance.
        let age = relay.servers_age(now).unwrap_or_else(|| relay.age());
        stale_since = match stale_since {
            None if age >= limit => {
                log_stale(&relay, limit, now);
                let exceeded_by = age.saturating_sub(limit);
                Some(now.checked_sub(exceeded_by).unwrap_or(now))
            }
            Some(since) if age < limit => {
                log_confirmed(&relay, now.saturating_duration_since(since), now);
                None
            }
            unchanged => unchanged,
        };
    }
}

fn log_stale(relay: &Relay, limit: Duration, now: Instant) {
    if let Some(log) = relay.events.line(Weight::Notable) {
        warn!(log, "directory: the list of servers isn't confirmed in time";
            "event" => "servers_stale", "limit_ms" => millis(limit), ListFields { relay, now });
    }
}

fn log_confirmed(relay: &Relay, stale_for: Duration, now: Instant) {
    if let Some(log) = relay.events.line(Weight::Notable) {
        info!(log, "directory: the list of servers is confirmed again";
            "event" => "servers_confirmed", "stale_ms" => millis(stale_for),
            ListFields { relay, now });
    }
}

impl KV for ListFields<'_> {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Self { relay, now } = *self;
        let version = relay.servers_version();
        serializer.emit_arguments(Key::from("version"), &format_args!("{version}"))?;
        if let Some(confirmation) = relay.servers_confirmation() {
            let age = now.saturating_duration_since(confirmation.at);
            serializer.emit_u64(Key::from("age_ms"), millis(age))?;
            let by = confirmation.by;
            serializer.emit_arguments(Key::from("confirmed_by"), &format_args!("{by}"))?;
        }
        let reads = relay.reads_store.load(Ordering::Relaxed);
        serializer.emit_bool(Key::from("reads"), reads)?;
        serializer.emit_usize(Key::from("rank"), relay.rank(now))?;
        let Some(failed) = relay.store.last_failure() else {
            return Ok(());
        };
        let failed_for = now.saturating_duration_since(failed.at);
        serializer.emit_str(Key::from("failed_call"), failed.call)?;
        serializer.emit_str(Key::from("cause"), &failed.cause)?;
        serializer.emit_u64(Key::from("failed_ms"), millis(failed_for))
    }
}
