//! Leases: no two holders may send orders to an engine at once, although instances pause
//! and responses to writes are lost.

use std::time::Duration;
use std::time::Instant;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use rookferry_core::Lease;
use rookferry_core::LeaseAction;
use rookferry_core::LeaseObject;
use rookferry_core::LeaseTiming;
use rookferry_wire::Object;

const TIMING: LeaseTiming = LeaseTiming {
    duration: Duration::from_secs(10),
    pause_bound: Duration::from_secs(5),
};

#[derive(Default)]
struct Platform {
    object: Option<Object>,
}

impl Platform {
    fn put(&mut self, expected: u64, object: &LeaseObject) -> Result<u64, ()> {
        let version = self.object.as_ref().map_or(0, |object| object.version);
        if version != expected {
            return Err(());
        }
        self.object = Some(Object {
            name: "lease".to_owned(),
            version: version + 1,
            value: serde_json::to_value(object).expect("JSON"),
        });
        Ok(version + 1)
    }
}

fn lease(name: &str) -> Lease {
    Lease::new(name.into(), 1, TIMING)
}

/// One round of an instance: it reads the object, and writes it if its lease requires so.
fn run_round(lease: &mut Lease, platform: &mut Platform, now: Instant, is_response_lost: bool) {
    lease.on_read(now, platform.object.as_ref());
    let LeaseAction::Write { expected, object } = lease.next_action(now) else {
        return;
    };
    match platform.put(expected, &object) {
        Ok(version) if !is_response_lost => lease.on_written(now, version, object),
        _ => {}
    }
}

#[test]
fn a_held_lease_is_taken_over_only_after_its_duration() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let (mut one, mut two) = (lease("one"), lease("two"));
    run_round(&mut one, &mut platform, start, false);
    assert_eq!(one.fence_for(start, true), Some(1));
    run_round(&mut two, &mut platform, start, false);
    let later = start + TIMING.duration;
    assert_eq!(two.fence_for(later, true), None);
    run_round(&mut two, &mut platform, later, false);
    assert_eq!(two.fence_for(later, true), Some(2));
    assert_eq!(one.fence_for(later, true), None);
}

#[test]
fn engines_without_fence_checks_get_orders_only_after_the_pause_bound() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut one = lease("one");
    run_round(&mut one, &mut platform, start, false);
    assert_eq!(one.fence_for(start, false), None);
    let mut now = start;
    while now < start + TIMING.duration + TIMING.pause_bound {
        now += Duration::from_secs(3);
        run_round(&mut one, &mut platform, now, false);
    }
    assert_eq!(one.fence_for(now, false), Some(1));
}

#[test]
fn a_holder_that_was_paused_sends_no_orders() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut one = lease("one");
    run_round(&mut one, &mut platform, start, false);
    assert_eq!(one.fence_for(start + Duration::from_secs(8), true), None);
}

#[test]
fn a_new_incarnation_does_not_inherit_the_lease() {
    let start = Instant::now();
    let mut platform = Platform::default();
    run_round(&mut lease("one"), &mut platform, start, false);
    let mut restarted = Lease::new("one".into(), 2, TIMING);
    run_round(&mut restarted, &mut platform, start, false);
    assert_eq!(
        restarted.fence_for(start, true),
        None,
        "the former incarnation may still send orders"
    );
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Round {
        instance: usize,
        is_response_lost: bool,
    },
    Wait {
        ms: u64,
    },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0_usize..3, any::<bool>()).prop_map(|(instance, is_response_lost)| Op::Round {
            instance,
            is_response_lost
        }),
        (1_u64..6_000).prop_map(|ms| Op::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 2_000, ..Default::default() })]

    /// A holder may send an order up to the pause bound after it checked its lease. Until
    /// then no other holder may order an engine that checks no fences.
    #[test]
    fn no_two_holders_order_an_engine_without_fence_checks(ops in vec(op(), 1..80)) {
        let mut now = Instant::now();
        let mut platform = Platform::default();
        let mut leases = [lease("one"), lease("two"), lease("three")];
        let mut last_order: Option<(usize, Instant)> = None;
        for op in ops {
            match op {
                Op::Round { instance, is_response_lost } => {
                    run_round(&mut leases[instance], &mut platform, now, is_response_lost);
                }
                Op::Wait { ms } => now += Duration::from_millis(ms),
            }
            let holders: Vec<usize> = (0..3).filter(|instance| leases[*instance].fence_for(now, false).is_some()).collect();
            assert!(holders.len() <= 1, "{holders:?} hold the lease at once");
            if let Some(holder) = holders.first() {
                if let Some((former, at)) = last_order && former != *holder {
                    assert!(now >= at + TIMING.pause_bound, "{former} may still send orders");
                }
                last_order = Some((*holder, now));
            }
            let fences: Vec<u64> = leases.iter().filter_map(|lease| lease.fence_for(now, true)).collect();
            let mut distinct = fences.clone();
            distinct.dedup();
            assert_eq!(fences.len(), distinct.len(), "two holders share a fence");
        }
    }
}

#[test]
fn a_renewal_always_changes_the_object() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut holder = lease("a");
    run_round(&mut holder, &mut platform, start, false);
    let before = platform.object.clone().expect("an object");
    run_round(
        &mut holder,
        &mut platform,
        start + TIMING.duration / 2,
        false,
    );
    let after = platform.object.clone().expect("an object");
    assert_ne!(before.value, after.value);
}

#[test]
fn a_released_lease_is_taken_at_once_with_a_higher_fence() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut holder = lease("a");
    let mut rival = lease("b");
    run_round(&mut holder, &mut platform, start, false);
    run_round(&mut rival, &mut platform, start, false);
    let (expected, object) = holder.release().expect("a held lease");
    assert_eq!(holder.fence_for(start, true), None);
    platform.put(expected, &object).expect("its version");
    run_round(&mut rival, &mut platform, start, false);
    assert!(rival.fence_for(start, true) > Some(object.fence));
    assert_eq!(holder.release(), None);
}
