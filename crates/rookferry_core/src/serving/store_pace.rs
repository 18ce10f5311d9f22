//! How often an instance asks a store that doesn't answer.
//!
//! In an outage every instance notices, and all of them asking would be a
//! multiple of what the site asks otherwise. So the instances of a failure
//! domain stand in line by address: the first asks often, those behind it less
//! often the further back they stand, and whoever gets an answer tells the
//! others by heartbeat. None stops asking, since those in front may be cut
//! off from a store that others reach.

use std::time::Duration;

/// Pause of the first in line after one failed call; doubles with each. About
/// fifteen usual answers of the store.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause of the first in line. A store that comes back serves the
/// site after this and a heartbeat.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause of all others: under the time for which a configuration may
/// go without being confirmed, 4.9 s today.
const LONGEST_RANKED_PAUSE: Duration = Duration::from_secs(3);
/// The pause after a number of failed calls in a row, for an instance that
/// stands behind `rank` others.
#[must_use]
pub fn pause_in_line(failures: u32, rank: usize) -> Duration {
    let doublings = failures.saturating_sub(1);
    let first_in_line = FIRST_PAUSE
        .saturating_mul(2_u32.saturating_pow(doublings))
        .min(LONGEST_PAUSE);
    let places = u32::try_from(rank).unwrap_or(u32::MAX).saturating_add(1);
    first_in_line
        .saturating_mul(places)
        .min(LONGEST_RANKED_PAUSE)
}
