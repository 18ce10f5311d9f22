//! Server crashes under a request, and which of them count as evidence against it.
//!
//! Load pattern: several servers fail at the same moment, because of a rack, a switch or
//! a bad release. A run that spans many of them meets all of these crashes, is sent on to
//! servers that have failed as well, and runs of the same request by other callers meet
//! them too. A faulty request crashes servers one after the other, each by a run that
//! reaches it while it is alive. So a crash counts in addition to an earlier one only if
//! its server is known to have been alive after the earlier one, and, if the same run met
//! both, only if the run reached the server after it.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::millis::millis;
use crate::serving::ServerKey;

/// A random number that distinguishes the runs of a request.
pub type RunId = u32;

/// Points against a request if the server that answers it crashed before any of its answer
/// came, and if it crashed later or runs another stage.
pub(super) const BEGUN_POINTS: u32 = 2;
const WEAK_POINTS: u32 = 1;
/// If a request reached a server this long after an earlier crash, the server counts as
/// having been alive then, even without evidence: a failure at the same time as the
/// earlier one would be known by then.
const PRESUMED_ALIVE_AFTER: Duration = Duration::from_secs(1);

/// How far a run had got when its server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunProgress {
    /// Part of the answer had arrived.
    Answering,
    /// The server ran a later stage of the path; no part of the answer had arrived.
    Forwarded,
    /// The server had received the request; no part of the answer had arrived.
    Begun,
}

impl RunProgress {
    const fn points(self) -> u32 {
        match self {
            Self::Answering | Self::Forwarded => WEAK_POINTS,
            Self::Begun => BEGUN_POINTS,
        }
    }
}

/// A server's crash under a run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCrash {
    /// The server.
    pub server: ServerKey,
    /// The run.
    pub run: RunId,
    /// How far the run had got.
    pub progress: RunProgress,
    /// When the run reached the server.
    pub joined_at: Instant,
    /// When the server was last known to be alive.
    pub alive_at: Instant,
    /// When the run was found broken.
    pub at: Instant,
}

impl RunCrash {
    /// Whether it is independent of an earlier crash, unless the request is the cause of
    /// both.
    fn follows(&self, earlier: &Self) -> bool {
        let was_alive = self.alive_at >= earlier.at;
        let is_presumed_alive = self.joined_at >= earlier.at + PRESUMED_ALIVE_AFTER;
        let reached_after = self.run != earlier.run || self.joined_at >= earlier.at;
        reached_after && (was_alive || is_presumed_alive)
    }
}

/// A server's crash under a request, as reported to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashObservation {
    /// The server.
    pub server: ServerKey,
    /// The run.
    pub run: RunId,
    /// How far the run had got.
    pub progress: RunProgress,
    /// Time since the run was found broken, in milliseconds.
    pub age_ms: u64,
    /// How long the run had been on the server by then, in milliseconds.
    pub lasted_ms: u64,
    /// How long before that the server was last known to be alive, in milliseconds.
    pub silent_ms: u64,
}

impl CrashObservation {
    pub(super) fn new(crash: &RunCrash, now: Instant) -> Self {
        let before_crash = |at: Instant| millis(crash.at.saturating_duration_since(at));
        Self {
            server: crash.server,
            run: crash.run,
            progress: crash.progress,
            age_ms: millis(now.saturating_duration_since(crash.at)),
            lasted_ms: before_crash(crash.joined_at),
            silent_ms: before_crash(crash.alive_at),
        }
    }

    /// The crash in this instance's time; `None` if the clock doesn't reach back that
    /// far.
    pub(super) fn crash(&self, now: Instant) -> Option<RunCrash> {
        let at = now.checked_sub(Duration::from_millis(self.age_ms))?;
        let before_crash = |ms| at.checked_sub(Duration::from_millis(ms));
        Some(RunCrash {
            server: self.server,
            run: self.run,
            progress: self.progress,
            joined_at: before_crash(self.lasted_ms)?,
            alive_at: before_crash(self.silent_ms)?,
            at,
        })
    }
}

/// The evidence of sequential crashes against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Evidence {
    pub(super) points: u32,
    /// How many crashes there are.
    pub(super) crashes: usize,
}

/// The strongest evidence of sequential crashes; `crashes` must be in order of time.
pub(super) fn sequential_evidence(crashes: &[RunCrash]) -> Evidence {
    let mut best_up_to: Vec<Evidence> = Vec::with_capacity(crashes.len());
    for (index, crash) in crashes.iter().enumerate() {
        let earlier = crashes[..index].iter().zip(&best_up_to);
        let before = earlier
            .filter(|(earlier, _)| crash.follows(earlier))
            .map(|(_, evidence)| *evidence)
            .max()
            .unwrap_or_default();
        best_up_to.push(Evidence {
            points: before.points + crash.progress.points(),
            crashes: before.crashes + 1,
        });
    }
    best_up_to.into_iter().max().unwrap_or_default()
}
