//! Search for the path with the lowest expected time a token, and what taking
//! an engine into it counts for.

use std::net::SocketAddr;

use rookferry_wire::DomainId;
use rookferry_wire::LayerRange;
use snafu::Snafu;

use super::PathFault;
use super::PathStage;
use super::PipelineEngine;
use super::PipelinePath;
use super::cover::Cover;
use super::cover::CrossingCost;
use super::cover::EngineCost;
use super::cover::Part;
use super::start_choice::StartChoice;

/// Time of one more stage: handing on, and waiting for the engine's pass
/// under way. Half a pass of a mid-sized stage at the published figures.
const STAGE_MS: f64 = 0.7;
/// What a crossing between failure domains counts for. A few dozen prompts a second
/// fill the link that all share, and then all that cross it stand still. So
/// crossings are for domains that
/// lack layers: full engines are waited for, or another domain's whole path is
/// taken.
const CROSSING_MS: f64 = 1_000.0;
/// What it counts for to enter in another failure domain than the caller's:
/// only the request and single tokens go that way, not activations.
const ENTRY_CROSSING_MS: f64 = 8.0;
/// Both, as the search takes them.
const CROSSING: CrossingCost = CrossingCost {
    first_ms: ENTRY_CROSSING_MS,
    later_ms: CROSSING_MS,
};
/// How much a full cache lengthens the expected step, as a share; spreads
/// requests over engines that hold the same layers.
const LOAD_WEIGHT: f64 = 1.0;
/// The filled share of a cache from which an engine is avoided more and more,
/// up to [`FULL_MS`]; beyond it, newer requests are put off for room.
const CROWDED: f64 = 0.6;
/// What an engine counts for whose cache is full: less than a crossing.
const FULL_MS: f64 = 20.0;
/// Added for an engine without room for the request, so that it is taken
/// only where no other holds the layers.
const NO_ROOM_MS: f64 = 60.0;
/// Added for as much again as fits: a request waits there until what is over
/// has ended. Engines that are all full so share what is too much.
const OVERFULL_MS: f64 = 800.0;

/// What it counts for to take an engine that takes no new work, so far as is
/// known: more than any way round it, as the try would be refused.
const CLOSED_MS: f64 = 4_000.0;

/// Searches paths over a set of engines.
#[derive(Debug)]
pub struct PathFinder<'a> {
    layers: u16,
    engines: Vec<&'a PipelineEngine>,
}

/// Why a search has no path.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NoPath {
    /// A layer is held by no engine that may be used.
    #[snafu(display("no engines cover the layers"))]
    Uncovered,
    /// The way that was found is no path; a fault of the search, unless it
    /// takes more stages than engines accept.
    #[snafu(display("the way found is no path: {fault}"))]
    Unusable {
        /// What speaks against it.
        fault: PathFault,
    },
}

/// The engine of a path with the least room.
#[derive(Clone, Copy, Debug)]
pub struct FullestStage<'a> {
    /// The engine.
    pub engine: &'a PipelineEngine,
    /// The part of its room that the request goes beyond it; 0 or less if it
    /// fits.
    pub overfill: f64,
}

impl<'a> PathFinder<'a> {
    /// A search over the engines that may be used now.
    pub fn new(layers: u16, engines: impl IntoIterator<Item = &'a PipelineEngine>) -> Self {
        Self {
            layers,
            engines: engines.into_iter().collect(),
        }
    }

    /// The best path for a request of some tokens that enters in a domain.
    ///
    /// # Errors
    ///
    /// If the engines don't cover the layers, or only with more stages than
    /// engines accept.
    pub fn find(&self, home: &DomainId, tokens: f64) -> Result<PipelinePath, NoPath> {
        let whole = LayerRange {
            start: 0,
            end: self.layers,
        };
        let stages = self.cover(whole, home, tokens, &[]);
        let stages = stages.ok_or(NoPath::Uncovered)?;
        PipelinePath::new(stages, self.layers).map_err(|fault| NoPath::Unusable { fault })
    }

    /// What a path's stages count for, by which paths are compared: the expected
    /// time a token, and more for crossings and engines without room. `None` if
    /// they name an engine that may not be used.
    #[must_use]
    pub fn cost_ms(&self, stages: &[PathStage], home: &DomainId, tokens: f64) -> Option<f64> {
        let mut cost_ms = 0.0;
        let mut domain = home;
        for stage in stages {
            let engine = self.engines.iter();
            let engine = engine
                .copied()
                .find(|engine| engine.server == stage.server)?;
            let EngineCost { entry_ms, layer_ms } = cost(engine, tokens);
            cost_ms += entry_ms + f64::from(stage.layers.len()) * layer_ms;
            if engine.domain != *domain {
                cost_ms += CROSSING.before(stage.layers.start);
            }
            domain = &engine.domain;
        }
        Some(cost_ms)
    }

