//! The guard of one stream on one stage.

use rookferry_wire::Attempt;
use rookferry_wire::AttemptResponse;
use rookferry_wire::Position;
use rookferry_wire::Refusal;
use rookferry_wire::Step;

/// The first attempt; it needs no opening.
const FIRST_ATTEMPT: Attempt = 1;

/// What a stage is to do with a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// Run the positions from this one; those before have run.
    Run {
        /// The first position to run.
        from: Position,
    },
    /// All positions have run; give what was recorded.
    Recorded,
    /// Run nothing.
    Refuse(Refusal),
}

/// Decides which steps of one stream a stage runs, and keeps their outputs.
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
    /// A gate that has seen nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            attempt: FIRST_ATTEMPT,
            outputs: Vec::new(),
        }
    }

    /// A gate for positions that were imported with their outputs.
    #[must_use]
    pub const fn imported(attempt: Attempt, outputs: Vec<u64>) -> Self {
        Self { attempt, outputs }
    }

    /// What to do with a step.
    #[must_use]
    pub fn check(&self, step: &Step) -> GateVerdict {
        let Ok(count) = Position::try_from(step.input.len()) else {
            return GateVerdict::Refuse(Refusal::Overloaded);
        };
        self.verdict(step.attempt, step.position, count)
    }

    /// What to do with `count` positions from `position` of an attempt.
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

    /// Keeps the outputs of the positions that ran.
    pub fn record(&mut self, outputs: &[u64]) {
        self.outputs.extend_from_slice(outputs);
    }

    /// The kept outputs of `count` positions from `position`.
    #[must_use]
    pub fn outputs(&self, position: Position, count: usize) -> &[u64] {
        let start = (position as usize).min(self.outputs.len());
        let end = start.saturating_add(count).min(self.outputs.len());
        &self.outputs[start..end]
    }

    /// Opens an attempt and cuts back to `keep` positions.
    ///
    /// The current attempt may be opened again: a driver whose answer was
    /// lost asks twice.
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

    /// The position it would run next.
    #[must_use]
    pub fn next(&self) -> Position {
        Position::try_from(self.outputs.len()).unwrap_or(Position::MAX)
    }
}
