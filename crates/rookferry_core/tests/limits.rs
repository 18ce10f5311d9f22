//! Instances share the request limit that a server names, without exceeding it and
//! without leaving it unused.
//!
//! Guards against instances that each apply the limit alone: 50 requests came in four
//! seconds where 34 were allowed. Here many instances that exchange only heartbeats and
//! permit requests share a limit, in virtual time and with fixed seeds.

#[path = "support/limited_site.rs"]
mod limited_site;
#[path = "support/peer_site.rs"]
mod peer_site;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use limited_site::LESS_URGENT;
use limited_site::LimitedSite;
use limited_site::URGENT;
use rookferry_core::LimitChange;
use rookferry_core::LimitObservation;
use rookferry_core::PermitGranter;
use rookferry_core::PermitRefusal;
use rookferry_core::PermitTracker;
use rookferry_core::RequestRate;
use rookferry_core::ServerKey;
use rookferry_core::ServerLimits;
use rstest::rstest;

/// Window over which a limit is checked.
const WINDOW_MS: u64 = 4_000;
/// Time within which all instances apply a limit that was named.
const PROPAGATION_MS: u64 = 3_000;
/// Least share of a limit that is used while there are more requests than it allows.
const MIN_USE: f64 = 0.8;

/// Most requests that may arrive in a window: one and a half times what the limit allows,
/// and five.
fn max_in_window(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * 4.0 + 5.0
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("a few"))
}

/// A site that has run for six seconds, the last two with `per_s` requests a second. With
/// `skew` nine tenths of them arrive at one instance.
fn loaded_site(
    domains: usize,
    per_domain: usize,
    per_s: f64,
    skew: bool,
    seed: u64,
) -> LimitedSite {
    let mut site = LimitedSite::start(domains, per_domain, seed);
    let instances = site.demand_per_s.len();
    for (index, demand) in site.demand_per_s.iter_mut().enumerate() {
        let even = per_s / count(instances);
        *demand = match index {
            _ if !skew => even,
            0 => per_s * 0.9,
            _ => even * 0.1,
        };
    }
    site.run_for(4_000);
    site.start_requests();
    site.run_for(2_000);
    site
}

fn assert_within_limit(site: &LimitedSite, limit_per_s: f64, since_ms: u64) {
    let worst = count(site.max_in_window(WINDOW_MS, since_ms));
    let max_allowed = max_in_window(limit_per_s);
    assert!(
        worst <= max_allowed,
        "{worst} requests in 4 s, {max_allowed} allowed"
    );
}

fn assert_limit_used(site: &LimitedSite, limit_per_s: f64, from_ms: u64, to_ms: u64) {
    let arrived = count(site.arrivals_between(from_ms, to_ms));
    let allowed = limit_per_s * count(usize::try_from(to_ms - from_ms).expect("a time")) / 1_000.0;
    assert!(
        arrived >= MIN_USE * allowed,
        "{arrived} requests of {allowed}"
    );
}

fn check_limit(instances: (usize, usize), limit_per_s: f64, skew: bool, seed: u64) {
    let demand_per_s = (limit_per_s * 3.0).max(3.0);
    let mut site = loaded_site(instances.0, instances.1, demand_per_s, skew, seed);
    site.limit_per_s = Some(limit_per_s);
    let lasts_ms = if limit_per_s < 1.0 { 60_000 } else { 20_000 };
    site.run_for(lasts_ms);
    let named_ms = site.first_named_ms.expect("a limit");
    assert_within_limit(&site, limit_per_s, named_ms + PROPAGATION_MS);
    let end_ms = site.site.now_ms;
    assert_limit_used(&site, limit_per_s, named_ms + 4_000, end_ms);
}

