//! Search for the cheapest chain over a layer graph, for any cost function.
//!
//! Visits the layer boundaries in ascending order and stores the cheapest chain that
//! ends at each. An engine that is leaving, lost, excluded or at its stream limit gets
//! a verdict, but is part of no chain.

use std::collections::BTreeMap;

use rookferry_wire::LayerRange;

use super::Candidate;
use super::CandidateVerdict;
use super::ChainRequest;
use super::ChosenChain;
use super::Engine;
use super::EngineState;
use super::LayerGraph;
use super::chooser::UNKNOWN_COST_US;
use crate::PolicyConfig;
use crate::Stage;

/// The last engine of the cheapest chain to a boundary found so far.
#[derive(Clone, Copy)]
struct Reached {
    cost_us: u64,
    engine: usize,
    from: u16,
}

pub(super) struct Search<'a> {
    policy: &'a PolicyConfig,
    graph: &'a LayerGraph,
    engines: &'a [Engine],
    request: &'a ChainRequest<'a>,
    pass_us: u64,
}

impl<'a> Search<'a> {
    pub(super) fn new(
        policy: &'a PolicyConfig,
        graph: &'a LayerGraph,
        engines: &'a [Engine],
        request: &'a ChainRequest<'a>,
    ) -> Self {
        let pass_us = typical_pass_us(graph, engines);
        Self {
            policy,
            graph,
            engines,
            request,
            pass_us,
        }
    }

    pub(super) fn run(&self, cost: impl Fn(&Engine, u64, u64) -> u64) -> ChosenChain {
        let LayerRange { start, end } = self.request.layers;
        let mut reached: BTreeMap<u16, Reached> = BTreeMap::new();
        let mut chosen = ChosenChain::default();
        for boundary in start..end {
            let so_far_us = reached.get(&boundary).map_or(0, |way| way.cost_us);
            if boundary != start && !reached.contains_key(&boundary) {
                continue;
            }
            for index in self.graph.starting_at(boundary) {
                let engine = &self.engines[*index];
                let layers_end = engine.info.layers.end;
                if layers_end > end {
                    continue;
                }
                let verdict = self.verdict(engine);
                let cost_us =
                    self.discounted(engine, cost(engine, self.pass_us, self.request.seed));
                chosen.candidates.push(Candidate {
                    engine: engine.info.engine.clone(),
                    cost_us,
                    verdict,
                });
                chosen.is_full |= verdict == CandidateVerdict::Full;
                if verdict != CandidateVerdict::Costlier {
                    continue;
                }
                let way = Reached {
                    cost_us: so_far_us + cost_us,
                    engine: *index,
                    from: boundary,
                };
                let best = reached.entry(layers_end).or_insert(way);
                if way.cost_us < best.cost_us {
                    *best = way;
                }
            }
        }
        self.walk_back(&reached, &mut chosen);
        chosen
    }

    fn walk_back(&self, reached: &BTreeMap<u16, Reached>, chosen: &mut ChosenChain) {
        let mut boundary = self.request.layers.end;
        while boundary != self.request.layers.start {
            let Some(way) = reached.get(&boundary) else {
                chosen.stages.clear();
                return;
            };
            let engine = &self.engines[way.engine].info;
            chosen.stages.push(Stage {
                engine: engine.engine.clone(),
                layers: engine.layers,
            });
            boundary = way.from;
        }
        chosen.stages.reverse();
        chosen.is_full = false;
        for candidate in &mut chosen.candidates {
            if chosen
                .stages
                .iter()
                .any(|stage| stage.engine == candidate.engine)
            {
                candidate.verdict = CandidateVerdict::Chosen;
            }
        }
    }

    /// Verdict on an engine; a usable one is `Costlier` until the chain is known.
    fn verdict(&self, engine: &Engine) -> CandidateVerdict {
        match engine.state {
            EngineState::Leaving => return CandidateVerdict::Leaving,
            EngineState::Lost => return CandidateVerdict::Lost,
            EngineState::Live => {}
        }
        if self.request.excluded.contains(&engine.info.engine) {
            return CandidateVerdict::Excluded;
        }
        if !self.request.beyond_limit && engine.stats.streams() >= self.limit(engine) {
            return CandidateVerdict::Full;
        }
        CandidateVerdict::Costlier
    }

    /// Number of streams that keep all slots of an engine busy, times the configured
    /// overcommit factor.
    ///
    /// A stream needs the engine for one step per pass, so a slot serves pass time
    /// divided by step time streams. Fast engines fill up first, which leaves slow ones
    /// in chains with other slow ones; the pass time is therefore at least that of a
    /// chain of engines like this one.
    fn limit(&self, engine: &Engine) -> u32 {
        let step_us = known_step_us(engine);
        let layers = u64::from(engine.info.layers.len().max(1));
        let own_kind_us = step_us * u64::from(self.graph.layers()) / layers;
        let passing = self.pass_us.max(own_kind_us) as f64 / step_us as f64;
        let slots = f64::from(engine.info.batch_slots.max(1));
        stream_limit(slots * passing * self.policy.overcommit)
    }

    fn discounted(&self, engine: &Engine, cost_us: u64) -> u64 {
        if !self.request.cached.contains(&engine.info.engine) {
            return cost_us;
        }
        discount(cost_us, self.policy.affinity_bound)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a bounded product of small positive numbers"
)]
fn stream_limit(limit: f64) -> u32 {
    limit.ceil().max(1.0) as u32
}

/// Cost of an engine that caches the prefix; the discount is a bounded share of it.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "microseconds divided by a factor of at least 1"
)]
fn discount(cost_us: u64, bound: f64) -> u64 {
    (cost_us as f64 / (1.0 + bound)) as u64
}

/// Time that a typical idle chain takes for a token, in microseconds.
///
/// The time per layer is averaged over the engines, weighted by their step rates, since
/// faster engines get more of the streams.
fn typical_pass_us(graph: &LayerGraph, engines: &[Engine]) -> u64 {
    let mut weights = 0.0;
    let mut weighted = 0.0;
    for index in graph.engines() {
        let engine = &engines[index];
        let step_us = known_step_us(engine);
        let slots = f64::from(engine.info.batch_slots.max(1));
        let rate = slots / step_us as f64;
        let layers = f64::from(engine.info.layers.len().max(1));
        weights += rate;
        weighted += rate * (step_us + engine.stats.link_us()) as f64 / layers;
    }
    if weights <= 0.0 {
        return UNKNOWN_COST_US;
    }
    mean_us(f64::from(graph.layers()) * weighted / weights)
}

fn known_step_us(engine: &Engine) -> u64 {
    match engine.stats.step_us() {
        0 => UNKNOWN_COST_US,
        known => known,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a mean of positive times"
)]
fn mean_us(mean: f64) -> u64 {
    mean as u64
}
