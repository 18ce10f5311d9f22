//! Retry times that callers get while a site is over its capacity.

use std::time::Duration;
use std::time::Instant;

use rookferry_core::Overload;
use rstest::rstest;

const MIDDLE: f64 = 0.5;

/// Records a refusal every 10 ms for `lasting`, and returns the last retry time.
fn overloaded_for(overload: &mut Overload, start: Instant, lasting: Duration) -> Duration {
    let mut at = Duration::ZERO;
    let mut last = Duration::ZERO;
    while at <= lasting {
        last = overload.refused(start + at, MIDDLE).retry_after;
        at += Duration::from_millis(10);
    }
    last
}

#[rstest]
#[case::short(Duration::from_millis(400))]
#[case::long(Duration::from_secs(8))]
fn callers_come_back_after_about_as_long_as_it_has_lasted(#[case] lasting: Duration) {
    let mut overload = Overload::new();
    let wait = overloaded_for(&mut overload, Instant::now(), lasting);
    let off = wait.abs_diff(lasting);
    assert!(off <= Duration::from_millis(20), "{wait:?}");
}

#[test]
fn the_first_ones_come_back_soon_and_not_at_once() {
    let mut overload = Overload::new();
    let wait = overload.refused(Instant::now(), MIDDLE).retry_after;
    assert!(wait >= Duration::from_millis(50));
    assert!(wait <= Duration::from_millis(500));
}

#[test]
fn callers_of_one_moment_are_spread() {
    let mut overload = Overload::new();
    let start = Instant::now();
    overloaded_for(&mut overload, start, Duration::from_secs(4));
    let now = start + Duration::from_secs(4);
    let waits = [0.0, 0.25, 0.5, 0.75, 1.0].map(|chance| overload.refused(now, chance).retry_after);
    assert!(waits.is_sorted());
    assert!(waits[4] >= waits[0] * 2, "{waits:?}");
}

#[test]
fn an_overload_that_is_over_is_forgotten() {
    let mut overload = Overload::new();
    let start = Instant::now();
    overloaded_for(&mut overload, start, Duration::from_secs(10));
    let later = start + Duration::from_secs(20);
    let wait = overload.refused(later, MIDDLE).retry_after;
    assert!(wait <= Duration::from_millis(500), "{wait:?}");
}
