//! What servers said of themselves in their answers, and how long it holds.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::ServerKey;
use rookferry_core::ServerNotices;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);

/// A start of the one server.
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
    let mut notices = ServerNotices::new();
    let now = Instant::now();
    assert_eq!(notices.back_off(start(1), asked, now), kept);
    assert_eq!(
        notices.backoff_left(start(1), now + kept / 2),
        Some(kept / 2)
    );
    assert_eq!(notices.backoff_left(start(1), now + kept), None);
}

#[test]
fn no_time_is_asked_for_by_zero() {
    let mut notices = ServerNotices::new();
    let now = Instant::now();
    notices.back_off(start(1), Duration::ZERO, now);
    assert_eq!(notices.backoff_left(start(1), now), None);
}

#[test]
fn a_shorter_time_does_not_end_one_that_holds() {
    let mut notices = ServerNotices::new();
    let now = Instant::now();
    notices.back_off(start(1), 3 * SECOND, now);
    notices.back_off(start(1), SECOND, now + SECOND);
    let left = notices.backoff_left(start(1), now + SECOND);
    assert_eq!(left, Some(2 * SECOND));
    notices.back_off(start(1), 4 * SECOND, now + SECOND);
    let left = notices.backoff_left(start(1), now + SECOND);
    assert_eq!(left, Some(4 * SECOND));
}

#[test]
fn what_one_start_said_says_nothing_of_another() {
    let mut notices = ServerNotices::new();
    let now = Instant::now();
    notices.back_off(start(1), 3 * SECOND, now);
    assert!(notices.note_leaving(start(1), now));
    assert!(!notices.note_leaving(start(1), now));
    assert_eq!(notices.backoff_left(start(2), now), None);
    assert!(!notices.is_leaving(start(2)));
    assert!(notices.is_leaving(start(1)));
}

#[test]
fn that_a_server_leaves_outlasts_its_entry_for_a_time() {
    let mut notices = ServerNotices::new();
    let now = Instant::now();
    notices.note_leaving(start(1), now);
    notices.back_off(start(1), SECOND, now);
    notices.retain(now + 9 * MINUTE, |_| false);
    assert!(notices.is_leaving(start(1)));
    notices.retain(now + 20 * MINUTE, |_| true);
    assert!(notices.is_leaving(start(1)));
    notices.retain(now + 20 * MINUTE, |_| false);
    assert!(notices.is_empty());
}

#[test]
fn times_that_are_over_take_no_memory() {
    let mut notices = ServerNotices::new();
    let now = Instant::now();
    for born in 0..1_000 {
        notices.back_off(start(born), SECOND, now);
    }
    notices.retain(now + 2 * SECOND, |_| true);
    assert!(notices.is_empty());
}
