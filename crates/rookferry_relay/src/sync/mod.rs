//! Keeps configuration and server list in step with the platform's store.
//!
//! A watch that ends without a change confirms what is known, as of the time it was sent.
//! Watches are therefore short: their length bounds the age of what is known.

mod config;
mod outage;
mod servers;
mod staleness;

use std::time::Duration;

pub(crate) use config::sync_config;
pub(crate) use servers::PeerList;
pub(crate) use servers::sync_servers;
pub(crate) use staleness::watch_servers_age;

use crate::relay::Relay;

/// Poll interval of an instance that has just started and waits for its peers' state.
const START_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time until the next check whether this instance must read the store.
fn poll_interval(relay: &Relay) -> Duration {
    if relay.awaits_peers() {
        START_POLL_INTERVAL
    } else {
        relay.settings.bounds.propagation_budget().poll_interval()
    }
}
