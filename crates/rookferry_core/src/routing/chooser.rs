//! The choice of a chain of engines over the layer graph.
//!
//! One search serves all policies: the cheapest path from the first boundary
//! to the last. A policy says only what an engine costs. `ExpectedFinish` is
//! the product's; the others are baselines to measure it against.

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;

use super::Candidate;
use super::CandidateVerdict;
use super::Engine;
use super::EngineState;
use super::LayerGraph;
use crate::ChooserKind;
use crate::PolicyConfig;
use crate::Stage;

/// Cost of an engine that nothing is known about, so that it gets tried.
const UNKNOWN_COST_US: u64 = 1_000;
/// Spread of costs by chance, as one in this many, so that instances that see
/// the same reports don't all choose the same engine.
const JITTER_PART: u64 = 8;
/// Extra cost for each loss in a row, as a multiple of the cost.
const FAILURE_PENALTY: u64 = 4;
/// Losses in a row beyond which the penalty doesn't grow.
const MAX_COUNTED_FAILURES: u64 = 8;

/// What a chain is asked for.
#[derive(Clone, Copy, Debug)]
pub struct ChainRequest<'a> {
    /// The layers to cover.
    pub layers: LayerRange,
    /// Engines not to use.
    pub excluded: &'a [EngineId],
    /// Engines that likely hold the prompt's prefix.
    pub cached: &'a [EngineId],
    /// A number that differs from request to request.
    pub seed: u64,
    /// Whether engines at their limit may be used, as they may for a stream
    /// that is under way.
    pub beyond_limit: bool,
}

/// A chain and how it was found.
#[derive(Clone, Debug, Default)]
pub struct ChosenChain {
    /// The stages in order; empty if there is no chain.
    pub stages: Vec<Stage>,
    /// Each engine that was considered.
    pub candidates: Vec<Candidate>,
    /// Whether only full engines stood in the way.
    pub is_full: bool,
}

/// Chooses chains.
pub trait ChainChooser: Send + Sync {
    /// What the engine costs; lower is better.
    ///
    /// `pass_us` is what a typical chain takes for a token when it is idle.
    fn cost_us(&self, engine: &Engine, pass_us: u64, seed: u64) -> u64;

    /// The cheapest chain over the graph.
    fn choose(
        &self,
        policy: &PolicyConfig,
        graph: &LayerGraph,
        engines: &[Engine],
        request: &ChainRequest<'_>,
    ) -> ChosenChain {
        Search::new(policy, graph, engines, request)
            .run(|engine, pass_us, seed| self.cost_us(engine, pass_us, seed))
    }
}

/// The lowest expected time a token.
#[derive(Debug, Default)]
pub struct ExpectedFinish;

/// Any chain.
#[derive(Debug, Default)]
pub struct RandomChain;

/// Each engine in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: AtomicU64,
    last: std::sync::Mutex<BTreeMap<EngineId, u64>>,
}

/// The engines with the fewest own streams.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

/// The chooser that the configuration names.
#[must_use]
pub fn chooser_for(kind: ChooserKind) -> Box<dyn ChainChooser> {
    match kind {
        ChooserKind::ExpectedFinish => Box::new(ExpectedFinish),
        ChooserKind::Random => Box::new(RandomChain),
        ChooserKind::RoundRobin => Box::new(RoundRobin::default()),
        ChooserKind::LeastOutstanding => Box::new(LeastOutstanding),
    }
}

impl ChainChooser for ExpectedFinish {
    fn cost_us(&self, engine: &Engine, pass_us: u64, seed: u64) -> u64 {
        let stats = &engine.stats;
        let step_us = stats.step_us();
        let failures = u64::from(stats.failures()).min(MAX_COUNTED_FAILURES);
        let base_us = if step_us == 0 {
            UNKNOWN_COST_US
        } else {
            let elsewhere_us = pass_us.saturating_sub(step_us);
            stats.link_us()
                + response_us(
                    step_us,
                    engine.info.batch_slots,
                    stats.streams(),
                    elsewhere_us,
                )
        };
        let cost_us = base_us + base_us * failures * FAILURE_PENALTY;
        cost_us + hash(seed, &engine.info.engine) % (cost_us / JITTER_PART).max(1)
    }
}

