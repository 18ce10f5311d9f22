//! Expected latency and throughput of a chain of engines.

use rookferry_core::AcceleratorKind;
use rookferry_core::ChainForecast;
use rookferry_core::ChainStage;
use rookferry_core::ModelShape;
use rookferry_core::forecast;
use rstest::rstest;

/// Transfer time from one stage to the next.
const HANDOVER_MS: f64 = 0.2;

fn kind(step_factor: f64) -> AcceleratorKind {
    AcceleratorKind {
        name: "kind".to_owned(),
        memory_mb: 40_000.0,
        step_factor,
        read_factor: step_factor,
    }
}

fn model() -> ModelShape {
    ModelShape {
        layers: 40,
        layer_mb: 1_000.0,
        cache_bytes_per_token: 400_000.0,
        step_ms: 1.0,
        step_ms_per_request: 0.005,
        step_ms_per_context_k: 0.005,
        max_requests: 192.0,
        steps_per_pass: 4.0,
        read_tokens_per_ms: 200.0,
        read_ms_per_m_pairs: 0.2,
        usual_prompt_tokens: 800.0,
        usual_answer_tokens: 200.0,
        activation_bytes: 22_900.0,
        link_mbps: 5_600.0,
        kinds: Vec::new(),
    }
}

fn chain(kind: &AcceleratorKind, stages: u16, requests: f64) -> ChainForecast {
    let layers = 40 / stages;
    let stage = ChainStage { kind, layers };
    let stages = vec![stage; usize::from(stages)];
    forecast(&model(), &stages, requests, HANDOVER_MS)
}

#[test]
fn concurrent_requests_equal_their_rate_times_their_duration() {
    let found = chain(&kind(4.0), 4, 50.0);
    let concurrent = found.requests_per_s * found.request_ms / 1_000.0;
    assert!((concurrent - 50.0).abs() < 0.5, "{found:?}");
}

#[test]
fn a_single_request_takes_the_time_of_its_prefill_and_its_steps() {
    // Prefill: 800 tokens at 200 a millisecond and 0.32 million pairs. Decoding: 50
    // rounds of four steps of 1.0095 ms, and half as much again for passes in flight.
    let found = chain(&kind(1.0), 1, 1.0);
    assert!((found.round_ms - 6.4).abs() < 0.3, "{found:?}");
    assert!((found.first_event_ms - 10.5).abs() < 0.5, "{found:?}");
}

#[rstest]
#[case::slower_engines(chain(&kind(4.0), 4, 20.0), chain(&kind(8.0), 4, 20.0))]
#[case::more_stages(chain(&kind(4.0), 4, 20.0), chain(&kind(4.0), 20, 20.0))]
#[case::more_requests(chain(&kind(4.0), 4, 20.0), chain(&kind(4.0), 4, 80.0))]
fn latency_grows_with(#[case] less: ChainForecast, #[case] more: ChainForecast) {
    assert!(less.round_ms < more.round_ms, "{less:?} {more:?}");
    assert!(less.request_ms < more.request_ms, "{less:?} {more:?}");
}

#[test]
fn throughput_grows_with_concurrency_up_to_the_prefill_limit() {
    let kind = kind(8.0);
    let prefill_ms = (800.0 / 200.0 + 0.32 * 0.2) * 8.0 / 4.0;
    let mut previous = 0.0;
    for requests in [10.0, 20.0, 40.0, 80.0, 160.0, 320.0] {
        let found = chain(&kind, 4, requests);
        assert!(found.requests_per_s >= previous, "{found:?}");
        assert!(found.requests_per_s <= 1_000.0 / prefill_ms, "{found:?}");
        previous = found.requests_per_s;
    }
}
