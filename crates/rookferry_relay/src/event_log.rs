//! The log events of a relay: one per decision, each with the values that decided it.
//!
//! Every event has a name, listed in [`EVENTS`] and described in docs/OPERATIONS.md. A
//! separate thread writes the lines; they are dropped if it falls behind. The rate of
//! lines about successful requests is limited, so that lines about failures are not
//! crowded out.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_net::clock;
use slog::Logger;
use slog::info;
use slog::warn;

/// Limit of lines per second about successful requests.
const MAX_ROUTINE_LINES_PER_S: u64 = 200;
/// Limit of lines per second about failures and changes of state.
const MAX_NOTABLE_LINES_PER_S: u64 = 500;

/// The names of all events.
pub const EVENTS: &[&str] = &[
    "attempt_failed",
    "caller_left",
    "callers_limited",
    "config_adopted",
    "config_older",
    "config_unconfirmed",
    "dependency_lost",
    "dependency_regained",
    "figures_unusable",
    "heartbeat_shortened",
    "held_back",
    "lease_held",
    "lease_lost",
    "let_in",
    "link_full",
    "lines_dropped",
    "no_room",
    "notice_unreadable",
    "object_unreadable",
    "order_sent",
    "order_failed",
    "panicked",
    "path_broken",
    "path_repaired",
    "path_restored",
    "path_stalled",
    "path_unusable",
    "peer_joined",
    "peer_lost",
    "permit_refused",
    "permits_granted_here",
    "placement_planned",
    "refused",
    "reloaded",
    "request_held",
    "request_released",
    "report_unreadable",
    "retry_denied",
    "segments_unreadable",
    "served",
    "servers_adopted",
    "servers_confirmed",
    "servers_stale",
    "run_crashed",
    "server_backoff",
    "server_changed",
    "server_closed",
    "server_doubted",
    "server_leaving",
    "server_limit",
    "server_lost",
    "server_regained",
    "server_removed",
    "server_restarted",
    "started",
    "store_call_failed",
    "store_era_changed",
    "store_era_unreadable",
    "store_forgot",
    "store_reader_changed",
    "store_watch_overdue",
    "stopped",
    "stopping",
    "stream_cut",
    "stream_resumed",
    "tunnel_failed",
    "tunnel_opened",
];

/// Which rate limit a line falls under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Weight {
    /// About a request that went well.
    Routine,
    /// About a failure, or a changed state.
    Notable,
}

#[derive(Debug, Default)]
struct RateLimiter {
    /// The second since the start in the upper half, the number of lines in the lower.
    state: AtomicU64,
    dropped: AtomicU64,
}

/// Writes events within their rate limits.
#[derive(Debug)]
pub(crate) struct EventLog {
    log: Logger,
    started_at: Instant,
    routine: RateLimiter,
    notable: RateLimiter,
}

impl EventLog {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            started_at: clock::now(),
            routine: RateLimiter::default(),
            notable: RateLimiter::default(),
        }
    }

    /// The logger, if the rate limit of this weight allows a line now.
    pub(crate) fn line(&self, weight: Weight) -> Option<&Logger> {
        let second = clock::since(self.started_at).as_secs();
        let (limiter, limit) = match weight {
            Weight::Routine => (&self.routine, MAX_ROUTINE_LINES_PER_S),
            Weight::Notable => (&self.notable, MAX_NOTABLE_LINES_PER_S),
        };
        limiter.try_acquire(second, limit).then_some(&self.log)
    }

    /// Logs how many lines were dropped since the last such report.
    pub(crate) fn log_dropped(&self) {
        let routine = self.routine.dropped.swap(0, Ordering::Relaxed);
        let notable = self.notable.dropped.swap(0, Ordering::Relaxed);
        if routine + notable > 0 {
            warn!(self.log, "log: lines were dropped"; "event" => "lines_dropped",
                "routine" => routine, "notable" => notable);
        }
    }

    /// Logs that a dependency doesn't answer any more.
    pub(crate) fn dependency_lost(&self, name: &str, error: &dyn std::fmt::Display) {
        if let Some(log) = self.line(Weight::Notable) {
            warn!(log, "sync: a dependency is lost"; "event" => "dependency_lost",
                "dependency" => name, "cause" => %error);
        }
    }

    /// Logs that a dependency answers again.
    pub(crate) fn dependency_regained(&self, name: &str, outage: Duration) {
        if let Some(log) = self.line(Weight::Notable) {
            info!(log, "sync: a dependency answers again"; "event" => "dependency_regained",
                "dependency" => name, "away_ms" => millis(outage));
        }
    }
}

impl RateLimiter {
    fn try_acquire(&self, second: u64, limit: u64) -> bool {
        let taken = self
            .state
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| {
                let (at, lines) = (state >> 32, state & u64::from(u32::MAX));
                match at == second {
                    true if lines >= limit => None,
                    true => Some(state + 1),
                    false => Some((second << 32) | 1),
                }
            });
        if taken.is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        taken.is_ok()
    }
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