/// Expected time of a step on an engine that `streams` others share.
///
/// Each of them comes back once a pass: it spends a time here and
/// `elsewhere_us` on other stages. The queue that a step finds is then the
/// share of the streams that is here at a time, and the time `r` solves
/// `r = s * (1 + streams * r / (elsewhere + r))`, with `s` the engine's time
/// for one of its slots. An idle engine gives its step time; a crowded one
/// gives `streams` steps less the time elsewhere.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the root of a quadratic with a negative constant is positive"
)]
fn response_us(step_us: u64, batch_slots: u32, streams: u32, elsewhere_us: u64) -> u64 {
    let slots = f64::from(batch_slots.max(1));
    let step = step_us as f64;
    let service = step / slots;
    let elsewhere = elsewhere_us as f64 + step - service;
    let linear = service * (1.0 + f64::from(streams)) - elsewhere;
    let root = (linear * linear + 4.0 * service * elsewhere).sqrt();
    let queued = f64::midpoint(linear, root);
    (step - service + queued) as u64
}

impl ChainChooser for RandomChain {
    fn cost_us(&self, engine: &Engine, _pass_us: u64, seed: u64) -> u64 {
        1 + hash(seed, &engine.info.engine) % 1_000_000
    }
}

impl ChainChooser for RoundRobin {
    fn cost_us(&self, engine: &Engine, _pass_us: u64, _seed: u64) -> u64 {
        let last = self
            .last
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        1 + last.get(&engine.info.engine).copied().unwrap_or(0)
    }

    fn choose(
        &self,
        policy: &PolicyConfig,
        graph: &LayerGraph,
        engines: &[Engine],
        request: &ChainRequest<'_>,
    ) -> ChosenChain {
        let search = Search::new(policy, graph, engines, request);
        let chosen = search.run(|engine, pass_us, seed| self.cost_us(engine, pass_us, seed));
        let turn = self.turn.fetch_add(1, Ordering::Relaxed) + 1;
        let mut last = self
            .last
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for stage in &chosen.stages {
            last.insert(stage.engine.clone(), turn);
        }
        chosen
    }
}

impl ChainChooser for LeastOutstanding {
    fn cost_us(&self, engine: &Engine, _pass_us: u64, seed: u64) -> u64 {
        let streams = u64::from(engine.stats.own_streams());
        (1 + streams) * 1_000 + hash(seed, &engine.info.engine) % 1_000
    }
}

fn hash(seed: u64, engine: &EngineId) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one((seed, engine))
}

/// Cheapest way to a boundary found so far.
#[derive(Clone, Copy)]
struct Reached {
    cost_us: u64,
    engine: usize,
    from: u16,
}

struct Search<'a> {
    policy: &'a PolicyConfig,
    graph: &'a LayerGraph,
    engines: &'a [Engine],
    request: &'a ChainRequest<'a>,
    pass_us: u64,
}

impl<'a> Search<'a> {
    fn new(
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

    fn run(&self, cost: impl Fn(&Engine, u64, u64) -> u64) -> ChosenChain {
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

    /// `Costlier` until the chain is known.
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

    /// Streams that keep an engine busy, times the overcommitment: as many as
    /// come by once a pass, one after the other, in each of its slots.
    ///
    /// Slow engines end up in chains with other slow ones, since the fast ones
    /// fill up first, so that a pass there is as long as their own kind makes
    /// it.
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

/// A cached prefix is worth a bounded share of the cost, never more.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "microseconds divided by a factor of at least 1"
)]
fn discount(cost_us: u64, bound: f64) -> u64 {
    (cost_us as f64 / (1.0 + bound)) as u64
}

/// What a typical chain takes for a token: the time a layer, averaged over
/// engines by their rates, since the faster ones get more of the streams.
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
