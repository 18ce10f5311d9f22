//! How long a backoff that a server requested lasts.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::Backoffs;
use rookferry_core::ServerKey;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);

/// Key of one incarnation of the server.
fn start(born: u64) -> ServerKey {
    let addr = SocketAddr::from(([10, 0, 0, 1], 8_000));
    ServerKey::new(addr, "server", Some(born))
}

#[rstest]
#[case::a_part_of_a_second(SECOND / 4, SECOND / 4)]
#[case::seconds(3 * SECOND, 3 * SECOND)]
#[case::a_minute(MINUTE, MINUTE)]
#[case::days(Duration::from_hours(72), MINUTE)]
#[case::for_ever(Duration::MAX, MINUTE)]
fn a_time_is_kept_to_its_end_and_bounded(#[case] asked: Duration, #[case] kept: Duration) {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    assert_eq!(backoffs.back_off(start(1), asked, now), kept);
    assert_eq!(backoffs.left(start(1), now + kept / 2), Some(kept / 2));
    assert_eq!(backoffs.left(start(1), now + kept), None);
}

#[test]
fn no_time_is_asked_for_by_zero() {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    backoffs.back_off(start(1), Duration::ZERO, now);
    assert_eq!(backoffs.left(start(1), now), None);
}

#[test]
fn a_shorter_time_does_not_end_one_that_holds() {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    backoffs.back_off(start(1), 3 * SECOND, now);
    backoffs.back_off(start(1), SECOND, now + SECOND);
    let left = backoffs.left(start(1), now + SECOND);
    assert_eq!(left, Some(2 * SECOND));
    backoffs.back_off(start(1), 4 * SECOND, now + SECOND);
    let left = backoffs.left(start(1), now + SECOND);
    assert_eq!(left, Some(4 * SECOND));
}

#[test]
fn what_one_start_said_says_nothing_of_another() {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    backoffs.back_off(start(1), 3 * SECOND, now);
    assert_eq!(backoffs.left(start(2), now), None);
}

#[test]
fn times_that_are_over_take_no_memory() {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    for born in 0..1_000 {
        backoffs.back_off(start(born), SECOND, now);
    }
    backoffs.expire(now + 2 * SECOND);
    assert!(backoffs.is_empty());
}
