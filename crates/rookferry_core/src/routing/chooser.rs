//! Policies that choose a chain of engines over the layer graph.
//!
//! All policies share one search for the cheapest path from the first layer boundary to
//! the last; a policy only sets the cost of each engine. `ExpectedFinish` is the policy
//! for production; the others are baselines to compare it with.

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

/// Assumed cost and step time of an engine without measurements, in microseconds, so
/// that it gets tried.
pub(super) const UNMEASURED_COST_US: u64 = 1_000;
/// The cost divided by this is the range of its random part, which keeps instances with
/// the same load reports from all choosing the same engine.
const JITTER_DIVISOR: u64 = 8;
/// Extra cost per consecutive failure, as a multiple of the cost.
const FAILURE_PENALTY_FACTOR: u64 = 4;
/// Consecutive failures beyond which the penalty doesn't grow.
const MAX_COUNTED_FAILURES: u64 = 8;

/// Input of the search for a chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainRequest<'a> {
    /// Layers to cover.
    pub layers: LayerRange,
    /// Engines that must not be used.
    pub excluded: &'a [EngineId],
    /// Engines that probably cache the prompt's prefix.
    pub cached: &'a [EngineId],
    /// Seed of the random part of costs; differs between requests.
    pub seed: u64,
    /// Whether engines at their stream limit may be used, as for a stream that is
    /// already in flight.
    pub ignores_limit: bool,
}

/// A chain and the engines considered for it.
#[derive(Clone, Debug, Default)]
pub struct ChosenChain {
    /// Stages in order of layers; empty if there is no chain.
    pub stages: Vec<Stage>,
    /// Engines considered, each with cost and verdict.
    pub candidates: Vec<Candidate>,
    /// Whether no chain was found and at least one engine was at its stream limit.
    pub is_full: bool,
}

/// A policy that chooses a chain of engines.
pub trait ChainChooser: Send + Sync {
    /// Cost of an engine; the chain with the lowest sum wins.
    ///
    /// `pass_us` is the time that a typical idle chain takes for a token.
    fn cost_us(&self, engine: &Engine, pass_us: u64, seed: u64) -> u64;

    /// The cheapest chain over the graph; without stages if there is none.
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

/// Prefers the lowest expected time per token.
#[derive(Debug, Default)]
pub struct ExpectedFinish;

/// Assigns random costs.
#[derive(Debug, Default)]
pub struct RandomChain;

/// Prefers the engines that were chosen least recently.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: AtomicU64,
    last_turns: std::sync::Mutex<BTreeMap<EngineId, u64>>,
}

/// Prefers the engines with the fewest streams of this instance.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

/// The chooser of a configured kind.
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
        let consecutive_failures =
            u64::from(stats.consecutive_failures()).min(MAX_COUNTED_FAILURES);
        let base_us = if step_us == 0 {
            UNMEASURED_COST_US
        } else {
            let other_stages_us = pass_us.saturating_sub(step_us);
            stats.link_us()
                + response_us(
                    step_us,
                    engine.info.batch_slots,
                    stats.streams(),
                    other_stages_us,
                )
        };
        let cost_us = base_us + base_us * consecutive_failures * FAILURE_PENALTY_FACTOR;
        cost_us + hash(seed, &engine.info.engine) % (cost_us / JITTER_DIVISOR).max(1)
    }
}

/// Expected response time of a step on an engine shared with `streams` other streams,
/// in microseconds.
///
/// Each of them returns once per pass, after `other_stages_us` on other stages (a closed
/// queueing network). The expected queue is the share of the streams that are at this
/// engine, so the response time `r` solves
/// `r = s * (1 + streams * r / (other_stages + r))`, where `s` (the service time) is the
/// step time divided by the number of slots. An idle engine yields its step time; a
/// saturated one yields `streams` service times less the time on other stages.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the root of a quadratic with a negative constant is positive"
)]
fn response_us(step_us: u64, batch_slots: u32, streams: u32, other_stages_us: u64) -> u64 {
    let slots = f64::from(batch_slots.max(1));
    let step = step_us as f64;
    let service = step / slots;
    let other_stages = other_stages_us as f64 + step - service;
    let linear = service * (1.0 + f64::from(streams)) - other_stages;
    let root = (linear * linear + 4.0 * service * other_stages).sqrt();
    let response = f64::midpoint(linear, root);
    (step - service + response) as u64
}

impl ChainChooser for RandomChain {
    fn cost_us(&self, engine: &Engine, _pass_us: u64, seed: u64) -> u64 {
        1 + hash(seed, &engine.info.engine) % 1_000_000
    }
}

impl ChainChooser for RoundRobin {
    fn cost_us(&self, engine: &Engine, _pass_us: u64, _seed: u64) -> u64 {
        let last_turns = self
            .last_turns
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        1 + last_turns.get(&engine.info.engine).copied().unwrap_or(0)
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
        let mut last_turns = self
            .last_turns
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for stage in &chosen.stages {
            last_turns.insert(stage.engine.clone(), turn);
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
