//! Instances that start together: which of them read the store, when all know the site,
//! and when callers retry meanwhile.

#[path = "support/peer_site.rs"]
mod peer_site;
#[path = "support/start_site.rs"]
mod start_site;

use std::time::Duration;

use rookferry_core::StartQueue;
use rstest::rstest;
use start_site::FAST_MBPS;
use start_site::Policy;
use start_site::SLOW_MBPS;
use start_site::StartResponse;
use start_site::StartSite;

const RESTART: StartQueue = StartQueue {
    is_first_start: false,
    rank: 0,
    offered_ago: None,
    link_mbps: Some(1_000.0),
};

#[test]
fn only_the_first_ranked_reads_the_store_before_it_has_advertised() {
    // The first-ranked instance advertises what it read within 90 ms.
    let read_at = |rank| {
        StartQueue {
            is_first_start: true,
            rank,
            ..RESTART
        }
        .first_read_after()
    };
    let advertised_at = read_at(0) + Duration::from_millis(90);
    let readers = (0..59).filter(|rank| read_at(*rank) < advertised_at);
    assert_eq!(readers.count(), 1);
    let last = read_at(1_000);
    assert!(last < Duration::from_secs(2), "the last waits for {last:?}");
}

#[test]
fn a_lone_restart_reads_the_store_soon_and_waits_longer_after_an_offer() {
    let alone = RESTART.first_read_after();
    let offered = StartQueue {
        offered_ago: Some(Duration::ZERO),
        ..RESTART
    };
    let offered = offered.first_read_after();
    assert!(alone < Duration::from_millis(150), "{alone:?}");
    assert!(alone < offered && offered <= Duration::from_millis(520));
}

#[rstest]
#[case::fast(1_000.0)]
#[case::slow(20.0)]
fn the_read_delay_is_bounded_in_a_domain_of_any_size(#[case] link_mbps: f64) {
    let last = StartQueue {
        rank: 4_000,
        offered_ago: Some(Duration::ZERO),
        link_mbps: Some(link_mbps),
        ..RESTART
    };
    let last = last.first_read_after();
    assert!(last < Duration::from_secs(5), "the last waits for {last:?}");
}

/// Guards against a read of the store by every instance when a whole site restarts at
/// once without state, which happens if each reads after a fixed time.
#[rstest]
#[case::hundred(5, 20, 2)]
#[case::thousand(5, 200, 10)]
fn a_full_restart_costs_the_store_a_few_reads_per_domain(
    #[case] domains: usize,
    #[case] per_domain: usize,
    #[case] fast: usize,
) {
    let mut site = StartSite::restart(domains, per_domain, 1);
    for (index, link_mbps) in site.link_mbps.iter_mut().enumerate() {
        // The fast machines are not those with the lowest addresses.
        let number = index / domains;
        let is_fast = number >= per_domain / 2 && number < per_domain / 2 + fast;
        *link_mbps = if is_fast { FAST_MBPS } else { SLOW_MBPS };
    }
    site.apply_capacities();
    let ready_ms = site.run_until_ready(8_000).expect("all know the site");
    println!(
        "{domains} x {per_domain}: {} reads, {ready_ms} ms",
        site.reads
    );
    let max_reads = 3 * domains;
    assert!(site.reads <= max_reads, "{} reads of the store", site.reads);
    assert!(ready_ms < 3_000, "the last knows after {ready_ms} ms");
}

/// The same where all machines have slow links.
#[rstest]
#[case::nine(3, 3)]
#[case::hundred(5, 20)]
#[case::five_hundred(5, 100)]
fn a_full_restart_of_small_machines_costs_the_store_a_few_reads_per_domain(
    #[case] domains: usize,
    #[case] per_domain: usize,
) {
    let mut site = StartSite::restart(domains, per_domain, 2);
    let ready_ms = site.run_until_ready(20_000).expect("all know the site");
    println!(
        "small {domains} x {per_domain}: {} reads, {ready_ms} ms",
        site.reads
    );
    let max_reads = 12 * domains;
    assert!(site.reads <= max_reads, "{} reads of the store", site.reads);
    assert!(ready_ms < 6_000, "the last knows after {ready_ms} ms");
}

/// Compares two policies for callers that arrive while all instances start: fixed waits
/// and retry times, and those of the start queue.
#[rstest]
#[case::with_large_machines(5)]
#[case::all_small(0)]
fn queue_based_retry_times_lose_no_more_callers_during_a_full_restart(#[case] fast: usize) {
    const DOMAINS: usize = 5;
    let fixed: Policy = |starting| {
        if starting.has_waited {
            StartResponse::RetryAfter(Duration::from_millis(400))
        } else {
            StartResponse::Wait(Duration::from_millis(330))
        }
    };
    let queue_based: Policy = |starting| match starting.queue.max_wait(starting.age) {
        Some(longest) if !starting.has_waited => StartResponse::Wait(longest),
        _ => StartResponse::RetryAfter(starting.queue.retry_after(starting.age, starting.chance)),
    };
    let [fixed, queue_based] = [fixed, queue_based].map(|policy| {
        let mut site = StartSite::restart(DOMAINS, 40, 3);
        for (index, link_mbps) in site.link_mbps.iter_mut().enumerate() {
            let is_fast = (20..20 + fast).contains(&(index / DOMAINS));
            *link_mbps = if is_fast { FAST_MBPS } else { SLOW_MBPS };
        }
        site.apply_capacities();
        site.policy = Some(policy);
        site.run_until_ready(20_000).expect("all know the site");
        site.outcomes
    });
    println!("{fast} fast: {fixed:?}, then {queue_based:?}");
    assert!(
        queue_based.retried_late <= fixed.retried_late,
        "{queue_based:?}"
    );
    assert!(queue_based.failed <= fixed.failed, "{queue_based:?}");
}
