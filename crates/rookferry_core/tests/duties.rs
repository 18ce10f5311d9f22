//! Which instances of a large domain rank first and so carry its duties, such as
//! aggregating its loads.

#[path = "support/peer_site.rs"]
mod peer_site;

use peer_site::Site;
use rookferry_core::Capacity;
use rstest::rstest;

const DOMAINS: usize = 2;
const PER_DOMAIN: usize = 60;

/// A site with a few large machines in each domain, which are not those with the lowest
/// addresses.
fn site_with_large_machines(seed: u64) -> Site {
    let mut site = Site::start(DOMAINS, PER_DOMAIN, seed);
    for index in 0..site.instances.len() {
        let is_large = is_large(index);
        let instance = &mut site.instances[index];
        instance.capacity = if is_large {
            Capacity::of_machine(1.0, 1_000.0)
        } else {
            Capacity::of_machine(0.12, 20.0)
        };
        instance.table = instance.table.clone().capacity(instance.capacity);
    }
    site
}

const fn is_large(index: usize) -> bool {
    let number = index / DOMAINS;
    number >= 30 && number < 33
}

/// Indices of the running instances that rank first in their domain.
fn first_ranked(site: &Site) -> Vec<usize> {
    let now = site.now();
    let instances = site.instances.iter().enumerate();
    instances
        .filter(|(_, instance)| instance.is_up && instance.table.is_first_ranked(now))
        .map(|(index, _)| index)
        .collect()
}

#[rstest]
#[case::share_of_a_core(0.12, 1_000.0, 0.12, 20.0)]
#[case::slow_link(1.0, 15.0, 0.12, 20.0)]
#[case::about_the_same(0.25, 1_000.0, 0.30, 1_000.0)]
fn capacity_is_that_of_the_scarcest_resource(
    #[case] cores: f64,
    #[case] link_mbps: f64,
    #[case] other_cores: f64,
    #[case] other_link_mbps: f64,
) {
    let capacity = Capacity::of_machine(cores, link_mbps);
    assert_eq!(capacity, Capacity::of_machine(other_cores, other_link_mbps));
    assert!(capacity < Capacity::of_machine(1.0, 1_000.0));
}

#[test]
fn large_machines_carry_a_domains_duties_whatever_their_addresses_are() {
    let mut site = site_with_large_machines(1);
    site.run_for(4_000);
    let first_ranked = first_ranked(&site);
    assert_eq!(first_ranked.len(), DOMAINS, "{first_ranked:?}");
    assert!(
        first_ranked.iter().all(|index| is_large(*index)),
        "{first_ranked:?}"
    );
    let rates = site.sent_per_s(4);
    let aggregators = &rates[..2 * DOMAINS];
    let is_large_addr = |addr| is_large(site.index_by_addr[&addr]);
    assert!(
        aggregators.iter().all(|(_, addr)| is_large_addr(*addr)),
        "{aggregators:?}"
    );
}

#[test]
fn small_machines_carry_the_duties_when_the_large_ones_are_down() {
    let mut site = site_with_large_machines(2);
    site.run_for(4_000);
    for index in 0..site.instances.len() {
        site.instances[index].is_up &= !is_large(index);
    }
    site.run_for(2_500);
    assert_eq!(first_ranked(&site).len(), DOMAINS);
    let informed_share = site.informed_share();
    assert!(
        informed_share > 0.95,
        "{informed_share} know the loads of their domain"
    );
}
