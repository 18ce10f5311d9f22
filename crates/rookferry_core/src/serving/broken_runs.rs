//! Runs that broke, until it is known whether their server has ended.
//!
//! A connection that breaks in the middle of a run says little: it may have
//! been reset on its way, or the server may have broken off one answer. Only a
//! server that refuses connections, or answers as another start, has ended, and
//! each run that it had may be why.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::RequestSignature;
use super::RunEnd;
use super::ServerKey;

/// How long a broken run waits for word of its server: a probe takes up to
/// 0.6 s, and a second one follows 0.3 s later.
const UNDECIDED_KEPT: Duration = Duration::from_secs(2);
/// How long it is kept that a server has ended; a stream that stands still
/// finds its run broken within seconds.
const ENDED_KEPT: Duration = Duration::from_mins(1);
/// Most broken runs that wait: what ten engines have under way.
const MAX_UNDECIDED: usize = 2_048;

/// A run that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRun {
    /// The request's signature.
    pub signature: RequestSignature,
    /// Its id, for logs.
    pub request: String,
    /// The end that it met, if the server has ended.
    pub end: RunEnd,
}

/// What is known when a run breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BrokenRunNoted {
    /// Its server has ended.
    Ended(BrokenRun),
    /// Nobody knows yet, and nobody asks.
    Unasked,
    /// Nobody knows yet; it is being asked.
    Asked,
}

/// The runs that broke lately.
#[derive(Clone, Debug, Default)]
pub struct BrokenRuns {
    undecided: Vec<(BrokenRun, Instant)>,
    /// Servers that have ended, for runs that are found broken later.
    ended: HashMap<ServerKey, Instant>,
}

impl BrokenRuns {
    /// None.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A run broke.
    pub fn note(&mut self, run: BrokenRun, now: Instant) -> BrokenRunNoted {
        self.expire(now);
        if self.ended.contains_key(&run.end.server) {
            return BrokenRunNoted::Ended(run);
        }
        let mut undecided = self.undecided.iter();
        let is_asked = undecided.any(|(known, _)| known.end.server == run.end.server);
        if self.undecided.len() < MAX_UNDECIDED {
            self.undecided.push((run, now));
        }
        if is_asked {
            BrokenRunNoted::Asked
        } else {
            BrokenRunNoted::Unasked
        }
    }

    /// A server has ended; gives back the runs that broke with it.
    pub fn server_ended(&mut self, server: ServerKey, now: Instant) -> Vec<BrokenRun> {
        self.expire(now);
        self.ended.insert(server, now);
        self.take(server)
    }

    /// A server answers: its broken runs, which are given back, have another
    /// cause.
    pub fn server_answered(&mut self, server: ServerKey) -> Vec<BrokenRun> {
        self.take(server)
    }

    /// Whether it isn't known yet of a server at which a request's run broke.
    #[must_use]
    pub fn is_undecided(&self, signature: RequestSignature) -> bool {
        let mut undecided = self.undecided.iter();
        undecided.any(|(run, _)| run.signature == signature)
    }

    fn expire(&mut self, now: Instant) {
        self.undecided
            .retain(|(_, at)| now.saturating_duration_since(*at) < UNDECIDED_KEPT);
        self.ended
            .retain(|_, at| now.saturating_duration_since(*at) < ENDED_KEPT);
    }

    fn take(&mut self, server: ServerKey) -> Vec<BrokenRun> {
        let taken = self
            .undecided
            .extract_if(.., |(run, _)| run.end.server == server);
        taken.map(|(run, _)| run).collect()
    }
}
