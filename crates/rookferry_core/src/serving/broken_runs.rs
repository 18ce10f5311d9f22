//! Broken runs whose server isn't known yet to have exited.
//!
//! A connection that breaks in the middle of a run isn't proof of a crash: it may have
//! been reset on the network, or the server may have aborted one answer. Only a server
//! that refuses connections, or answers as another start, has exited, and any of the runs
//! that it had may be the cause. So a broken run waits here until a probe of its server
//! decides; then the caller records it as a crash or drops it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::RequestSignature;
use super::RunCrash;
use super::RunProgress;
use super::ServerKey;

/// How long a broken run waits for a probe of its server: a probe takes up to 0.6 s, and
/// a second one follows 0.3 s later.
const UNDECIDED_TTL: Duration = Duration::from_secs(2);
/// How long the exit of a server is remembered. A stalled stream finds its run broken
/// within seconds.
const EXITED_TTL: Duration = Duration::from_mins(1);
/// Most broken runs that wait; ten engines have about that many requests in flight.
const MAX_UNDECIDED: usize = 2_048;

/// A run that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRun {
    /// The request's signature.
    pub signature: RequestSignature,
    /// Signatures of the prompt segments that may be the cause as well; none after part of
    /// the answer.
    pub segments: Vec<RequestSignature>,
    /// Whether the server runs a later stage of the path.
    pub is_forwarded: bool,
    /// The request's id, for logs.
    pub request: String,
    /// The crash to record if the server has exited.
    pub crash: RunCrash,
}

impl BrokenRun {
    /// The crash of the run's server, for the request and for each of the segments.
    pub fn crashes(&self) -> impl Iterator<Item = (RequestSignature, RunCrash)> {
        let mut of_segment = self.crash;
        if self.is_forwarded {
            of_segment.progress = RunProgress::Forwarded;
        }
        let segments = self.segments.iter();
        let segments = segments.map(move |segment| (*segment, of_segment));
        std::iter::once((self.signature, self.crash)).chain(segments)
    }

    fn concerns(&self, signature: RequestSignature) -> bool {
        self.signature == signature || self.segments.contains(&signature)
    }
}

/// What is known of the server when a run breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BrokenRunStatus {
    /// The server has exited; the run isn't stored.
    ServerExited(BrokenRun),
    /// Unknown; the caller is to probe the server.
    Unprobed,
    /// Unknown; an earlier broken run has caused a probe already.
    ProbePending,
}

/// Broken runs that are undecided, and servers that exited lately.
#[derive(Clone, Debug, Default)]
pub struct BrokenRuns {
    undecided: Vec<(BrokenRun, Instant)>,
    /// When servers exited, for runs that are found broken later.
    exited: HashMap<ServerKey, Instant>,
}

impl BrokenRuns {
    /// No broken runs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a broken run and returns what is known of its server.
    pub fn record(&mut self, run: BrokenRun, now: Instant) -> BrokenRunStatus {
        self.expire(now);
        if self.exited.contains_key(&run.crash.server) {
            return BrokenRunStatus::ServerExited(run);
        }
        let mut undecided = self.undecided.iter();
        let is_probed = undecided.any(|(known, _)| known.crash.server == run.crash.server);
        if self.undecided.len() < MAX_UNDECIDED {
            self.undecided.push((run, now));
        }
        if is_probed {
            BrokenRunStatus::ProbePending
        } else {
            BrokenRunStatus::Unprobed
        }
    }

    /// Whether a server is known to have exited lately.
    #[must_use]
    pub fn has_exited(&self, server: ServerKey) -> bool {
        self.exited.contains_key(&server)
    }

    /// Records that a server has exited, and removes and returns its broken runs.
    pub fn server_exited(&mut self, server: ServerKey, now: Instant) -> Vec<BrokenRun> {
        self.expire(now);
        self.exited.insert(server, now);
        self.take(server)
    }

    /// Removes and returns the broken runs of a server that is still running: they have
    /// another cause.
    pub fn server_answered(&mut self, server: ServerKey) -> Vec<BrokenRun> {
        self.take(server)
    }

    /// Whether a run of the request, or with the segment, waits for a probe of its server.
    #[must_use]
    pub fn is_undecided(&self, signature: RequestSignature) -> bool {
        let mut undecided = self.undecided.iter();
        undecided.any(|(run, _)| run.concerns(signature))
    }

    fn expire(&mut self, now: Instant) {
        self.undecided
            .retain(|(_, at)| now.saturating_duration_since(*at) < UNDECIDED_TTL);
        self.exited
            .retain(|_, at| now.saturating_duration_since(*at) < EXITED_TTL);
    }

    fn take(&mut self, server: ServerKey) -> Vec<BrokenRun> {
        let taken = self
            .undecided
            .extract_if(.., |(run, _)| run.crash.server == server);
        taken.map(|(run, _)| run).collect()
    }
}
