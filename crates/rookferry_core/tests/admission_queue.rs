//! Which requests queue for admission while engines have no free cache, for how long and
//! in which order.

use std::time::Duration;
use std::time::Instant;

use rookferry_core::AdmissionClass;
use rookferry_core::AdmissionQueue;
use rookferry_core::Urgency;
use rstest::rstest;

const OBJECTIVE: Duration = Duration::from_millis(500);

const fn urgency(account: u8, route: u8) -> AdmissionClass {
    AdmissionClass {
        urgency: Urgency { account, route },
        rank: 0,
        is_late: false,
    }
}

const fn late(class: AdmissionClass) -> AdmissionClass {
    AdmissionClass {
        is_late: true,
        ..class
    }
}

/// A queue that has recorded first events of one latency, and cache released at a steady
/// interval.
fn observed(first_event: Duration, release_interval: Duration) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new();
    let start = Instant::now();
    for number in 0..100 {
        queue.record_first_event(first_event);
        queue.record_release(start + release_interval * number);
    }
    queue
}

#[test]
fn more_urgent_requests_go_first_and_equal_ones_in_order_of_arrival() {
    let mut queue = AdmissionQueue::new();
    let late = queue.join(urgency(2, 1));
    let route = queue.join(urgency(1, 2));
    let first = queue.join(urgency(1, 1));
    let second = queue.join(urgency(1, 1));
    for ticket in [first, second, route, late] {
        assert!(queue.is_next(ticket));
        queue.leave(ticket);
    }
    assert!(queue.is_empty());
}

#[test]
fn a_new_request_waits_behind_equally_urgent_ones_and_not_behind_less_urgent_ones() {
    let mut queue = AdmissionQueue::new();
    queue.join(urgency(1, 1));
    assert!(queue.would_wait(urgency(1, 1)));
    assert!(queue.would_wait(urgency(2, 0)));
    assert!(!queue.would_wait(urgency(1, 0)));
}

/// Guards against refused callers that return and hold up those that can be in time: after
/// a burst most callers at a calm site were late for seconds.
#[test]
fn late_requests_go_after_those_on_time_and_before_less_urgent_ones() {
    let mut queue = AdmissionQueue::new();
    let less_urgent = queue.join(urgency(1, 2));
    let returned = queue.join(late(urgency(1, 1)));
    assert!(!queue.would_wait(urgency(1, 1)));
    assert!(queue.would_wait(late(urgency(1, 1))));
    let on_time = queue.join(urgency(1, 1));
    for ticket in [on_time, returned, less_urgent] {
        assert!(queue.is_next(ticket));
        queue.leave(ticket);
    }
}

#[rstest]
#[case::soon(Duration::from_millis(60), true)]
#[case::late(Duration::from_millis(490), false)]
#[case::too_late(Duration::from_secs(2), false)]
fn a_request_waits_only_while_its_first_event_can_be_in_time(
    #[case] first_event: Duration,
    #[case] waits: bool,
) {
    let queue = observed(first_event, Duration::from_millis(30));
    let max_wait = queue.max_wait(OBJECTIVE);
    assert!(max_wait + first_event <= OBJECTIVE || max_wait.is_zero());
    assert_eq!(
        max_wait >= Duration::from_millis(100),
        waits,
        "{max_wait:?}"
    );
}

#[test]
fn first_events_that_vary_leave_less_time_to_wait() {
    let steady = observed(Duration::from_millis(100), Duration::from_millis(30));
    let mut varying = steady.clone();
    for number in 0..100 {
        let took = if number % 2 == 0 { 40 } else { 160 };
        varying.record_first_event(Duration::from_millis(took));
    }
    assert!(varying.max_wait(OBJECTIVE) < steady.max_wait(OBJECTIVE));
}

#[test]
fn each_request_ahead_adds_to_the_expected_wait() {
    let mut queue = observed(Duration::from_millis(60), Duration::from_millis(30));
    let tickets: Vec<_> = (0..10).map(|_| queue.join(urgency(1, 1))).collect();
    let waits: Vec<_> = tickets
        .iter()
        .map(|ticket| queue.expected_wait(*ticket))
        .collect();
    assert!(waits.is_sorted());
    assert!(waits[0].abs_diff(Duration::from_millis(30)) < Duration::from_millis(2));
    assert!(waits[9].abs_diff(Duration::from_millis(300)) < Duration::from_millis(10));
}
