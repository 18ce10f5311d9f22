//! Which bodies give way when the memory for them is used up.

use std::time::Duration;

use rookferry_net::MemoryBudget;

const KB: usize = 1024;
const BUDGET_BYTES: usize = 1024 * KB;
/// Longer than a body may make no progress.
const STALL: Duration = Duration::from_millis(400);

// Guards against a budget that a few stalled bodies use up for all others.
#[tokio::test]
async fn the_body_without_progress_for_longest_gives_way() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut first = budget.lease();
    first.grow(350 * KB).await.expect("memory");
    let mut second = budget.lease();
    second.grow(350 * KB).await.expect("memory");
    tokio::time::sleep(STALL).await;
    second.grow(KB).await.expect("memory");
    let mut third = budget.lease();
    // Nobody drops the evicted one yet.
    assert!(third.grow(350 * KB).await.is_err());
    assert_eq!(budget.evictions(), 1);
    drop(first);
    third.grow(350 * KB).await.expect("the memory of the first");
}

// Guards against waiting again and again for an evicted body that isn't dropped.
#[tokio::test]
async fn a_body_that_does_not_give_way_shields_no_other() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut first = budget.lease();
    first.grow(350 * KB).await.expect("memory");
    let mut second = budget.lease();
    second.grow(350 * KB).await.expect("memory");
    tokio::time::sleep(STALL).await;
    let mut third = budget.lease();
    assert!(third.grow(350 * KB).await.is_err());
    assert!(third.grow(350 * KB).await.is_err());
    assert_eq!(budget.evictions(), 2);
}

// Guards against evicting bodies that arrive steadily.
#[tokio::test]
async fn a_body_that_makes_progress_is_not_evicted() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut first = budget.lease();
    first.grow(700 * KB).await.expect("memory");
    let mut second = budget.lease();
    assert!(second.grow(200 * KB).await.is_err());
    assert_eq!(budget.evictions(), 0);
}

// Guards against large bodies that leave nothing for small ones.
#[tokio::test]
async fn a_part_is_reserved_for_small_bodies() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut large = budget.lease();
    large.grow(700 * KB).await.expect("memory");
    let mut other_large = budget.lease();
    assert!(other_large.grow(100 * KB).await.is_err());
    let mut small = budget.lease();
    small.grow(32 * KB).await.expect("memory");
    drop((large, other_large, small));
    assert_eq!(budget.used_bytes(), 0);
}

// Guards against a budget below the largest legal body, which would never be read.
#[tokio::test]
async fn a_single_body_always_has_memory() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut body = budget.lease();
    body.grow(KB).await.expect("memory");
    body.grow(4 * BUDGET_BYTES).await.expect("memory");
}
