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
fn incarnation(born: u64) -> ServerKey {
    let addr = SocketAddr::from(([10, 0, 0, 1], 8_000));
    ServerKey::new(addr, "server", Some(born))
}

#[rstest]
#[case::a_part_of_a_second(SECOND / 4, SECOND / 4)]
#[case::seconds(3 * SECOND, 3 * SECOND)]
#[case::a_minute(MINUTE, MINUTE)]
#[case::days(Duration::from_hours(72), MINUTE)]
#[case::unbounded(Duration::MAX, MINUTE)]
fn a_backoff_lasts_as_long_as_requested_within_a_bound(
    #[case] requested: Duration,
    #[case] applied: Duration,
) {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    assert_eq!(backoffs.back_off(incarnation(1), requested, now), applied);
    assert_eq!(
        backoffs.left(incarnation(1), now + applied / 2),
        Some(applied / 2)
    );
    assert_eq!(backoffs.left(incarnation(1), now + applied), None);
}

#[test]
fn a_backoff_of_zero_is_none() {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    backoffs.back_off(incarnation(1), Duration::ZERO, now);
    assert_eq!(backoffs.left(incarnation(1), now), None);
}

#[test]
fn a_shorter_backoff_does_not_shorten_an_active_one() {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    backoffs.back_off(incarnation(1), 3 * SECOND, now);
    backoffs.back_off(incarnation(1), SECOND, now + SECOND);
    let left = backoffs.left(incarnation(1), now + SECOND);
    assert_eq!(left, Some(2 * SECOND));
    backoffs.back_off(incarnation(1), 4 * SECOND, now + SECOND);
    let left = backoffs.left(incarnation(1), now + SECOND);
    assert_eq!(left, Some(4 * SECOND));
}

#[test]
fn a_backoff_applies_to_one_incarnation() {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    backoffs.back_off(incarnation(1), 3 * SECOND, now);
    assert_eq!(backoffs.left(incarnation(2), now), None);
}

#[test]
fn expired_backoffs_are_removed() {
    let mut backoffs = Backoffs::new();
    let now = Instant::now();
    for born in 0..1_000 {
        backoffs.back_off(incarnation(born), SECOND, now);
    }
    backoffs.expire(now + 2 * SECOND);
    assert!(backoffs.is_empty());
}
