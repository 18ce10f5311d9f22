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

/// Dequeues up to `turns` requests and counts them by account.
fn served(queue: &mut FairQueue<u32>, turns: usize) -> BTreeMap<String, usize> {
    let mut served = BTreeMap::new();
    for _ in 0..turns {
        let Some(next) = queue.pop() else {
            break;
        };
        *served.entry(next.account.to_string()).or_default() += 1;
    }
    served
}

#[test]
fn turns_follow_weights() {
    let mut queue = FairQueue::new(1_000);
    for number in 0..100 {
        queue.push("large".into(), 3.0, 1.0, number);
        queue.push("small".into(), 1.0, 1.0, number);
    }
    let served = served(&mut queue, 80);
    assert_eq!(served["large"], 60);
    assert_eq!(served["small"], 20);
}

#[test]
fn a_flood_waits_behind_itself() {
    let mut queue = FairQueue::new(1_000);
    for number in 0..500 {
        queue.push("flood".into(), 1.0, 1.0, number);
    }
    queue.push("quiet".into(), 1.0, 1.0, 0);
    assert!(served(&mut queue, 2).contains_key("quiet"));
}

#[test]
fn long_work_counts_by_its_cost() {
    let mut queue = FairQueue::new(1_000);
    for number in 0..20 {
        queue.push("long".into(), 1.0, 100.0, number);
        queue.push("short".into(), 1.0, 10.0, number);
    }
    let served = served(&mut queue, 11);
    assert!(served["short"] >= 9, "{served:?}");
}

#[test]
fn when_full_the_one_furthest_over_its_share_is_turned_away() {
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
    fn nothing_is_lost_or_doubled(
        pushes in vec((0_usize..5, 1_u32..50), 1..200),
        limit in 1_usize..50,
    ) {
        let mut queue = FairQueue::new(limit);
        let mut seen = Vec::new();
        for (number, (account, cost)) in pushes.iter().enumerate() {
            let account = format!("account-{account}");
            let pushed = queue.push(account.as_str().into(), 1.0, f64::from(*cost), number);
            seen.extend(pushed.evicted.map(|waiting| waiting.item));
            prop_assert!(queue.len() <= limit);
            if number % 3 == 0 {
                seen.extend(queue.pop().map(|waiting| waiting.item));
            }
        }
        while let Some(waiting) = queue.pop() {
            seen.push(waiting.item);
        }
        seen.sort_unstable();
        let all: Vec<usize> = (0..pushes.len()).collect();
        prop_assert!(seen == all, "{seen:?}");
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
        let served = served(&mut queue, depths.len() * 30);
        prop_assert!(served.values().all(|turns| *turns == 30), "{served:?}");
    }
}

#[test]
fn the_wait_follows_the_drain() {
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
fn retries_are_a_share_of_fresh_work() {
    let budget = RetryBudget::new();
    let saved = std::iter::repeat_with(|| budget.try_withdraw())
        .take_while(|spent| *spent)
        .count();
    assert_eq!(saved, 20);
    for _ in 0..100 {
        budget.deposit(0.1);
    }
    let earned = std::iter::repeat_with(|| budget.try_withdraw())
        .take_while(|spent| *spent)
        .count();
    assert_eq!(earned, 10);
}
