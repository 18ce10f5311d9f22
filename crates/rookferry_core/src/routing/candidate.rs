//! Why each engine was chosen or not, for the record of a decision.

use rookferry_wire::EngineId;
use serde::Deserialize;
use serde::Serialize;

/// An engine that was considered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// Expected time a token, link included.
    pub cost_us: u64,
    /// Chosen, or why not.
    pub verdict: CandidateVerdict,
}

/// What was decided about a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CandidateVerdict {
    /// It runs a stage.
    Chosen,
    /// Another chain was expected to finish earlier.
    Costlier,
    /// Its streams are at the limit.
    Full,
    /// It leaves.
    Leaving,
    /// It doesn't answer.
    Lost,
    /// This request has lost it before.
    Excluded,
}
