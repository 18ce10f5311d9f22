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
use super::Engine;
use super::LayerGraph;
use super::search::Search;
use crate::ChooserKind;
use crate::PolicyConfig;
use crate::Stage;

/// Cost of an engine that nothing is known about, so that it gets tried.
pub(super) const UNKNOWN_COST_US: u64 = 1_000;
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
