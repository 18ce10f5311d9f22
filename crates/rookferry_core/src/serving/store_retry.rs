//! Retry pauses for a store that doesn't answer.
//!
//! In an outage all instances notice, and if all of them retried, the load would be a
//! multiple of the usual one. So the instances of a failure domain are ranked by address:
//! the first retries often, the others less often with increasing rank, and an instance
//! that gets an answer informs its peers by heartbeat. None stops retrying, since those
//! ranked before it may be cut off from a store that others reach.

use std::time::Duration;

/// Pause of the first-ranked instance after one failed call; doubles with each. About
/// fifteen usual response times of the store.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause of the first-ranked instance. A store that recovers serves the site
/// after this and a heartbeat.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause of all other instances. Less than the time for which a configuration may
/// go unconfirmed, 4.9 s.
const LONGEST_RANKED_PAUSE: Duration = Duration::from_secs(3);
/// The pause after `failures` consecutive failed calls, for an instance that is ranked
/// after `rank` others.
#[must_use]
pub fn ranked_pause(failures: u32, rank: usize) -> Duration {
    let doublings = failures.saturating_sub(1);
    let first_ranked = FIRST_PAUSE
        .saturating_mul(2_u32.saturating_pow(doublings))
        .min(LONGEST_PAUSE);
    let position = u32::try_from(rank).unwrap_or(u32::MAX).saturating_add(1);
    first_ranked
        .saturating_mul(position)
        .min(LONGEST_RANKED_PAUSE)
}
