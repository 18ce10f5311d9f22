//! Admission of queued requests: shares of the accounts, eviction from a full queue, the
//! expected wait and the retry budget.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use proptest::collection::vec;
use proptest::prop_assert;
use proptest::proptest;
use rookferry_core::DrainRate;
use rookferry_core::FairQueue;
use rookferry_core::RetryBudget;

/// Dequeues up to `count` requests and counts them by account.
fn dequeue(queue: &mut FairQueue<u32>, count: usize) -> BTreeMap<String, usize> {
    let mut served = BTreeMap::new();
    for _ in 0..count {
        let Some(next) = queue.pop() else {
            break;
        };
        *served.entry(next.account.to_string()).or_default() += 1;
    }
    served
}

#[test]
fn accounts_are_served_in_proportion_to_their_weights() {
    let mut queue = FairQueue::new(1_000);
    for number in 0..100 {
        queue.push("large".into(), 3.0, 1.0, number);
        queue.push("small".into(), 1.0, 1.0, number);
    }
    let served = dequeue(&mut queue, 80);
    assert_eq!(served["large"], 60);
    assert_eq!(served["small"], 20);
}

#[test]
fn a_flooding_account_waits_behind_its_own_requests() {
    let mut queue = FairQueue::new(1_000);
    for number in 0..500 {
        queue.push("flood".into(), 1.0, 1.0, number);
    }
    queue.push("quiet".into(), 1.0, 1.0, 0);
    assert!(dequeue(&mut queue, 2).contains_key("quiet"));
}

#[test]
fn long_requests_count_by_their_cost() {
    let mut queue = FairQueue::new(1_000);
    for number in 0..20 {
        queue.push("long".into(), 1.0, 100.0, number);
        queue.push("short".into(), 1.0, 10.0, number);
    }
    let served = dequeue(&mut queue, 11);
    assert!(served["short"] >= 9, "{served:?}");
}

#[test]
fn a_full_queue_evicts_from_the_account_furthest_over_its_share() {
    let mut queue = FairQueue::new(10);
    for number in 0..10 {
        assert!(
            queue
                .push("flood".into(), 1.0, 1.0, number)
                .evicted
                .is_none()
        );
    }
    let evicted = queue
        .push("quiet".into(), 1.0, 1.0, 0)
        .evicted
        .expect("a request is evicted");
    assert_eq!((&*evicted.account, evicted.item), ("flood", 9));
    assert_eq!(queue.len(), 10);
}

proptest! {
    #[test]
    fn each_request_is_dequeued_or_evicted_exactly_once(
        pushes in vec((0_usize..5, 1_u32..50), 1..200),
        limit in 1_usize..50,
    ) {
        let mut queue = FairQueue::new(limit);
        let mut removed = Vec::new();
        for (number, (account, cost)) in pushes.iter().enumerate() {
            let account = format!("account-{account}");
            let pushed = queue.push(account.as_str().into(), 1.0, f64::from(*cost), number);
            removed.extend(pushed.evicted.map(|waiting| waiting.item));
            prop_assert!(queue.len() <= limit);
            if number % 3 == 0 {
                removed.extend(queue.pop().map(|waiting| waiting.item));
            }
        }
        while let Some(waiting) = queue.pop() {
            removed.push(waiting.item);
        }
        removed.sort_unstable();
        let all: Vec<usize> = (0..pushes.len()).collect();
        prop_assert!(removed == all, "{removed:?}");
    }

    /// Equal accounts that always have queued requests are served equally often,
    /// however many each has queued.
    #[test]
    fn no_account_is_starved(depths in vec(1_usize..200, 2..6)) {
        let mut queue = FairQueue::new(10_000);
        for (account, depth) in depths.iter().enumerate() {
            for number in 0..depth + 40 {
                let name = format!("account-{account}");
                queue.push(name.as_str().into(), 1.0, 1.0, u32::try_from(number).unwrap_or(0));
            }
        }
        let served = dequeue(&mut queue, depths.len() * 30);
        prop_assert!(served.values().all(|count| *count == 30), "{served:?}");
    }
}

#[test]
fn the_expected_wait_follows_the_drain_rate() {
    let start = Instant::now();
    let mut drain = DrainRate::new();
    assert_eq!(drain.expected_wait(start, 5), None);
    for tenth in 0..600 {
        drain.record_dequeue(start + Duration::from_millis(tenth * 100));
    }
    let now = start + Duration::from_mins(1);
    let wait = drain.expected_wait(now, 100).expect("a measured rate");
    assert!(
        wait > Duration::from_secs(8) && wait < Duration::from_secs(13),
        "{wait:?}"
    );
    assert!(drain.retry_after(now, 0) >= Duration::from_millis(100));
}

#[test]
fn retries_are_limited_to_a_share_of_new_requests() {
    let budget = RetryBudget::new();
    let initial = std::iter::repeat_with(|| budget.try_withdraw())
        .take_while(|is_granted| *is_granted)
        .count();
    assert_eq!(initial, 20);
    for _ in 0..100 {
        budget.deposit(0.1);
    }
    let deposited = std::iter::repeat_with(|| budget.try_withdraw())
        .take_while(|is_granted| *is_granted)
        .count();
    assert_eq!(deposited, 10);
}
