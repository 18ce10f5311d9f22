//! Choice of the path with the lowest cost, and the cost model.
//!
//! Costs are milliseconds: the expected time per token of the path, plus
//! penalties that keep requests off full engines, engines that refuse work and
//! the link between failure domains. The penalties are weights, not expected
//! times.

use std::net::SocketAddr;

use rookferry_wire::DomainId;
use rookferry_wire::LayerRange;
use snafu::Snafu;

use super::PathError;
use super::PathStage;
use super::PipelineEngine;
use super::PipelinePath;
use super::incarnation_choice::IncarnationChoice;
use super::path_search::CrossingCost;
use super::path_search::EngineCost;
use super::path_search::PathSearch;
use super::path_search::Segment;

/// Time that one more stage adds per token: the transfer, and the wait for the
/// engine's current pass. Half a pass of a mid-sized stage at the published figures.
const STAGE_OVERHEAD_MS: f64 = 0.7;
/// Penalty for a path that goes from one failure domain to another between two layers.
/// A few dozen prompts per second saturate the link that all domains share, and then
/// every stream that crosses it stalls. So the penalty leaves crossings to domains
/// that lack layers; other requests wait for full engines or run wholly in another
/// domain.
const CROSSING_PENALTY_MS: f64 = 1_000.0;
/// Penalty for a first stage outside the caller's failure domain. Only the request and
/// single tokens cross the link then, not activations.
const ENTRY_CROSSING_PENALTY_MS: f64 = 8.0;
/// Both crossing penalties, as the search takes them.
const CROSSING_COST: CrossingCost = CrossingCost {
    first_ms: ENTRY_CROSSING_PENALTY_MS,
    later_ms: CROSSING_PENALTY_MS,
};
/// Increase of the expected step time at a full cache, as a fraction. Spreads requests
/// over engines that hold the same layers.
const LOAD_WEIGHT: f64 = 1.0;
/// Fraction of the cache in use above which an engine gets a penalty that grows up to
/// [`FULL_CACHE_PENALTY_MS`]. Above it, newer requests are delayed for lack of free
/// cache.
const CROWDED_FILL: f64 = 0.6;
/// Penalty for an engine with a full cache; less than a crossing.
const FULL_CACHE_PENALTY_MS: f64 = 20.0;
/// Additional penalty for an engine without enough free cache for the request, so
/// that it is used only if no other engine holds the layers.
const NO_FREE_CACHE_PENALTY_MS: f64 = 60.0;
/// Additional penalty for exceeding the cache by its whole capacity, in proportion: a
/// request waits there until the excess has completed. Distributes the excess over
/// engines that are all full.
const OVERFILL_PENALTY_MS: f64 = 800.0;

/// Penalty for an engine that is expected to refuse new work: more than any path
/// around it costs, since the try would be refused.
const REFUSING_PENALTY_MS: f64 = 4_000.0;

/// Finds and repairs paths over a set of engines.
#[derive(Debug)]
pub struct PathFinder<'a> {
    layers: u16,
    engines: Vec<&'a PipelineEngine>,
}

/// Reasons why a search yields no path.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PathSearchError {
    /// No usable engine holds some layer.
    #[snafu(display("no engines cover the layers"))]
    Uncovered,
    /// The result of the search isn't a valid path: a bug in the search, unless it
    /// has more stages than engines accept.
    #[snafu(display("the search result is not a valid path: {error}"))]
    Unusable {
        /// Why the result is invalid.
        error: PathError,
    },
}

/// The engine of a path with the least free cache relative to its capacity.
#[derive(Clone, Copy, Debug)]
pub struct FullestStage<'a> {
    /// The engine.
    pub engine: &'a PipelineEngine,
    /// Fraction of its cache capacity by which the request would exceed it; 0 or less
    /// if the request fits.
    pub overfill: f64,
}

impl<'a> PathFinder<'a> {
    /// Creates a finder for a model of `layers` layers over usable engines.
    pub fn new(layers: u16, engines: impl IntoIterator<Item = &'a PipelineEngine>) -> Self {
        Self {
            layers,
            engines: engines.into_iter().collect(),
        }
    }

    /// The cheapest path for a request of `tokens` tokens that is received in the
    /// domain `home`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engines don't cover the layers, or only with more
    /// stages than engines accept.
    pub fn find(&self, home: &DomainId, tokens: f64) -> Result<PipelinePath, PathSearchError> {
        let all_layers = LayerRange {
            start: 0,
            end: self.layers,
        };
        let stages = self.cheapest_stages(all_layers, home, tokens, &[]);
        let stages = stages.ok_or(PathSearchError::Uncovered)?;
        PipelinePath::new(stages, self.layers).map_err(|error| PathSearchError::Unusable { error })
    }

    /// Cost of a path's stages, by which paths are compared: the expected
    /// milliseconds per token, plus penalties such as those for crossings and for
    /// engines without free cache. `None` if a stage's engine isn't among those of
    /// the finder.
    #[must_use]
    pub fn cost_ms(&self, stages: &[PathStage], home: &DomainId, tokens: f64) -> Option<f64> {
        let mut cost_ms = 0.0;
        let mut domain = home;
        for stage in stages {
            let engine = self.engines.iter();
            let engine = engine
                .copied()
                .find(|engine| engine.server == stage.server)?;
            let EngineCost { stage_ms, layer_ms } = engine_cost(engine, tokens);
            cost_ms += stage_ms + f64::from(stage.layers.len()) * layer_ms;
            if engine.domain != *domain {
                cost_ms += CROSSING_COST.before(stage.layers.start);
            }
            domain = &engine.domain;
        }
        Some(cost_ms)
    }

