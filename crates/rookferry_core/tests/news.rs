//! Time from the store's record that a server is leaving until the last instance knows
//! it, in virtual time, against the bounds that sites configure.

#[path = "support/news_site.rs"]
mod news_site;
#[path = "support/peer_site.rs"]
mod peer_site;

use std::time::Duration;

use news_site::NewsSite;
use news_site::StoreLink;
use rand::RngExt;
use rstest::rstest;

/// A fault that occurs right before the server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// The connections of all watches die without a reset.
    SilentWatches,
    /// All store readers are cut off from the store.
    ReadersCutOff,
    /// All store readers crash.
    ReadersEnd,
    /// One domain is cut off from the others.
    DomainCutOff,
    /// A tenth of the datagrams are lost.
    Loss,
    /// A third of the instances, some store readers among them, handle datagrams late.
    SlowInstances,
    /// Silent watches, a domain that is cut off and some loss at once.
    Several,
}

const FAULTS: [Fault; 8] = [
    Fault::Nothing,
    Fault::SilentWatches,
    Fault::ReadersCutOff,
    Fault::ReadersEnd,
    Fault::DomainCutOff,
    Fault::Loss,
    Fault::SlowInstances,
    Fault::Several,
];

/// Simulates a fault, and returns the milliseconds after which the last running instance
/// knew that the server is leaving.
fn last_knew_ms(
    domains: usize,
    per_domain: usize,
    bound: Duration,
    fault: Fault,
    seed: u64,
) -> u64 {
    let mut news = NewsSite::start(domains, per_domain, bound, seed);
    let count = news.site.instances.len();
    let readers = news.readers();
    let mut sound: Vec<usize> = (0..count).collect();
    match fault {
        Fault::Nothing => {}
        Fault::SilentWatches => news.silence_watches(),
        Fault::ReadersCutOff => {
            for reader in &readers {
                news.links[*reader] = StoreLink::Cut;
            }
        }
        Fault::ReadersEnd => {
            for reader in &readers {
                news.site.instances[*reader].is_up = false;
            }
            sound.retain(|place| !readers.contains(place));
        }
        Fault::DomainCutOff => news.site.cut = Some(0),
        Fault::Loss => news.site.loss = 0.1,
        Fault::SlowInstances => news.site.slow = (0..count).step_by(3).collect(),
        Fault::Several => {
            news.silence_watches();
            news.site.cut = Some(0);
            news.site.loss = 0.03;
        }
    }
    let before_ms = news.site.rng.random_range(0..50);
    news.run_for(before_ms);
    news.server_leaves();
    let twice_ms = u64::try_from(bound.as_millis()).unwrap() * 2;
    news.last_knew_after_ms(&sound, twice_ms)
        .unwrap_or(u64::MAX)
}

#[rstest]
#[case::three(1, 3, 2, 8)]
#[case::three_domains_of_one(3, 1, 2, 8)]
#[case::nine(3, 3, 2, 8)]
#[case::sixty(3, 20, 3, 3)]
#[case::a_hundred_and_fifty(3, 50, 4, 1)]
#[case::three_hundred(5, 60, 4, 1)]
fn a_server_that_leaves_is_known_to_all_within_the_bound(
    #[case] domains: usize,
    #[case] per_domain: usize,
    #[case] bound_s: u64,
    #[case] seeds: u64,
) {
    let bound = Duration::from_secs(bound_s);
    let bound_ms = bound_s * 1_000;
    for fault in FAULTS {
        // No other instance could read the store.
        let readers_are_all = per_domain == 1;
        if readers_are_all && matches!(fault, Fault::ReadersCutOff | Fault::ReadersEnd) {
            continue;
        }
        let times = (0..seeds).map(|seed| last_knew_ms(domains, per_domain, bound, fault, seed));
        let last_ms = times.max().unwrap();
        println!("{domains} x {per_domain}, {bound_s} s, {fault:?}: {last_ms} ms");
        assert!(
            last_ms < bound_ms,
            "{fault:?}: the last instance knew after {last_ms} ms"
        );
    }
}

/// One instance of each domain reads the store, however many there are.
#[rstest]
#[case::nine(3, 3)]
#[case::sixty(3, 20)]
#[case::a_hundred_and_eighty(3, 60)]
fn calls_to_the_store_do_not_grow_with_the_instances(
    #[case] domains: usize,
    #[case] per_domain: usize,
) {
    let bound = Duration::from_secs(3);
    let mut news = NewsSite::start(domains, per_domain, bound, 1);
    let before = news.calls;
    news.run_for(20_000);
    let calls = news.calls - before;
    // Each watch waits 0.75 s; a fifth more is allowed for changes of the store reader.
    let expected = 20_000 / 750 * u64::try_from(domains).unwrap();
    assert!(
        calls <= expected * 6 / 5,
        "{calls} calls, {expected} expected"
    );
}
