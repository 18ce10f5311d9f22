//! Keeps configuration and backend servers as the platform's store has them.
//!
//! A watch that ends without news confirms what is known, as of when it was
//! sent. So watches are short: they bound the age of what is known.

mod config;
mod outage;
mod servers;

use std::time::Duration;

pub(crate) use config::keep_config;
pub(crate) use servers::PeerList;
pub(crate) use servers::keep_servers;

use crate::relay::Relay;

/// How often an instance that has just started looks whether its peers have
/// told it what they know.
const START_PAUSE: Duration = Duration::from_millis(25);

/// How long to leave the store alone before the next look.
fn look_pause(relay: &Relay) -> Duration {
    if relay.awaits_peers() {
        START_PAUSE
    } else {
        relay.settings.bounds.news_budget().poll_interval()
    }
}
