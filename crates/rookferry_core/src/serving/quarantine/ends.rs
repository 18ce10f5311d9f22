//! Servers that ended under a request, and which of them count.
//!
//! Load pattern: several servers go at the same moment, by a rack, a switch or a bad
//! release. A run over many of them meets all of these ends, is sent on to some that
//! have gone as well, and the same words of other callers meet them, too. A request
//! at fault ends servers in turn, each by a run that comes to it while it is there. So
//! an end counts beside an earlier one only if its server is known to have been there
//! after that; and if it is the same run that met both, only if the run came there
//! after it.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::millis::millis;
use crate::serving::ServerKey;

/// A number that tells one run of a request from its others; drawn for each.
pub type RunId = u32;

/// What an end says against a request that had just begun on the server, and
/// against one whose answer had begun to come.
const BEGUN_POINTS: u32 = 2;
const ANSWERING_POINTS: u32 = 1;
/// From here on a server that the request came to after an earlier end has been there,
/// though it gave no sign: that one had gone as well would be known by then.
const KNOWN_AFTER: Duration = Duration::from_secs(1);

/// How far a run had come when its server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunProgress {
    /// Part of the answer had come.
    Answering,
    /// Nothing of the answer had come since the server got the request.
    Begun,
}

impl RunProgress {
    const fn points(self) -> u32 {
        match self {
            Self::Answering => ANSWERING_POINTS,
            Self::Begun => BEGUN_POINTS,
        }
    }
}

/// A server's end under a run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// The server.
    pub server: ServerKey,
    /// Tells the run from others of the request.
    pub run: RunId,
    /// How far the run had come.
    pub progress: RunProgress,
    /// When the run came to the server.
    pub joined_at: Instant,
    /// When the server was last known to be there.
    pub alive_at: Instant,
    /// When the run was found broken.
    pub at: Instant,
}

impl RunEnd {
    /// Whether it has another cause than an earlier end, if it isn't the request.
    fn follows(&self, earlier: &Self) -> bool {
        let was_there = self.alive_at >= earlier.at;
        let is_known = self.joined_at >= earlier.at + KNOWN_AFTER;
        let came_after = self.run != earlier.run || self.joined_at >= earlier.at;
        came_after && (was_there || is_known)
    }
}

/// A server's end under a request, as instances tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndSeen {
    /// The server.
    pub server: ServerKey,
    /// Tells the run from others of the request.
    pub run: RunId,
    /// How far the run had come.
    pub progress: RunProgress,
    /// How long ago the run was found broken, in milliseconds.
    pub age_ms: u64,
    /// How long it had been on the server by then, in milliseconds.
    pub lasted_ms: u64,
    /// How long the server had given no sign by then, in milliseconds.
    pub silent_ms: u64,
}

impl EndSeen {
    pub(super) fn new(end: &RunEnd, now: Instant) -> Self {
        let before_end = |at: Instant| millis(end.at.saturating_duration_since(at));
        Self {
            server: end.server,
            run: end.run,
            progress: end.progress,
            age_ms: millis(now.saturating_duration_since(end.at)),
            lasted_ms: before_end(end.joined_at),
            silent_ms: before_end(end.alive_at),
        }
    }

    /// The end by this instance's clock; none if it is from before that.
    pub(super) fn end(&self, now: Instant) -> Option<RunEnd> {
        let at = now.checked_sub(Duration::from_millis(self.age_ms))?;
        let before_end = |ms| at.checked_sub(Duration::from_millis(ms));
        Some(RunEnd {
            server: self.server,
            run: self.run,
            progress: self.progress,
            joined_at: before_end(self.lasted_ms)?,
            alive_at: before_end(self.silent_ms)?,
            at,
        })
    }
}

/// What ends in turn say against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Evidence {
    pub(super) points: u32,
    /// How many they are.
    pub(super) ends: usize,
}

/// Of ends in the order of their times, those in turn that say the most.
pub(super) fn in_turn(ends: &[RunEnd]) -> Evidence {
    let mut up_to: Vec<Evidence> = Vec::with_capacity(ends.len());
    for (index, end) in ends.iter().enumerate() {
        let earlier = ends[..index].iter().zip(&up_to);
        let before = earlier
            .filter(|(earlier, _)| end.follows(earlier))
            .map(|(_, evidence)| *evidence)
            .max()
            .unwrap_or_default();
        up_to.push(Evidence {
            points: before.points + end.progress.points(),
            ends: before.ends + 1,
        });
    }
    up_to.into_iter().max().unwrap_or_default()
}
