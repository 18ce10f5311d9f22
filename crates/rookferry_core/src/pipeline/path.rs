//! A path over engines that runs every layer once and in order.

use std::net::SocketAddr;

use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;
use snafu::Snafu;

use crate::serving::ServerKey;

/// Most stages of a path, as engines accept them.
pub const MAX_STAGES: usize = 32;

/// A part of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathStage {
    /// The engine.
    pub engine: EngineId,
    /// The start of it that is meant.
    pub server: ServerKey,
    /// The layers it runs.
    pub layers: LayerRange,
}

impl PathStage {
    /// Where the engine listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr
    }
}

/// Why stages are no path.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PathFault {
    /// There is no stage.
    #[snafu(display("the path has no stage"))]
    Empty,
    /// There are too many.
    #[snafu(display("the path has {stages} stages, and engines accept {MAX_STAGES}"))]
    TooLong {
        /// How many there are.
        stages: usize,
    },
    /// A stage runs no layer.
    #[snafu(display("stage {stage} runs no layer"))]
    NoLayer {
        /// Index of the stage.
        stage: usize,
    },
    /// A stage doesn't go on where the one before it ended.
    #[snafu(display("stage {stage} starts at layer {found}, and layer {expected} is next"))]
    NotNext {
        /// Index of the stage.
        stage: usize,
        /// The layer that is due.
        expected: u16,
        /// The layer that it starts at.
        found: u16,
    },
    /// The last stage ends before or behind the last layer.
    #[snafu(display("the path ends at layer {found} of {layers}"))]
    Unfinished {
        /// Where it ends.
        found: u16,
        /// The model's layers.
        layers: u16,
    },
    /// An engine is named twice.
    #[snafu(display("engine {engine} is named twice"))]
    Repeated {
        /// The engine.
        engine: EngineId,
    },
}

/// Stages that cover a model's layers exactly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PipelinePath {
    stages: Vec<PathStage>,
}

impl PipelinePath {
    /// Checks stages against the model's number of layers.
    ///
    /// # Errors
    ///
    /// If a layer would be skipped, repeated or run out of order, or engines
    /// wouldn't accept the path.
    pub fn new(stages: Vec<PathStage>, layers: u16) -> Result<Self, PathFault> {
        if stages.is_empty() {
            return Err(PathFault::Empty);
        }
        if stages.len() > MAX_STAGES {
            return Err(PathFault::TooLong {
                stages: stages.len(),
            });
        }
        let mut expected = 0;
        for (stage, part) in stages.iter().enumerate() {
            if part.layers.is_empty() {
                return Err(PathFault::NoLayer { stage });
            }
            if part.layers.start != expected {
                let found = part.layers.start;
                return Err(PathFault::NotNext {
                    stage,
                    expected,
                    found,
                });
            }
            let is_repeated = stages[..stage]
                .iter()
                .any(|other| other.addr() == part.addr());
            if is_repeated {
                let engine = part.engine.clone();
                return Err(PathFault::Repeated { engine });
            }
            expected = part.layers.end;
        }
        if expected != layers {
            return Err(PathFault::Unfinished {
                found: expected,
                layers,
            });
        }
        Ok(Self { stages })
    }

    /// The stages in order; there is at least one.
    #[must_use]
    pub fn stages(&self) -> &[PathStage] {
        &self.stages
    }

    /// The stage that takes the request and answers it.
    #[must_use]
    pub fn first(&self) -> &PathStage {
        &self.stages[0]
    }

    /// Whether an address is among the stages.
    #[must_use]
    pub fn visits(&self, addr: SocketAddr) -> bool {
        self.stages.iter().any(|stage| stage.addr() == addr)
    }
}
