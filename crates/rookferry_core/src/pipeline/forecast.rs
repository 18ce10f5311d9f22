//! Expected latency and throughput of a chain of engines.
//!
//! A request passes every stage for prefill (reading its prompt), and then once
//! per pass for as many tokens as a pass has steps. Latency and throughput
//! depend on each other: longer requests mean more of them in flight, which need
//! more cache, beside which fewer layers fit. By Little's law a chain with
//! cache for N concurrent requests that take time T completes N / T. The
//! fixed point of both is found by iteration.
//!
//! The layout planner calls this for each number of requests that it considers.

use super::AcceleratorKind;
use super::ModelShape;

/// Mean wait at a stage for the engine's current pass, in passes. Requests arrive at
/// a busy engine at any point of a pass, so half of one remains on average.
const MEAN_WAIT_PASSES: f64 = 0.5;
/// Maximum fraction of an engine's time assumed for prefill; a chain with more has no
/// steady state.
const MAX_PREFILL_FRACTION: f64 = 0.95;
/// Iterations of the fixed point; each halves the error.
const ITERATIONS: usize = 12;

/// One engine of a chain: its kind and its number of layers.
#[derive(Clone, Copy, Debug)]
pub struct ChainStage<'a> {
    /// The engine's accelerator kind.
    pub kind: &'a AcceleratorKind,
    /// Number of layers that it runs.
    pub layers: u16,
}

/// Latency and throughput of a chain at a number of concurrent requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainForecast {
    /// Time for one traversal of the chain, which is the pause between two events.
    pub round_ms: f64,
    /// Time from sending a request to its first event.
    pub first_event_ms: f64,
    /// Time of a request of mean size, from sending to its last event.
    pub request_ms: f64,
    /// Requests completed per second.
    pub requests_per_s: f64,
}

/// Forecast for a chain that always runs `requests` concurrent requests of mean size.
/// `handover_ms` is the transfer time from one stage to the next.
#[must_use]
pub fn forecast(
    model: &ModelShape,
    stages: &[ChainStage<'_>],
    requests: f64,
    handover_ms: f64,
) -> ChainForecast {
    let context_k = (model.usual_prompt_tokens + model.usual_answer_tokens / 2.0) / 1_000.0;
    let per_request_ms = model.step_ms_per_request + model.step_ms_per_context_k * context_k;
    let passes = (model.usual_answer_tokens / model.steps_per_pass).max(1.0);
    let prefill_ms = |stage: &ChainStage<'_>| {
        model.layer_read_ms(stage.kind, model.usual_prompt_tokens) * f64::from(stage.layers)
    };
    let decode_ms = |stage: &ChainStage<'_>, decoding: f64| {
        let step_factor = model.layer_step_ms(Some(stage.kind)) / model.step_ms;
        let step_ms = model.step_ms + decoding * per_request_ms;
        f64::from(stage.layers) * step_factor * step_ms * model.steps_per_pass
    };
    let mut estimate = ChainForecast {
        round_ms: stages.iter().map(|stage| decode_ms(stage, 0.0)).sum(),
        first_event_ms: 0.0,
        request_ms: 0.0,
        requests_per_s: 0.0,
    };
    for _ in 0..ITERATIONS {
        let mut round_ms = 0.0;
        let mut total_prefill_ms = 0.0;
        for stage in stages {
            let prefill_fraction =
                (estimate.requests_per_s * prefill_ms(stage) / 1_000.0).min(MAX_PREFILL_FRACTION);
            // A pass batches the decoding requests that arrived during the previous pass.
            let pass_fraction = decode_ms(stage, 0.0) / estimate.round_ms.max(f64::MIN_POSITIVE);
            let decoding = (requests * pass_fraction).max(1.0);
            let pass_ms = decode_ms(stage, decoding) / (1.0 - prefill_fraction);
            round_ms += pass_ms * (1.0 + MEAN_WAIT_PASSES) + handover_ms;
            total_prefill_ms += prefill_ms(stage) / (1.0 - prefill_fraction);
        }
        estimate.round_ms = round_ms;
        estimate.first_event_ms = total_prefill_ms + round_ms;
        estimate.request_ms = estimate.first_event_ms + (passes - 1.0) * round_ms;
        // Damped by half, as too high a rate makes the next estimate too low.
        let requests_per_s = requests / estimate.request_ms * 1_000.0;
        estimate.requests_per_s = f64::midpoint(estimate.requests_per_s, requests_per_s);
    }
    estimate
}
