//! Retry times that callers get while a site is over its capacity.

use std::time::Duration;
use std::time::Instant;

use rookferry_core::Overload;
use rstest::rstest;

const MEDIAN_CHANCE: f64 = 0.5;

/// Records a refusal every 10 ms for `lasting`, and returns the last retry time.
fn refuse_for(overload: &mut Overload, start: Instant, lasting: Duration) -> Duration {
    let mut at = Duration::ZERO;
    let mut last = Duration::ZERO;
    while at <= lasting {
        last = overload.refused(start + at, MEDIAN_CHANCE).retry_after;
        at += Duration::from_millis(10);
    }
    last
}

#[rstest]
#[case::short(Duration::from_millis(400))]
#[case::long(Duration::from_secs(8))]
fn the_retry_time_is_about_the_duration_of_the_overload(#[case] lasting: Duration) {
    let mut overload = Overload::new();
    let wait = refuse_for(&mut overload, Instant::now(), lasting);
    let deviation = wait.abs_diff(lasting);
    assert!(deviation <= Duration::from_millis(20), "{wait:?}");
}

#[test]
fn the_first_retry_time_is_short_and_not_zero() {
    let mut overload = Overload::new();
    let wait = overload.refused(Instant::now(), MEDIAN_CHANCE).retry_after;
    assert!(wait >= Duration::from_millis(50));
    assert!(wait <= Duration::from_millis(500));
}

#[test]
fn retry_times_of_simultaneous_callers_are_spread() {
    let mut overload = Overload::new();
    let start = Instant::now();
    refuse_for(&mut overload, start, Duration::from_secs(4));
    let now = start + Duration::from_secs(4);
    let waits = [0.0, 0.25, 0.5, 0.75, 1.0].map(|chance| overload.refused(now, chance).retry_after);
    assert!(waits.is_sorted());
    assert!(waits[4] >= waits[0] * 2, "{waits:?}");
}

#[test]
fn a_past_overload_does_not_lengthen_retry_times() {
    let mut overload = Overload::new();
    let start = Instant::now();
    refuse_for(&mut overload, start, Duration::from_secs(10));
    let later = start + Duration::from_secs(20);
    let wait = overload.refused(later, MEDIAN_CHANCE).retry_after;
    assert!(wait <= Duration::from_millis(500), "{wait:?}");
}
