//! The limit on the fill of the engines' cache, replayed against engines whose first
//! events take longer the more requests they have.

use std::time::Duration;
use std::time::Instant;

use rookferry_core::FillLimit;
use rstest::rstest;

const OBJECTIVE: Duration = Duration::from_millis(500);
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Feeds first events for some time, with the latency that engines have at the fill that
/// is in force; returns the last latency.
fn run(
    limit: &mut FillLimit,
    start: Instant,
    lasting: Duration,
    first_event_ms: impl Fn(f64) -> f64,
) -> Duration {
    let mut at = Duration::ZERO;
    let mut took = Duration::ZERO;
    while at < lasting {
        took = Duration::from_secs_f64(first_event_ms(limit.fill()) / 1_000.0);
        limit.record_first_event(took, OBJECTIVE, start + at);
        at += EVENT_INTERVAL;
    }
    took
}

/// Engines that keep up until 0.8 of their cache is in use, and then read prompts later
/// and later.
fn crowded_above_four_fifths(fill: f64) -> f64 {
    100.0 + (fill - 0.8).max(0.0) * 4_000.0
}

/// Guards against admission by memory alone: first events took twice their objective while
/// cache was still free.
#[test]
fn the_fill_settles_where_first_events_are_in_time() {
    let mut limit = FillLimit::new();
    let start = Instant::now();
    let unlimited_ms = crowded_above_four_fifths(1.0);
    assert!(unlimited_ms > 500.0);
    let took = run(
        &mut limit,
        start,
        Duration::from_secs(10),
        crowded_above_four_fifths,
    );
    assert!(took < OBJECTIVE, "{took:?} at {}", limit.fill());
    assert!(limit.fill() > 0.75, "{}", limit.fill());
}

/// Guards against a limit that outlives the load it answers.
#[test]
fn the_whole_cache_may_be_filled_again_after_the_engines_recovered() {
    let mut limit = FillLimit::new();
    let start = Instant::now();
    run(&mut limit, start, Duration::from_secs(8), |_| 2_000.0);
    let lowest = limit.fill();
    assert!((0.5..0.7).contains(&lowest), "{lowest}");
    let calm = start + Duration::from_secs(8);
    run(&mut limit, calm, Duration::from_secs(8), |_| 60.0);
    assert!((limit.fill() - 1.0).abs() < f64::EPSILON);
}

/// Guards against single slow streams, as beside an engine that is lost, being taken for
/// crowded engines.
#[test]
fn a_few_slow_streams_among_many_hardly_change_the_limit() {
    let mut limit = FillLimit::new();
    let start = Instant::now();
    for number in 0..200_u32 {
        let took_ms = if number % 20 == 0 { 900 } else { 70 };
        let at = start + EVENT_INTERVAL * number;
        limit.record_first_event(Duration::from_millis(took_ms), OBJECTIVE, at);
    }
    assert!(limit.fill() > 0.95, "{}", limit.fill());
}

#[rstest]
#[case::no_objective(Duration::from_secs(1), Duration::ZERO)]
#[case::endless(Duration::MAX, OBJECTIVE)]
fn extreme_times_leave_a_limit_that_admits(#[case] took: Duration, #[case] objective: Duration) {
    let mut limit = FillLimit::new();
    let start = Instant::now();
    for number in 0..1_000_u32 {
        limit.record_first_event(took, objective, start + EVENT_INTERVAL * number);
    }
    assert!(limit.fill().is_finite() && limit.fill() >= 0.5);
}