#[rstest]
fn all_instances_together_respect_and_use_a_limit(
    #[values((1, 3), (3, 3), (3, 20))] size: (usize, usize),
    #[values(0.3, 1.0, 4.9, 40.0)] limit_per_s: f64,
    #[values(false, true)] skew: bool,
) {
    for seed in 0..2 {
        check_limit(size, limit_per_s, skew, seed);
    }
}

#[rstest]
fn hundreds_of_instances_respect_and_use_a_limit(
    #[values(1.0, 4.9, 40.0)] limit_per_s: f64,
    #[values(false, true)] skew: bool,
) {
    check_limit((3, 100), limit_per_s, skew, 2);
}

#[rstest]
fn a_changed_limit_is_applied(#[values((3, 3), (3, 20), (3, 100))] size: (usize, usize)) {
    let mut site = loaded_site(size.0, size.1, 15.0, false, 5);
    site.limit_per_s = Some(4.9);
    site.run_for(10_000);
    site.limit_per_s = Some(3.2);
    let changed_ms = site.site.now_ms;
    site.run_for(10_000);
    assert_within_limit(&site, 3.2, changed_ms + PROPAGATION_MS);
    assert_limit_used(&site, 3.2, changed_ms + 4_000, site.site.now_ms);
    site.limit_per_s = None;
    site.run_for(3_000);
    let lifted_ms = site.site.now_ms;
    site.run_for(4_000);
    let all = 15.0 * 4.0;
    let arrived = count(site.arrivals_between(lifted_ms, lifted_ms + 4_000));
    assert!(arrived > all * 0.7, "{arrived} of {all} once it is lifted");
}

/// The granter crashes and starts again.
#[rstest]
fn a_limit_is_respected_and_used_after_the_granter_crashes(
    #[values((1, 3), (3, 3), (3, 20), (3, 100))] size: (usize, usize),
    #[values(1.0, 4.9, 40.0)] limit_per_s: f64,
) {
    let mut site = loaded_site(size.0, size.1, limit_per_s * 3.0, false, 6);
    site.limit_per_s = Some(limit_per_s);
    site.run_for(6_000);
    let granter = site.granter();
    site.kill(granter);
    site.run_for(18_000);
    assert_limit_used(
        &site,
        limit_per_s,
        site.site.now_ms - 10_000,
        site.site.now_ms,
    );
    site.start_at(granter, site.site.now_ms + 50);
    site.run_for(10_000);
    let named_ms = site.first_named_ms.expect("a limit");
    assert_within_limit(&site, limit_per_s, named_ms + PROPAGATION_MS);
    assert_limit_used(
        &site,
        limit_per_s,
        site.site.now_ms - 5_000,
        site.site.now_ms,
    );
}

/// The server's domain is cut off, so the other domains can't reach the server either.
#[rstest]
fn an_isolated_domain_uses_the_limit_of_its_server(
    #[values((3, 3), (3, 20), (3, 100))] size: (usize, usize),
) {
    let limit_per_s = 4.9;
    let mut site = loaded_site(size.0, size.1, 60.0, false, 7);
    site.limit_per_s = Some(limit_per_s);
    site.run_for(6_000);
    site.site.isolated_domain = Some(0);
    let isolated_ms = site.site.now_ms;
    site.run_for(8_000);
    assert_limit_used(&site, limit_per_s, isolated_ms + 1_000, site.site.now_ms);
    site.site.isolated_domain = None;
    site.run_for(8_000);
    assert_within_limit(
        &site,
        limit_per_s,
        site.first_named_ms.expect("a limit") + PROPAGATION_MS,
    );
}

