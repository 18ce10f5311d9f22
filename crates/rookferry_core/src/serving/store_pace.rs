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
/// How long an instance that restarts leaves the store alone where no peer
/// offers what it needs: peers that are there answer within a few
/// milliseconds, and after a loss of power there are none. Where each start reads
/// the store, starts are half of the calls to it.
const FIRST_READ: Duration = Duration::from_millis(120);
/// The same while a peer gives it: 200 KB over a link of 20 Mbit/s, at twice
/// the time for what else the link carries, and one peer asked in vain.
const FIRST_READ_OFFERED: Duration = Duration::from_millis(500);
/// The same where the whole site starts for the first time: all instances are
/// there and heard after three rounds of heartbeats, and no caller waits yet.
const FIRST_READ_OF_SITE: Duration = Duration::from_millis(700);
/// How much longer than the one in front of it an instance waits then: an
/// answer of the store, a heartbeat, and both bodies over a slow link.
const READ_STEP: Duration = Duration::from_millis(100);
/// Places in line that are told apart there; the last reads after 1.5 s.
const READ_STEPS: u32 = 8;

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

/// How long an instance that has just started leaves the store alone, for its
/// peers to tell it what they know; it stands behind `rank` others.
///
/// Load pattern: hundreds of instances that start or restart together, each
/// with a configuration and pages of backend servers to read.
#[must_use]
pub fn first_read_in_line(is_first_start: bool, rank: usize, is_offered: bool) -> Duration {
    if is_first_start {
        let steps = u32::try_from(rank).unwrap_or(READ_STEPS).min(READ_STEPS);
        return FIRST_READ_OF_SITE + READ_STEP * steps;
    }
    if is_offered {
        FIRST_READ_OFFERED
    } else {
        FIRST_READ
    }
}
