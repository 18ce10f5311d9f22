//! The gate of one stream on one stage: which steps the engine runs, returns from its
//! records or refuses.

use rookferry_wire::Attempt;
use rookferry_wire::AttemptResponse;
use rookferry_wire::Position;
use rookferry_wire::Refusal;
use rookferry_wire::Step;

/// Number of the first attempt, which needs no opening.
const FIRST_ATTEMPT: Attempt = 1;

/// How a stage handles a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// Run the positions from `from`; those before it have run.
    Run {
        /// The first position to run.
        from: Position,
    },
    /// Return the recorded outputs; all positions have run.
    Recorded,
    /// Refuse the step; run nothing.
    Refuse(Refusal),
}

/// Decides which steps of one stream a stage runs, and records their outputs.
///
/// ```
/// use rookferry_core::GateVerdict;
/// use rookferry_core::StageGate;
///
/// let mut gate = StageGate::new();
/// assert_eq!(gate.verdict(1, 0, 2), GateVerdict::Run { from: 0 });
/// gate.record(&[7, 8]);
/// assert_eq!(gate.verdict(1, 1, 1), GateVerdict::Recorded);
/// assert_eq!(gate.verdict(1, 1, 2), GateVerdict::Run { from: 2 });
/// ```
#[derive(Clone, Debug)]
pub struct StageGate {
    attempt: Attempt,
    outputs: Vec<u64>,
}

impl Default for StageGate {
    fn default() -> Self {
        Self::new()
    }
}

impl StageGate {
    /// A gate that has run no position.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            attempt: FIRST_ATTEMPT,
            outputs: Vec::new(),
        }
    }

    /// A gate for positions that were imported from another engine with their outputs.
    #[must_use]
    pub const fn imported(attempt: Attempt, outputs: Vec<u64>) -> Self {
        Self { attempt, outputs }
    }

    /// How to handle a step.
    #[must_use]
    pub fn check(&self, step: &Step) -> GateVerdict {
        let Ok(count) = Position::try_from(step.input.len()) else {
            return GateVerdict::Refuse(Refusal::Overloaded);
        };
        self.verdict(step.attempt, step.position, count)
    }

    /// How to handle `count` positions from `position` in an attempt.
    #[must_use]
    pub fn verdict(&self, attempt: Attempt, position: Position, count: u32) -> GateVerdict {
        if attempt < self.attempt {
            return GateVerdict::Refuse(Refusal::StaleAttempt {
                newest: self.attempt,
            });
        }
        if attempt > self.attempt {
            return GateVerdict::Refuse(Refusal::UnopenedAttempt);
        }
        let next = self.next();
        if position > next {
            return GateVerdict::Refuse(Refusal::Gap { next });
        }
        if position.saturating_add(count) <= next {
            return GateVerdict::Recorded;
        }
        GateVerdict::Run { from: next }
    }

    /// Records the outputs of positions that ran, one per position.
    pub fn record(&mut self, outputs: &[u64]) {
        self.outputs.extend_from_slice(outputs);
    }

    /// Recorded outputs of up to `count` positions from `position`.
    #[must_use]
    pub fn outputs(&self, position: Position, count: usize) -> &[u64] {
        let start = (position as usize).min(self.outputs.len());
        let end = start.saturating_add(count).min(self.outputs.len());
        &self.outputs[start..end]
    }

    /// Opens an attempt and truncates the records to `keep` positions.
    ///
    /// The current attempt may be opened again, since a driver that lost the answer
    /// repeats the request. An older attempt is refused.
    pub fn open(&mut self, attempt: Attempt, keep: Position) -> AttemptResponse {
        if attempt < self.attempt {
            return AttemptResponse::Refused {
                newest: self.attempt,
            };
        }
        self.attempt = attempt;
        self.outputs.truncate(keep as usize);
        AttemptResponse::Opened { kept: self.next() }
    }

    /// The newest attempt seen.
    #[must_use]
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// The position to run next, which is the number of recorded ones.
    #[must_use]
    pub fn next(&self) -> Position {
        Position::try_from(self.outputs.len()).unwrap_or(Position::MAX)
    }
}
