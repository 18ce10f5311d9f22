//! Verdicts on the engines considered for a request, for decision records.

use rookferry_wire::EngineId;
use serde::Deserialize;
use serde::Serialize;

/// An engine or service instance that was considered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the engine or service instance.
    pub engine: EngineId,
    /// Expected time in microseconds: per token with the link, or of a service call.
    pub cost_us: u64,
    /// Whether it was chosen, or why not.
    pub verdict: CandidateVerdict,
}

/// Whether a candidate was chosen, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CandidateVerdict {
    /// Runs a stage, or the call.
    Chosen,
    /// Usable, but another was cheaper.
    Costlier,
    /// At its stream limit.
    Full,
    /// Leaving; gets no new work.
    Leaving,
    /// Doesn't answer.
    Lost,
    /// Excluded because it failed under this request earlier.
    Excluded,
}
