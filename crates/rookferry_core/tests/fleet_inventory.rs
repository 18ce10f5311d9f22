//! When the first plan is made while engines are listed one by one: it must include all
//! of them, and must not be delayed without bound.

use std::time::Duration;
use std::time::Instant;

use rookferry_core::FleetInventory;
use rookferry_core::LayoutEngine;
use rookferry_wire::LayerRange;
use rstest::rstest;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval at which the lease holder polls the list.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// An engine and the time at which its entry is listed.
struct Listing {
    at: Duration,
    engine: LayoutEngine,
}

fn engine(domain: usize, number: usize) -> LayoutEngine {
    LayoutEngine {
        engine: format!("engine-{domain}-{number}").into(),
        domain: format!("domain-{domain}").into(),
        kind: "kind".to_owned(),
        held: None,
        is_busy: false,
    }
}

/// Engines that are listed at equal intervals until `last`, alternating between the
/// domains.
fn evenly_listed(domains: usize, per_domain: usize, last: Duration) -> Vec<Listing> {
    let count = domains * per_domain;
    let listing = |index: usize| Listing {
        at: last.mul_f64(index as f64 / (count - 1) as f64),
        engine: engine(index % domains, index / domains),
    };
    (0..count).map(listing).collect()
}

/// Polls until the first plan. Returns its time and its number of engines, or none if
/// there is no plan by `until`.
fn first_plan(listings: &[Listing], until: Duration) -> Option<(Duration, usize)> {
    let start = Instant::now();
    let mut inventory = FleetInventory::new(HEARTBEAT);
    let mut at = Duration::ZERO;
    while at <= until {
        let listed = listings.iter().filter(|listing| listing.at <= at);
        let engines = listed.map(|listing| listing.engine.clone()).collect();
        let planned = inventory.observe(engines, start + at);
        if !planned.is_empty() {
            return Some((at, planned.len()));
        }
        at += POLL_INTERVAL;
    }
    None
}

#[rstest]
#[case::small(3, 10)]
#[case::hundred(3, 33)]
#[case::hundreds(5, 44)]
fn the_first_plan_includes_all_engines(#[case] domains: usize, #[case] per_domain: usize) {
    // Each engine's entry is written within a heartbeat of its start; a late list and a
    // slow store add half a heartbeat.
    let listings = evenly_listed(domains, per_domain, HEARTBEAT.mul_f64(1.5));
    let (_, planned) = first_plan(&listings, HEARTBEAT * 10).expect("a plan is made");
    assert_eq!(planned, listings.len());
}

#[test]
fn the_first_plan_includes_a_domain_that_is_listed_late() {
    let mut listings = evenly_listed(2, 10, HEARTBEAT.mul_f64(0.5));
    listings.extend((0..10).map(|number| Listing {
        at: HEARTBEAT.mul_f64(1.0 + 0.05 * number as f64),
        engine: engine(2, number),
    }));
    let (_, planned) = first_plan(&listings, HEARTBEAT * 10).expect("a plan is made");
    assert_eq!(planned, 30);
}

#[test]
fn the_first_plan_waits_for_engines_listed_long_after_the_first_ones() {
    let mut listings = evenly_listed(1, 2, Duration::ZERO);
    let others = evenly_listed(3, 10, HEARTBEAT.mul_f64(0.6));
    listings.extend(others.into_iter().skip(2).map(|listing| Listing {
        at: listing.at + HEARTBEAT.mul_f64(0.9),
        ..listing
    }));
    let (_, planned) = first_plan(&listings, HEARTBEAT * 10).expect("a plan is made");
    assert_eq!(planned, listings.len());
}

#[test]
fn the_first_plan_is_made_in_bounded_time_while_engines_keep_arriving() {
    let listings: Vec<_> = (0..40)
        .map(|number| Listing {
            at: HEARTBEAT.mul_f64(0.5 * number as f64),
            engine: engine(number % 5, number),
        })
        .collect();
    let (at, _) = first_plan(&listings, HEARTBEAT * 20).expect("a plan is made");
    assert!(at <= HEARTBEAT * 5, "planned after {at:?}");
}

#[test]
fn engines_that_hold_layers_are_planned_without_delay() {
    let mut listings = evenly_listed(1, 1 + 1, Duration::ZERO);
    for listing in &mut listings {
        listing.engine.held = Some(LayerRange { start: 0, end: 10 });
    }
    let (at, planned) = first_plan(&listings, HEARTBEAT).expect("a plan is made");
    assert_eq!((at, planned), (Duration::ZERO, 2));
}
