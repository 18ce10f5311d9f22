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
use super::chooser::UNMEASURED_COST_US;
use crate::PolicyConfig;
use crate::Stage;

/// The last engine of the cheapest chain to a boundary found so far.
#[derive(Clone, Copy)]
struct BestPath {
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
        let mut paths: BTreeMap<u16, BestPath> = BTreeMap::new();
        let mut chosen = ChosenChain::default();
        for boundary in start..end {
            let so_far_us = paths.get(&boundary).map_or(0, |path| path.cost_us);
            if boundary != start && !paths.contains_key(&boundary) {
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
                let path = BestPath {
                    cost_us: so_far_us + cost_us,
                    engine: *index,
                    from: boundary,
                };
                let best = paths.entry(layers_end).or_insert(path);
                if path.cost_us < best.cost_us {
                    *best = path;
                }
            }
        }
        self.rebuild_chain(&paths, &mut chosen);
        chosen
    }

    fn rebuild_chain(&self, paths: &BTreeMap<u16, BestPath>, chosen: &mut ChosenChain) {
        let mut boundary = self.request.layers.end;
        while boundary != self.request.layers.start {
            let Some(path) = paths.get(&boundary) else {
                chosen.stages.clear();
                return;
            };
            let engine = &self.engines[path.engine].info;
            chosen.stages.push(Stage {
                engine: engine.engine.clone(),
                layers: engine.layers,
            });
            boundary = path.from;
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
        if !self.request.ignores_limit && engine.stats.streams() >= self.limit(engine) {
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
        let step_us = step_us_or_default(engine);
        let layers = u64::from(engine.info.layers.len().max(1));
        let homogeneous_pass_us = step_us * u64::from(self.graph.layers()) / layers;
        let streams_per_slot = self.pass_us.max(homogeneous_pass_us) as f64 / step_us as f64;
        let slots = f64::from(engine.info.batch_slots.max(1));
        stream_limit(slots * streams_per_slot * self.policy.overcommit)
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
    let mut rate_sum = 0.0;
    let mut weighted_sum = 0.0;
    for index in graph.engines() {
        let engine = &engines[index];
        let step_us = step_us_or_default(engine);
        let slots = f64::from(engine.info.batch_slots.max(1));
        let rate = slots / step_us as f64;
        let layers = f64::from(engine.info.layers.len().max(1));
        rate_sum += rate;
        weighted_sum += rate * (step_us + engine.stats.link_us()) as f64 / layers;
    }
    if rate_sum <= 0.0 {
        return UNMEASURED_COST_US;
    }
    truncated_us(f64::from(graph.layers()) * weighted_sum / rate_sum)
}

fn step_us_or_default(engine: &Engine) -> u64 {
    match engine.stats.step_us() {
        0 => UNMEASURED_COST_US,
        known => known,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a mean of positive times"
)]
fn truncated_us(mean: f64) -> u64 {
    mean as u64
}