/// Some instances of each domain are cut off from the others, and all still reach the
/// server. Both sides may grant permits.
#[rstest]
fn sides_of_a_partition_share_a_limit(
    #[values((1, 3), (3, 2), (3, 3), (3, 20), (3, 100))] size: (usize, usize),
    #[values(2, 3)] divisor: usize,
    #[values(4.9, 20.0)] limit_per_s: f64,
) {
    let mut site = loaded_site(size.0, size.1, limit_per_s * 8.0, false, 8);
    site.limit_per_s = Some(limit_per_s);
    site.run_for(6_000);
    let partition = (0..size.0 * size.1).filter(|index| (index / size.0).is_multiple_of(divisor));
    site.site.partition = partition.collect();
    site.run_for(20_000);
    site.site.partition.clear();
    site.run_for(8_000);
    assert_within_limit(
        &site,
        limit_per_s,
        site.first_named_ms.expect("a limit") + PROPAGATION_MS,
    );
    assert_limit_used(
        &site,
        limit_per_s,
        site.site.now_ms - 5_000,
        site.site.now_ms,
    );
}

/// All instances restart together and receive the limit anew.
#[rstest]
fn a_limit_is_respected_and_used_after_a_full_restart(
    #[values((3, 3), (3, 20), (3, 100))] size: (usize, usize),
) {
    let limit_per_s = 4.9;
    let mut site = loaded_site(size.0, size.1, 15.0, false, 9);
    site.limit_per_s = Some(limit_per_s);
    site.run_for(6_000);
    for index in 0..size.0 * size.1 {
        let at_ms = site.site.now_ms + u64::try_from(index % 7).expect("a few") * 40;
        site.start_at(index, at_ms);
    }
    let started_ms = site.site.now_ms;
    site.run_for(15_000);
    assert_within_limit(&site, limit_per_s, started_ms + WINDOW_MS + 1_000);
    assert_limit_used(&site, limit_per_s, started_ms + 5_000, site.site.now_ms);
}

/// Where permits are scarce the more urgent requests get them.
#[rstest]
fn less_urgent_requests_are_refused_first(
    #[values((3, 3), (3, 20), (3, 100))] size: (usize, usize),
) {
    let mut site = loaded_site(size.0, size.1, 12.0, false, 10);
    site.less_urgent_share = 0.5;
    site.limit_per_s = Some(6.0);
    site.run_for(4_000);
    site.outcomes.clear();
    site.run_for(30_000);
    let served = |urgency| {
        let outcomes = site.outcomes[&urgency];
        count(outcomes.sent) / count(outcomes.sent + outcomes.refused)
    };
    let (urgent, less_urgent) = (served(URGENT), served(LESS_URGENT));
    assert!(
        urgent > less_urgent + 0.2,
        "served {urgent} of the urgent, {less_urgent} of the others"
    );
}

fn key() -> ServerKey {
    let addr = SocketAddr::from(([10, 0, 0, 1], 80));
    ServerKey::new(addr, "server", Some(1))
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a rate")
}

#[rstest]
#[case::negative(-1.0, None)]
#[case::not_a_number(f64::NAN, None)]
#[case::infinite(f64::INFINITY, None)]
#[case::huge(1e300, None)]
fn an_invalid_rate_is_no_limit(#[case] per_s: f64, #[case] bounded: Option<f64>) {
    assert_eq!(
        RequestRate::from_per_s(per_s).map(RequestRate::per_s),
        bounded
    );
}

#[test]
fn a_server_with_limit_zero_gets_occasional_requests() {
    let now = Instant::now();
    let mut granter = PermitGranter::new(rate(0.0), now);
    let taken = (0..600).filter(|tenth| {
        let at = now + Duration::from_millis(100 * tenth);
        granter.take(URGENT, 1.0, at).is_ok()
    });
    let taken = taken.count();
    assert!((1..=20).contains(&taken), "{taken} in a minute");
}

/// Requests sent before the limit was known count until their window has passed.
#[test]
fn earlier_requests_count_for_one_window() {
    let now = Instant::now();
    let mut granter = PermitGranter::new(rate(3.0), now);
    for _ in 0..40 {
        granter.record_sent(Duration::from_millis(500), now);
    }
    let soon = now + Duration::from_secs(3);
    let refusal = granter.take(URGENT, 1.0, soon).expect_err("a full window");
    assert!(refusal.ask_again_ms >= 500, "{refusal:?}");
    let later = now + Duration::from_secs(4);
    granter.take(URGENT, 1.0, later).expect("a permit");
}