    /// The engine of a path that a request's tokens leave the least room on.
    /// An engine keeps a token's cache for the layers that it runs only.
    #[must_use]
    pub fn fullest(&self, path: &PipelinePath, tokens: f64) -> Option<FullestStage<'a>> {
        let stages = path.stages().iter();
        let filled = stages.filter_map(|stage| {
            let engine = *self
                .engines
                .iter()
                .find(|engine| engine.server == stage.server)?;
            let part = f64::from(stage.layers.len()) / f64::from(engine.held.len().max(1));
            let overfill = engine.overfill(tokens * part);
            Some(FullestStage { engine, overfill })
        });
        filled.max_by(|left, right| left.overfill.total_cmp(&right.overfill))
    }

    /// Replaces the parts of a path that `is_lost` names; the others stay as
    /// they are, so that they keep what they have cached. `None` if nothing
    /// can stand in, or the first stage is lost, which can't be replaced.
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
        let kept: Vec<&PathStage> = path
            .stages()
            .iter()
            .filter(|stage| !is_lost(stage))
            .collect();
        let mut taken: Vec<SocketAddr> = kept.iter().map(|stage| stage.addr()).collect();
        let mut stages = Vec::with_capacity(path.stages().len());
        let mut next = 0;
        for stage in kept {
            if next < stage.layers.start {
                let gap = LayerRange {
                    start: next,
                    end: stage.layers.start,
                };
                let filled = self.cover(gap, home, tokens, &taken)?;
                taken.extend(filled.iter().map(PathStage::addr));
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
            stages.extend(self.cover(gap, home, tokens, &taken)?);
        }
        PipelinePath::new(stages, self.layers).ok()
    }

    /// Stages that cover a range exactly, without some addresses.
    fn cover(
        &self,
        range: LayerRange,
        home: &DomainId,
        tokens: f64,
        without: &[SocketAddr],
    ) -> Option<Vec<PathStage>> {
        let search = |choice: Option<&StartChoice>| {
            let is_usable = |place: usize, engine: &PipelineEngine| {
                let addr = engine.addr();
                !without.contains(&addr) && choice.is_none_or(|choice| choice.admits(place, addr))
            };
            let cost = |engine: &PipelineEngine| cost(engine, tokens);
            Cover::new(&self.engines, range, home, CROSSING, is_usable, cost).cheapest()
        };
        let parts = search(None).or_else(|| {
            let first = StartChoice::first(&self.engines);
            let mut choices = std::iter::successors(first, |choice| choice.clone().next());
            choices.find_map(|choice| search(Some(&choice)))
        })?;
        Some(self.stages(range.start, &parts))
    }

    fn stages(&self, start: u16, parts: &[Part]) -> Vec<PathStage> {
        let mut next = start;
        let mut stages = Vec::with_capacity(parts.len());
        for part in parts {
            let engine = self.engines[part.engine];
            let layers = LayerRange {
                start: next,
                end: part.end,
            };
            stages.push(PathStage {
                engine: engine.engine.clone(),
                server: engine.server,
                layers,
            });
            next = part.end;
        }
        stages
    }
}

/// What it counts for to take an engine into a path.
fn cost(engine: &PipelineEngine, tokens: f64) -> EngineCost {
    let room_ms = match engine.overfill(tokens) {
        over if over > 0.0 => NO_ROOM_MS + over * OVERFULL_MS,
        _ => 0.0,
    };
    let fill = fill(engine);
    let crowding = ((fill - CROWDED) / (1.0 - CROWDED)).max(0.0);
    let closed_ms = if engine.is_closed { CLOSED_MS } else { 0.0 };
    EngineCost {
        entry_ms: STAGE_MS + closed_ms + room_ms + crowding * crowding * FULL_MS,
        layer_ms: engine.layer_step_ms * (1.0 + LOAD_WEIGHT * fill),
    }
}

fn fill(engine: &PipelineEngine) -> f64 {
    if engine.cache_tokens <= 0.0 {
        return 1.0;
    }
    (engine.used_tokens / engine.cache_tokens).min(1.0)
}
