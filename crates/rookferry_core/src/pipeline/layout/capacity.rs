//! Choice of the number of requests that engines reserve cache for.
//!
//! Tries increasing numbers of requests on the fastest chain that a group's
//! engines can form with them, and compares the forecasts.

use std::time::Duration;

use super::super::AcceleratorKind;
use super::super::ChainForecast;
use super::super::ChainStage;
use super::super::ModelShape;
use super::super::forecast;

/// Ratio between two successive numbers of requests that are tried. Numbers in between
/// change the layers of a kind by one at most.
const REQUESTS_RATIO: f64 = 1.1;
/// Fraction of the highest rate that counts as equally good. The rest of the rate needs
/// the most cache and so the most and shortest stages, whose streams last longer and
/// are hit by more lost engines.
const GOOD_RATE_FRACTION: f64 = 0.85;
/// Longest pause of a stream, in mean traversals of its chain.
const LONGEST_PAUSE_ROUNDS: f64 = 3.0;
/// Transfer time from one stage to the next within a failure domain: the network delay,
/// and a token's activations over the engines' own links.
const HANDOVER_MS: f64 = 0.2;

/// A number of requests per engine, and how the group performs with it.
#[derive(Clone, Copy, Debug)]
struct CapacityOption {
    requests: f64,
    requests_per_s: f64,
    meets_pause_objective: bool,
    tolerates_loss: bool,
}

/// Finds the number of requests with which a chain of engines performs best.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacitySearch<'a> {
    pub(super) model: &'a ModelShape,
    pub(super) longest_pause: Option<Duration>,
}

impl CapacitySearch<'_> {
    /// The smallest number of requests whose rate reaches [`GOOD_RATE_FRACTION`] of the
    /// best; `None` if the kinds can't hold all layers even with cache for one.
    ///
    /// Prefers numbers that meet the pause objective, and among these the ones that
    /// leave spare engines for the largest stage of the chain. A domain without spares
    /// stays incomplete until a lost engine is back, and its requests overload the
    /// other domains.
    pub(super) fn best_requests(&self, mut kinds: Vec<&AcceleratorKind>) -> Option<f64> {
        let most = self.model.max_requests.max(1.0);
        let options = std::iter::successors(Some(1.0), |requests| Some(requests * REQUESTS_RATIO));
        let options: Vec<CapacityOption> = options
            .take_while(|requests| *requests <= most)
            .map_while(|requests| {
                let chain = self.chain(&mut kinds, requests)?;
                let estimate = forecast(self.model, &chain, requests, HANDOVER_MS);
                Some(CapacityOption {
                    requests,
                    requests_per_s: estimate.requests_per_s,
                    meets_pause_objective: self.meets_pause_objective(&estimate),
                    tolerates_loss: self.tolerates_loss(&kinds, &chain, requests),
                })
            })
            .collect();
        let options = prefer(options, |option| option.meets_pause_objective);
        let options = prefer(options, |option| option.tolerates_loss);
        let rates = options.iter().map(|option| option.requests_per_s);
        let best_rate = rates.fold(0.0, f64::max);
        let good_enough = options
            .iter()
            .find(|option| option.requests_per_s >= best_rate * GOOD_RATE_FRACTION);
        good_enough.map(|option| option.requests)
    }

    /// Number of layers that fit on a kind beside the cache of `requests` requests.
    pub(super) fn layer_count(&self, kind: &AcceleratorKind, requests: f64) -> u16 {
        let tokens = requests * self.model.mean_request_tokens();
        self.model.max_layers_beside(kind, tokens)
    }

    /// Milliseconds per layer of a pass on a kind, including its part of the transfer to
    /// the next stage; `None` if no layer fits.
    pub(super) fn layer_cost_ms(&self, kind: &AcceleratorKind, requests: f64) -> Option<f64> {
        let layers = self.layer_count(kind, requests);
        let pass_ms = self.model.layer_step_ms(Some(kind)) * self.model.steps_per_pass;
        (layers > 0).then(|| pass_ms + HANDOVER_MS / f64::from(layers))
    }

    /// Whether the pauses of a forecast meet the objective, if there is one.
    fn meets_pause_objective(&self, estimate: &ChainForecast) -> bool {
        let pause_ms = estimate.round_ms * LONGEST_PAUSE_ROUNDS;
        self.longest_pause
            .is_none_or(|longest| pause_ms <= longest.as_secs_f64() * 1_000.0)
    }

    /// Whether the engines outside a chain, which follow it in `kinds`, can hold its
    /// largest stage.
    fn tolerates_loss(
        &self,
        kinds: &[&AcceleratorKind],
        chain: &[ChainStage<'_>],
        requests: f64,
    ) -> bool {
        let spare_kinds = kinds[chain.len()..].iter();
        let spare: u32 = spare_kinds
            .map(|kind| u32::from(self.layer_count(kind, requests)))
            .sum();
        let largest = chain.iter().map(|stage| u32::from(stage.layers)).max();
        spare >= largest.unwrap_or(0)
    }

    /// The fastest chain over engines of some kinds, each with cache for `requests`
    /// requests; `None` if they can't hold all layers. Sorts the kinds by speed.
    fn chain<'k>(
        &self,
        kinds: &mut [&'k AcceleratorKind],
        requests: f64,
    ) -> Option<Vec<ChainStage<'k>>> {
        let cost_ms = |kind: &AcceleratorKind| {
            let cost_ms = self.layer_cost_ms(kind, requests);
            cost_ms.unwrap_or(f64::INFINITY)
        };
        kinds.sort_by(|left, right| cost_ms(left).total_cmp(&cost_ms(right)));
        let mut missing = self.model.layers;
        let mut stages = Vec::new();
        for kind in kinds.iter().copied() {
            let layers = self.layer_count(kind, requests).min(missing);
            if layers == 0 {
                break;
            }
            missing -= layers;
            stages.push(ChainStage { kind, layers });
        }
        (missing == 0).then_some(stages)
    }
}

/// The options that satisfy a condition, or all if none does.
fn prefer(
    options: Vec<CapacityOption>,
    satisfies: impl Fn(&CapacityOption) -> bool,
) -> Vec<CapacityOption> {
    if !options.iter().any(&satisfies) {
        return options;
    }
    options
        .into_iter()
        .filter(|option| satisfies(option))
        .collect()
}
