//! Cost of heartbeats for an instance, by the size of the site. The table of
//! docs/CAPACITY.md is based on these counts.

#[path = "support/peer_site.rs"]
mod peer_site;

use peer_site::Site;
use rookferry_core::Capacity;
use rstest::rstest;

const DOMAINS: usize = 5;
/// Number of large machines in each domain, which carry its duties.
const LARGE: usize = 2;
/// Most bytes of control traffic that an instance may send, and receive, in a second.
const MAX_CONTROL_BYTES: usize = 17_000;

/// Datagrams and bytes that one instance sends and receives in a second.
#[derive(Clone, Copy, Debug)]
struct Cost {
    datagrams: usize,
    sent_bytes: usize,
    received_bytes: usize,
}

/// A site whose instances are starting.
fn site(per_domain: usize) -> Site {
    let mut site = Site::start(DOMAINS, per_domain, 1);
    for (index, instance) in site.instances.iter_mut().enumerate() {
        if index / DOMAINS < LARGE {
            instance.capacity = Capacity::of_machine(1.0, 1_000.0);
            instance.table = instance.table.clone().capacity(instance.capacity);
        }
    }
    site
}

/// Costs of all instances of a site that has run for two seconds, sorted by the number of
/// datagrams that they send.
fn costs(per_domain: usize) -> Vec<Cost> {
    let mut site = site(per_domain);
    site.run_for(2_000);
    site.counts_bytes = true;
    for instance in &mut site.instances {
        instance.sent = 0;
    }
    site.run_for(1_000);
    let costs = site.instances.iter().map(|instance| Cost {
        datagrams: usize::try_from(instance.sent).expect("a count"),
        sent_bytes: instance.sent_bytes,
        received_bytes: instance.received_bytes,
    });
    let mut costs: Vec<Cost> = costs.collect();
    costs.sort_by_key(|cost| cost.datagrams);
    costs
}

/// The cost of a small machine must not grow with the number of instances, and that of
/// the large ones no faster than that number.
#[rstest]
#[case::three_hundred(60)]
#[case::thousand(200)]
#[case::two_thousand(400)]
fn heartbeat_costs_of_a_small_machine_are_bounded_in_a_site_of_any_size(#[case] per_domain: usize) {
    let costs = costs(per_domain);
    let median = costs[costs.len() / 2];
    let busiest = costs[costs.len() - 1];
    println!("{DOMAINS} x {per_domain}: middle {median:?}, busiest {busiest:?}");
    assert!(median.sent_bytes <= MAX_CONTROL_BYTES, "{median:?}");
    assert!(median.received_bytes <= MAX_CONTROL_BYTES, "{median:?}");
    let members = DOMAINS * per_domain;
    assert!(busiest.datagrams <= 400 + members, "{busiest:?}");
}

/// All instances start at once and have received no heartbeats yet. None may send to its
/// whole domain because of that.
#[rstest]
#[case::three_hundred(60)]
#[case::thousand(200)]
fn datagrams_per_instance_during_a_full_start_are_bounded_in_a_site_of_any_size(
    #[case] per_domain: usize,
) {
    let mut site = site(per_domain);
    site.run_for(700);
    let sent: u64 = site.instances.iter().map(|instance| instance.sent).sum();
    let each = sent / u64::try_from(site.instances.len()).expect("a count");
    println!("{DOMAINS} x {per_domain}: {each} datagrams each");
    assert!(each <= 60, "{each} datagrams each");
}
