//! Instances share one link between failure domains: each limits the rate of the prompts
//! that it sends over the link.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rookferry_core::LinkRateLimiter;
use rstest::rstest;

/// How long callers wait for the first event, in milliseconds.
const CALLER_TIMEOUT_MS: f64 = 2_000.0;

/// Simulates 30 s of prompts that each occupy the shared link for `prompt_ms`. Returns
/// how many arrived, and how many crossed the link before their callers' timeout. Without
/// a rate limiter all are admitted.
fn simulate(instances: usize, per_s: f64, prompt_ms: f64, is_limited: bool) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(7);
    let start = Instant::now();
    let mut limiters: Vec<_> = (0..instances)
        .map(|_| LinkRateLimiter::new(rng.random()))
        .collect();
    let (mut arrived, mut in_time) = (0, 0);
    let mut link_free_ms = 0.0_f64;
    let mut at_ms = 0.0;
    while at_ms < 30_000.0 {
        at_ms += 1_000.0 / per_s;
        arrived += 1;
        let now = start + Duration::from_secs_f64(at_ms / 1_000.0);
        let limiter = &mut limiters[rng.random_range(0..instances)];
        if is_limited && limiter.reserve(prompt_ms, instances, now).is_err() {
            continue;
        }
        link_free_ms = link_free_ms.max(at_ms) + prompt_ms;
        in_time += usize::from(link_free_ms - at_ms < CALLER_TIMEOUT_MS);
    }
    (arrived, in_time)
}

#[rstest]
#[case::small_site(9, 14.0, 370.0)]
#[case::of_hundreds(295, 300.0, 25.0)]
fn limited_streams_use_the_capacity_of_an_overloaded_link(
    #[case] instances: usize,
    #[case] per_s: f64,
    #[case] prompt_ms: f64,
) {
    let most = 30_000.0 / prompt_ms;
    let (_, unlimited) = simulate(instances, per_s, prompt_ms, false);
    let (_, limited) = simulate(instances, per_s, prompt_ms, true);
    assert!((unlimited as f64) < most * 0.2, "{unlimited} of {most}");
    assert!((limited as f64) > most * 0.4, "{limited} of {most}");
}

#[test]
fn a_link_with_enough_capacity_refuses_few() {
    let (arrived, in_time) = simulate(9, 10.0, 5.0, true);
    assert!(in_time * 10 >= arrived * 9, "{in_time} of {arrived}");
}

#[test]
fn a_refusal_states_when_the_link_has_capacity() {
    let start = Instant::now();
    let mut limiter = LinkRateLimiter::new(0.0);
    assert_eq!(limiter.reserve(100.0, 4, start), Ok(()));
    let wait = limiter
        .reserve(100.0, 4, start)
        .expect_err("no time is left");
    let soon = start + wait + Duration::from_millis(1);
    assert_eq!(limiter.reserve(100.0, 4, soon), Ok(()));
}
