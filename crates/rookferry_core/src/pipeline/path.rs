//! Validated sequence of stages that runs every layer once and in order.
//!
//! A [`PipelinePath`] can't be constructed from stages that skip, repeat or
//! reorder a layer, so a path that is sent to engines always runs the whole
//! model.

use std::net::SocketAddr;

use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;
use snafu::Snafu;

use crate::serving::ServerKey;

/// Maximum number of stages in a path that engines accept.
pub const MAX_STAGES: usize = 32;

/// One engine of a path, and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathStage {
    /// The engine's name.
    pub engine: EngineId,
    /// The engine's process (incarnation) and its address.
    pub server: ServerKey,
    /// The layers that it runs for the request.
    pub layers: LayerRange,
}

impl PathStage {
    /// The address that the engine listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr
    }
}

/// Reasons why stages don't form a valid path.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PathError {
    /// There are no stages.
    #[snafu(display("the path has no stages"))]
    Empty,
    /// There are more than [`MAX_STAGES`] stages.
    #[snafu(display("the path has {stages} stages, but engines accept at most {MAX_STAGES}"))]
    TooManyStages {
        /// Number of stages.
        stages: usize,
    },
    /// A stage's layer range is empty.
    #[snafu(display("the layer range of stage {stage} is empty"))]
    EmptyStage {
        /// Index of the stage.
        stage: usize,
    },
    /// A stage doesn't start where the previous one ends.
    #[snafu(display("stage {stage} starts at layer {found}, expected layer {expected}"))]
    NotContiguous {
        /// Index of the stage.
        stage: usize,
        /// The layer that the stage has to start at.
        expected: u16,
        /// The layer that the stage starts at.
        found: u16,
    },
    /// The last stage doesn't end at the model's last layer.
    #[snafu(display("the path ends at layer {found}, but the model has {layers} layers"))]
    WrongEnd {
        /// End of the last stage's range, exclusive.
        found: u16,
        /// The model's number of layers.
        layers: u16,
    },
    /// Two stages have the same address.
    #[snafu(display("the address of engine {engine} appears in two stages"))]
    DuplicateAddress {
        /// The engine of the second of them.
        engine: EngineId,
    },
}

/// Stages that cover a model's layers once and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PipelinePath {
    stages: Vec<PathStage>,
}

impl PipelinePath {
    /// Creates a path from stages that cover a model of `layers` layers.
    ///
    /// # Errors
    ///
    /// Returns an error if the stages skip, repeat or reorder a layer, or if engines
    /// don't accept the path: no stages, too many, or an address that comes twice.
    pub fn new(stages: Vec<PathStage>, layers: u16) -> Result<Self, PathError> {
        if stages.is_empty() {
            return Err(PathError::Empty);
        }
        if stages.len() > MAX_STAGES {
            return Err(PathError::TooManyStages {
                stages: stages.len(),
            });
        }
        let mut expected = 0;
        for (stage, path_stage) in stages.iter().enumerate() {
            if path_stage.layers.is_empty() {
                return Err(PathError::EmptyStage { stage });
            }
            if path_stage.layers.start != expected {
                let found = path_stage.layers.start;
                return Err(PathError::NotContiguous {
                    stage,
                    expected,
                    found,
                });
            }
            let is_duplicate = stages[..stage]
                .iter()
                .any(|other| other.addr() == path_stage.addr());
            if is_duplicate {
                let engine = path_stage.engine.clone();
                return Err(PathError::DuplicateAddress { engine });
            }
            expected = path_stage.layers.end;
        }
        if expected != layers {
            return Err(PathError::WrongEnd {
                found: expected,
                layers,
            });
        }
        Ok(Self { stages })
    }

    /// The stages in order, at least one.
    #[must_use]
    pub fn stages(&self) -> &[PathStage] {
        &self.stages
    }

    /// The stage that receives the request and sends the answer.
    #[must_use]
    pub fn first(&self) -> &PathStage {
        &self.stages[0]
    }

    /// Whether a stage has an address.
    #[must_use]
    pub fn visits(&self, addr: SocketAddr) -> bool {
        self.stages.iter().any(|stage| stage.addr() == addr)
    }
}
