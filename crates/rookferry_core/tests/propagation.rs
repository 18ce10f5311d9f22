//! Time from the store's record that a server is leaving until the last instance knows
//! it, in virtual time, against the bounds that sites configure.

#[path = "support/peer_site.rs"]
mod peer_site;
#[path = "support/propagation_site.rs"]
mod propagation_site;

use std::time::Duration;

use propagation_site::PropagationSite;
use propagation_site::StoreLink;
use rand::RngExt;
use rstest::rstest;

/// A fault that occurs right before the server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// The connections of all watches die without a reset.
    StalledWatches,
    /// All store readers are cut off from the store.
    ReadersDisconnected,
    /// All store readers crash.
    ReadersCrash,
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
    Fault::StalledWatches,
    Fault::ReadersDisconnected,
    Fault::ReadersCrash,
    Fault::DomainCutOff,
    Fault::Loss,
    Fault::SlowInstances,
    Fault::Several,
];

/// Simulates a fault, and returns the milliseconds after which the last running instance
/// knew that the server is leaving.
fn propagation_ms(
    domains: usize,
    per_domain: usize,
    bound: Duration,
    fault: Fault,
    seed: u64,
) -> u64 {
    let mut simulation = PropagationSite::start(domains, per_domain, bound, seed);
    let count = simulation.site.instances.len();
    let readers = simulation.readers();
    let mut running: Vec<usize> = (0..count).collect();
    match fault {
        Fault::Nothing => {}
        Fault::StalledWatches => simulation.stall_watches(),
        Fault::ReadersDisconnected => {
            for reader in &readers {
                simulation.links[*reader] = StoreLink::Disconnected;
            }
        }
        Fault::ReadersCrash => {
            for reader in &readers {
                simulation.site.instances[*reader].is_up = false;
            }
            running.retain(|index| !readers.contains(index));
        }
        Fault::DomainCutOff => simulation.site.isolated_domain = Some(0),
        Fault::Loss => simulation.site.loss = 0.1,
        Fault::SlowInstances => simulation.site.slow = (0..count).step_by(3).collect(),
        Fault::Several => {
            simulation.stall_watches();
            simulation.site.isolated_domain = Some(0);
            simulation.site.loss = 0.03;
        }
    }
    let offset_ms = simulation.site.rng.random_range(0..50);
    simulation.run_for(offset_ms);
    simulation.record_leaving();
    let timeout_ms = u64::try_from(bound.as_millis()).unwrap() * 2;
    simulation
        .propagation_ms(&running, timeout_ms)
        .unwrap_or(u64::MAX)
}

#[rstest]
#[case::three(1, 3, 2, 8)]
#[case::three_domains_of_one(3, 1, 2, 8)]
#[case::nine(3, 3, 2, 8)]
#[case::sixty(3, 20, 3, 3)]
#[case::a_hundred_and_fifty(3, 50, 4, 1)]
#[case::three_hundred(5, 60, 4, 1)]
fn all_instances_know_a_leaving_server_within_the_bound(
    #[case] domains: usize,
    #[case] per_domain: usize,
    #[case] bound_s: u64,
    #[case] seeds: u64,
) {
    let bound = Duration::from_secs(bound_s);
    let bound_ms = bound_s * 1_000;
    for fault in FAULTS {
        // No other instance could read the store.
        let all_are_readers = per_domain == 1;
        if all_are_readers && matches!(fault, Fault::ReadersDisconnected | Fault::ReadersCrash) {
            continue;
        }
        let times = (0..seeds).map(|seed| propagation_ms(domains, per_domain, bound, fault, seed));
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
fn store_calls_do_not_grow_with_the_number_of_instances(
    #[case] domains: usize,
    #[case] per_domain: usize,
) {
    let bound = Duration::from_secs(3);
    let mut simulation = PropagationSite::start(domains, per_domain, bound, 1);
    let before = simulation.calls;
    simulation.run_for(20_000);
    let calls = simulation.calls - before;
    // Each watch waits 0.75 s; a fifth more is allowed for changes of the store reader.
    let expected = 20_000 / 750 * u64::try_from(domains).unwrap();
    assert!(
        calls <= expected * 6 / 5,
        "{calls} calls, {expected} expected"
    );
}
