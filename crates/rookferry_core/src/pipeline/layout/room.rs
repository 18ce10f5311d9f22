//! How much room the engines of a group should keep for requests.

use std::time::Duration;

use super::super::AcceleratorKind;
use super::super::ChainForecast;
use super::super::ChainStage;
use super::super::ModelShape;
use super::super::forecast;

/// Ratio between two numbers of requests that room is tried for. Room in
/// between changes no kind's number of layers by more than one.
const ROOM_STEP: f64 = 1.1;
/// The part of the highest rate that counts as as good. The last parts of it
/// take the most room, and so the most and shortest stages, whose streams last
/// longer and meet more lost engines.
const AS_GOOD: f64 = 0.85;
/// The longest pause of a stream, in mean rounds of its chain.
const PAUSE_ROUNDS: f64 = 3.0;
/// Time from one stage to the next in one failure domain: its delay, and a
/// token's activations over the engines' own links.
const HANDOVER_MS: f64 = 0.2;

/// What a group does with room for a number of requests on each engine.
#[derive(Clone, Copy, Debug)]
struct RoomTry {
    requests: f64,
    requests_per_s: f64,
    keeps_pauses: bool,
    bears_a_loss: bool,
}

/// Seeks the room with which engines of some kinds, as a chain, do best.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoomSearch<'a> {
    pub(super) model: &'a ModelShape,
    pub(super) longest_pause: Option<Duration>,
}

impl RoomSearch<'_> {
    /// The number of requests whose room carries the most; none if the kinds
    /// can't hold all layers even for one. Where it can be had, the engines
    /// beside the chain can stand in for its largest stage: a domain without
    /// that stays incomplete until a lost engine is back, and has its requests
    /// crowd the others.
    pub(super) fn best(&self, mut kinds: Vec<&AcceleratorKind>) -> Option<f64> {
        let most = self.model.max_requests.max(1.0);
        let tries = std::iter::successors(Some(1.0), |requests| Some(requests * ROOM_STEP));
        let tries: Vec<RoomTry> = tries
            .take_while(|requests| *requests <= most)
            .map_while(|requests| {
                let chain = self.chain(&mut kinds, requests)?;
                let found = forecast(self.model, &chain, requests, HANDOVER_MS);
                Some(RoomTry {
                    requests,
                    requests_per_s: found.requests_per_s,
                    keeps_pauses: self.keeps_pauses(&found),
                    bears_a_loss: self.bears_a_loss(&kinds, &chain, requests),
                })
            })
            .collect();
        let tries = preferring(tries, |room| room.keeps_pauses);
        let tries = preferring(tries, |room| room.bears_a_loss);
        let rates = tries.iter().map(|room| room.requests_per_s);
        let best = rates.fold(0.0, f64::max);
        let as_good = tries
            .iter()
            .find(|room| room.requests_per_s >= best * AS_GOOD);
        as_good.map(|room| room.requests)
    }

    /// Layers that a kind takes beside the cache for a number of requests.
    pub(super) fn share(&self, kind: &AcceleratorKind, requests: f64) -> u16 {
        let tokens = requests * self.model.usual_tokens();
        self.model.layers_beside(kind, tokens)
    }

    /// Time a layer takes on a kind, its part of the handover included; none
    /// if the kind has no room for a layer.
    pub(super) fn layer_cost_ms(&self, kind: &AcceleratorKind, requests: f64) -> Option<f64> {
        let layers = self.share(kind, requests);
        let pass_ms = self.model.layer_step_ms(Some(kind)) * self.model.steps_per_pass;
        (layers > 0).then(|| pass_ms + HANDOVER_MS / f64::from(layers))
    }

    fn keeps_pauses(&self, found: &ChainForecast) -> bool {
        let pause_ms = found.round_ms * PAUSE_ROUNDS;
        self.longest_pause
            .is_none_or(|longest| pause_ms <= longest.as_secs_f64() * 1_000.0)
    }

    /// Whether the kinds beside a chain, which are behind it in order, have
    /// room for its largest stage.
    fn bears_a_loss(
        &self,
        kinds: &[&AcceleratorKind],
        chain: &[ChainStage<'_>],
        requests: f64,
    ) -> bool {
        let beside = kinds[chain.len()..].iter();
        let spare: u32 = beside
            .map(|kind| u32::from(self.share(kind, requests)))
            .sum();
        let largest = chain.iter().map(|stage| u32::from(stage.layers)).max();
        spare >= largest.unwrap_or(0)
    }

    /// The fastest chain over engines of some kinds, each with room for a
    /// number of requests. Sorts the kinds by their speed.
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
            let layers = self.share(kind, requests).min(missing);
            if layers == 0 {
                break;
            }
            missing -= layers;
            stages.push(ChainStage { kind, layers });
        }
        (missing == 0).then_some(stages)
    }
}

/// Those that something holds for, or all if it holds for none.
fn preferring(tries: Vec<RoomTry>, holds: impl Fn(&RoomTry) -> bool) -> Vec<RoomTry> {
    if !tries.iter().any(&holds) {
        return tries;
    }
    tries.into_iter().filter(|room| holds(room)).collect()
}
