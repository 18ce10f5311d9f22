//! What a chain of engines can be expected to carry.
//!
//! A request reads its prompt through every stage and then goes round the
//! chain once a pass, for as many tokens as a pass plays. The longer that
//! takes, the more requests are under way, the more room they need, and the
//! fewer layers fit beside it: so time and room are solved together. By
//! Little's law a chain with room for N requests that take T carries N / T.

use super::AcceleratorKind;
use super::ModelShape;

/// A stage waits for the pass that is under way: half of one on the mean,
/// since requests that circulate reach a busy engine at any point of it.
const WAIT_PASSES: f64 = 0.5;
/// Most of an engine's time that reading prompts is reckoned to take; beyond
/// it a chain has no steady state.
const MAX_READ_SHARE: f64 = 0.95;
/// Rounds of the fixed point; each halves what is off.
const ROUNDS: usize = 12;

/// A run of layers on an engine of some kind.
#[derive(Clone, Copy, Debug)]
pub struct ChainStage<'a> {
    /// Its accelerator's kind.
    pub kind: &'a AcceleratorKind,
    /// How many layers it runs.
    pub layers: u16,
}

/// What a chain does with a number of requests under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainForecast {
    /// Time once round the chain: the pause between two events.
    pub round_ms: f64,
    /// Time from sending to the first event.
    pub first_event_ms: f64,
    /// Time of a usual request, from sending to its last event.
    pub request_ms: f64,
    /// Requests that are completed in a second.
    pub requests_per_s: f64,
}

/// Reckons a chain with `requests` of usual size always under way.
/// `handover_ms` is the time from one stage to the next.
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
    let read_ms = |stage: &ChainStage<'_>| {
        model.layer_read_ms(stage.kind, model.usual_prompt_tokens) * f64::from(stage.layers)
    };
    let alone_ms = |stage: &ChainStage<'_>, writers: f64| {
        let step_factor = model.layer_step_ms(Some(stage.kind)) / model.step_ms;
        let step_ms = model.step_ms + writers * per_request_ms;
        f64::from(stage.layers) * step_factor * step_ms * model.steps_per_pass
    };
    let mut found = ChainForecast {
        round_ms: stages.iter().map(|stage| alone_ms(stage, 0.0)).sum(),
        first_event_ms: 0.0,
        request_ms: 0.0,
        requests_per_s: 0.0,
    };
    for _ in 0..ROUNDS {
        let mut round_ms = 0.0;
        let mut reading_ms = 0.0;
        for stage in stages {
            let reads = (found.requests_per_s * read_ms(stage) / 1_000.0).min(MAX_READ_SHARE);
            // Of those that circulate, a pass takes up what came during the last.
            let share = alone_ms(stage, 0.0) / found.round_ms.max(f64::MIN_POSITIVE);
            let writers = (requests * share).max(1.0);
            let pass_ms = alone_ms(stage, writers) / (1.0 - reads);
            round_ms += pass_ms * (1.0 + WAIT_PASSES) + handover_ms;
            reading_ms += read_ms(stage) / (1.0 - reads);
        }
        found.round_ms = round_ms;
        found.first_event_ms = reading_ms + round_ms;
        found.request_ms = found.first_event_ms + (passes - 1.0) * round_ms;
        // Halfway, as a rate that is too high makes the next one too low.
        let requests_per_s = requests / found.request_ms * 1_000.0;
        found.requests_per_s = f64::midpoint(found.requests_per_s, requests_per_s);
    }
    found
}