    /// The engine of a path that would have the least free cache, relative to its
    /// capacity, with a request of `tokens` tokens. An engine caches a token only for
    /// the layers that it runs.
    #[must_use]
    pub fn fullest(&self, path: &PipelinePath, tokens: f64) -> Option<FullestStage<'a>> {
        let stages = path.stages().iter();
        let filled = stages.filter_map(|stage| {
            let engine = *self
                .engines
                .iter()
                .find(|engine| engine.server == stage.server)?;
            let run_fraction = f64::from(stage.layers.len()) / f64::from(engine.held.len().max(1));
            let overfill = engine.overfill(tokens * run_fraction);
            Some(FullestStage { engine, overfill })
        });
        filled.max_by(|left, right| left.overfill.total_cmp(&right.overfill))
    }

    /// Replaces the stages of a path for which `is_lost` returns true. The others stay
    /// unchanged, since their caches hold the request's tokens. `None` if no engines can
    /// replace the lost stages, or if the first stage, which can't be replaced, is lost.
    #[must_use]
    pub fn repair(
        &self,
        path: &PipelinePath,
        home: &DomainId,
        tokens: f64,
        is_lost: impl Fn(&PathStage) -> bool,
    ) -> Option<PipelinePath> {
        if is_lost(path.first()) {
            return None;
        }
        let remaining: Vec<&PathStage> = path
            .stages()
            .iter()
            .filter(|stage| !is_lost(stage))
            .collect();
        let mut used_addrs: Vec<SocketAddr> = remaining.iter().map(|stage| stage.addr()).collect();
        let mut stages = Vec::with_capacity(path.stages().len());
        let mut next = 0;
        for stage in remaining {
            if next < stage.layers.start {
                let gap = LayerRange {
                    start: next,
                    end: stage.layers.start,
                };
                let filled = self.cheapest_stages(gap, home, tokens, &used_addrs)?;
                used_addrs.extend(filled.iter().map(PathStage::addr));
                stages.extend(filled);
            }
            next = stage.layers.end;
            stages.push(stage.clone());
        }
        if next < self.layers {
            let gap = LayerRange {
                start: next,
                end: self.layers,
            };
            stages.extend(self.cheapest_stages(gap, home, tokens, &used_addrs)?);
        }
        PipelinePath::new(stages, self.layers).ok()
    }

    /// The cheapest stages that cover a range exactly and use none of the addresses in
    /// `excluded`.
    fn cheapest_stages(
        &self,
        range: LayerRange,
        home: &DomainId,
        tokens: f64,
        excluded: &[SocketAddr],
    ) -> Option<Vec<PathStage>> {
        let search = |choice: Option<&IncarnationChoice>| {
            let is_usable = |index: usize, engine: &PipelineEngine| {
                let addr = engine.addr();
                !excluded.contains(&addr) && choice.is_none_or(|choice| choice.allows(index, addr))
            };
            let cost = |engine: &PipelineEngine| engine_cost(engine, tokens);
            PathSearch::new(&self.engines, range, home, CROSSING_COST, is_usable, cost).cheapest()
        };
        let segments = search(None).or_else(|| {
            let first = IncarnationChoice::first(&self.engines);
            let mut choices = std::iter::successors(first, |choice| choice.clone().next());
            choices.find_map(|choice| search(Some(&choice)))
        })?;
        Some(self.stages(range.start, &segments))
    }

    fn stages(&self, start: u16, segments: &[Segment]) -> Vec<PathStage> {
        let mut next = start;
        let mut stages = Vec::with_capacity(segments.len());
        for segment in segments {
            let engine = self.engines[segment.engine];
            let layers = LayerRange {
                start: next,
                end: segment.end,
            };
            stages.push(PathStage {
                engine: engine.engine.clone(),
                server: engine.server,
                layers,
            });
            next = segment.end;
        }
        stages
    }
}

/// Cost of using an engine for a request of `tokens` tokens.
fn engine_cost(engine: &PipelineEngine, tokens: f64) -> EngineCost {
    let overfill_ms = match engine.overfill(tokens) {
        over if over > 0.0 => NO_FREE_CACHE_PENALTY_MS + over * OVERFILL_PENALTY_MS,
        _ => 0.0,
    };
    let cache_fill = cache_fill(engine);
    let crowding = ((cache_fill - CROWDED_FILL) / (1.0 - CROWDED_FILL)).max(0.0);
    let refusing_ms = if engine.is_refusing {
        REFUSING_PENALTY_MS
    } else {
        0.0
    };
    EngineCost {
        stage_ms: STAGE_OVERHEAD_MS
            + refusing_ms
            + overfill_ms
            + crowding * crowding * FULL_CACHE_PENALTY_MS,
        layer_ms: engine.layer_step_ms * (1.0 + LOAD_WEIGHT * cache_fill),
    }
}

/// Fraction of the cache in use, 1 at most.
fn cache_fill(engine: &PipelineEngine) -> f64 {
    if engine.cache_tokens <= 0.0 {
        return 1.0;
    }
    (engine.used_tokens / engine.cache_tokens).min(1.0)
}