/// More reported requests than are stored neither block the granter for good nor grow
/// its memory without bound.
#[test]
fn a_flood_of_reported_requests_is_forgotten() {
    let now = Instant::now();
    let mut granter = PermitGranter::new(rate(3.0), now);
    for _ in 0..20_000 {
        granter.record_sent(Duration::ZERO, now);
    }
    let later = now + Duration::from_secs(5);
    granter.take(URGENT, 1.0, later).expect("a permit");
}

fn seen(per_s: Option<f64>, age_ms: u64) -> LimitObservation {
    LimitObservation {
        server: key(),
        rate: per_s.map(rate),
        age_ms,
    }
}

#[test]
fn a_newer_response_of_the_server_overrides_a_peers_observation() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut limits = ServerLimits::new();
    assert_eq!(
        limits.record_limit(key(), rate(3.0), now),
        Some(LimitChange::Named(rate(3.0)))
    );
    let later = now + Duration::from_secs(2);
    let sent_at = now + Duration::from_secs(1);
    assert_eq!(
        limits.record_unlimited(key(), sent_at, later),
        Some(LimitChange::Lifted)
    );
    // A peer still advertises the former limit.
    assert_eq!(limits.merge(seen(Some(3.0), 2_000), later), None);
    assert_eq!(limits.of(key()), None);
    // Then it advertises a newer one.
    let much_later = later + Duration::from_secs(3);
    assert_eq!(
        limits.merge(seen(Some(2.0), 100), much_later),
        Some(LimitChange::Named(rate(2.0)))
    );
    assert_eq!(limits.merge(seen(None, 2_000), much_later), None);
    assert_eq!(limits.of(key()), Some(rate(2.0)));
}

/// Passed back and forth between instances, an observation would return a little younger
/// each time and never expire.
#[test]
fn an_observation_that_is_passed_on_does_not_grow_younger() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut limits = ServerLimits::new();
    limits.record_limit(key(), rate(3.0), now);
    let later = now + Duration::from_secs(30);
    limits.merge(seen(Some(3.0), 50), later);
    assert_eq!(limits.age(key(), later), Some(Duration::from_secs(30)));
}

/// A response without a limit, to a request sent before the limit was named, may have
/// been made before it.
#[test]
fn a_response_to_an_earlier_request_lifts_no_limit() {
    let now = Instant::now();
    let mut limits = ServerLimits::new();
    let named_at = now + Duration::from_millis(50);
    limits.record_limit(key(), rate(3.0), named_at);
    let later = now + Duration::from_millis(90);
    assert_eq!(limits.record_unlimited(key(), now, later), None);
    assert_eq!(limits.of(key()), Some(rate(3.0)));
}

#[test]
fn a_limit_applies_to_one_incarnation() {
    let now = Instant::now();
    let mut limits = ServerLimits::new();
    limits.record_limit(key(), rate(3.0), now);
    let next = ServerKey::new(key().addr, "server", Some(2));
    assert_eq!(limits.of(next), None);
}

#[test]
fn a_refusal_does_not_block_more_urgent_requests() {
    let now = Instant::now();
    let mut tracker = PermitTracker::new();
    let refusal = PermitRefusal {
        ask_again_ms: 1_000,
        spread_ms: 1_000,
    };
    tracker.record_refusal(key(), LESS_URGENT, refusal, 0.0, now);
    assert!(tracker.refused_until(key(), LESS_URGENT, now).is_some());
    assert_eq!(tracker.refused_until(key(), URGENT, now), None);
    let later = now + Duration::from_millis(1_001);
    assert_eq!(tracker.refused_until(key(), LESS_URGENT, later), None);
}
