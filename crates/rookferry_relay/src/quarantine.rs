//! Quarantine of requests, and of prompt segments, that crash servers.
//!
//! Broken runs are recorded with their server; once the server is known to have
//! exited, they count as crashes of the request, and of the prompt segments that its engine
//! was about to answer on. Records are exchanged with peers and the store. Requests are
//! checked against them before each send. The first event of an answer shows that the
//! prompt's segments are sound.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use rookferry_core::BrokenRun;
use rookferry_core::BrokenRunStatus;
use rookferry_core::Permission;
use rookferry_core::Quarantine;
use rookferry_core::QuarantineChange;
use rookferry_core::QuarantineStart;
use rookferry_core::RequestSignature;
use rookferry_core::RunCrash;
use rookferry_core::RunId;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;
use rookferry_core::SuspectObservation;
use rookferry_core::Suspicion;
use rookferry_net::clock;
use slog::info;
use slog::warn;
use tokio::sync::Notify;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::mutex::lock;
use crate::probe;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::CallerRequest;

/// How long a suspected request waits until it is known whether its last server
/// crashed. A probe within a site takes a millisecond or two, and 80 ms without an
/// answer.
const CRASH_CHECK_WAIT: Duration = Duration::from_millis(150);

/// How long an event may take from an engine, which may crash meanwhile.
const MAX_EVENT_TRANSIT: Duration = Duration::from_millis(50);

/// How a run reached a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// This instance sent the request there.
    Direct,
    /// The first engine of the path forwarded it.
    Forwarded,
}

/// A run that broke at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunBreak {
    pub(crate) server: ServerKey,
    pub(crate) run: RunId,
    pub(crate) reach: Reach,
    pub(crate) progress: RunProgress,
    /// When the run reached the server.
    pub(crate) joined_at: Instant,
}

/// The quarantine's records, with notifications for the task that writes the store.
#[derive(Debug, Default)]
pub(crate) struct RequestQuarantine {
    inner: Mutex<Quarantine>,
    /// Whether there is a record of any request.
    has_records: AtomicBool,
    /// Notified when this instance has a change that the store may lack.
    pub(crate) store_pending: Notify,
    /// Notified when a request is released, by this instance or another.
    pub(crate) released: Notify,
}

impl RequestQuarantine {
    /// Nothing is recorded. `spread` is a random number of this instance from 0 to 1.
    pub(crate) fn new(spread: f64) -> Self {
        Self {
            inner: Mutex::new(Quarantine::new().with_spread(spread)),
            ..Self::default()
        }
    }

    /// Locks the records.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.inner)
    }

    /// Changes the records and updates `has_records`.
    fn update<T>(&self, change: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut inner = self.lock();
        let outcome = change(&mut inner);
        self.has_records.store(!inner.is_empty(), Ordering::Release);
        outcome
    }

    /// The records to advertise next, at most `most`.
    pub(crate) fn next_advertised(&self, most: usize, now: Instant) -> Vec<SuspectObservation> {
        if !self.has_records() {
            return Vec::new();
        }
        self.update(|quarantine| quarantine.next_advertised(most, now))
    }

    fn has_records(&self) -> bool {
        self.has_records.load(Ordering::Acquire)
    }
}

impl Relay {
    /// Whether a request that was admitted is withheld from servers now, for itself or for one
    /// of its prompt segments.
    pub(crate) fn is_quarantined(&self, request: &CallerRequest) -> bool {
        if !self.quarantine.has_records() {
            return false;
        }
        let suspects = request.suspects();
        let permission = request.permission;
        let now = clock::now();
        let quarantine = self.quarantine.lock();
        let mut suspects = suspects.into_iter();
        !suspects.all(|(signature, kind)| quarantine.may_continue(signature, kind, permission, now))
    }

    /// Asks the records whether an arriving request may run.
    pub(crate) fn begin_run(&self, request: &CallerRequest) -> Result<Permission, Refusal> {
        if request.permission == Permission::Trial || !self.quarantine.has_records() {
            return Ok(request.permission);
        }
        let suspects = request.suspects();
        let now = clock::now();
        let mut quarantine = self.quarantine.lock();
        let mut granted = Permission::Free;
        for (signature, kind) in suspects {
            match quarantine.begin_run(signature, kind, now) {
                Permission::Free => {}
                Permission::Trial => granted = Permission::Trial,
                Permission::Denied { wait } => {
                    return Err(Refusal::Quarantined { signature, wait });
                }
            }
        }
        Ok(granted)
    }

    /// Whether servers crashed under a request, or under one of its prompt segments.
    fn is_request_suspected(&self, request: &CallerRequest) -> bool {
        if !self.quarantine.has_records() {
            return false;
        }
        let suspects = request.suspects();
        let now = clock::now();
        let quarantine = self.quarantine.lock();
        let mut suspects = suspects.into_iter();
        suspects.any(|(signature, _)| quarantine.suspicion(signature, now) != Suspicion::None)
    }

    /// Whether a request that has run may run again.
    ///
    /// A suspected request first waits until it is known whether its last server
    /// crashed. It could otherwise crash another server while that is checked.
    pub(crate) async fn may_run_again(&self, request: &CallerRequest) -> bool {
        if self.is_request_suspected(request) {
            let decided = self.states.broken_runs.wait_decided(request);
            // After the timeout the run counts as broken without a crash.
            let _ = tokio::time::timeout(CRASH_CHECK_WAIT, decided).await;
        }
        let is_quarantined = self.is_quarantined(request);
        if is_quarantined && let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "request: not sent again, it is quarantined"; "event" => "held_back",
                "request" => &request.attempt, "signature" => %request.signature(),
                "held_ms" => millis(request.elapsed()));
        }
        !is_quarantined
    }

    /// Records a run that broke at a server, and has the server probed unless its
    /// state is known or a probe is in flight.
    pub(crate) fn record_broken_run(self: &Arc<Self>, request: &CallerRequest, broken: RunBreak) {
        let server = broken.server;
        let run = BrokenRun {
            signature: request.signature(),
            segments: request
                .unproven_segments()
                .iter()
                .map(|segment| segment.signature)
                .collect(),
            is_forwarded: broken.reach == Reach::Forwarded,
            request: request.attempt.clone(),
            crash: self.crash_of(broken),
        };
        let noted = self.states.broken_runs.lock().record(run, clock::now());
        match noted {
            BrokenRunStatus::ServerExited(run) => self.record_crashes(&[run]),
            BrokenRunStatus::Unprobed => {
                let relay = self.clone();
                tokio::spawn(async move { probe::check_exited(&relay, server).await });
            }
            BrokenRunStatus::ProbePending => {}
        }
    }

    /// The crash that the run met if its server has exited. A server is known to have
    /// been alive when it last gave liveness evidence, less an event's transit time, or
    /// when it accepted the request.
    fn crash_of(&self, broken: RunBreak) -> RunCrash {
        let at = clock::now();
        let last_seen_age = self.states.liveness.last_seen(broken.server).age(at);
        let last_seen_at = at.checked_sub(last_seen_age);
        let last_seen_at = last_seen_at.and_then(|instant| instant.checked_sub(MAX_EVENT_TRANSIT));
        let alive_at = match broken.reach {
            // The server accepted the request then.
            Reach::Direct => last_seen_at.max(Some(broken.joined_at)),
            Reach::Forwarded => last_seen_at,
        };
        RunCrash {
            server: broken.server,
            run: broken.run,
            progress: broken.progress,
            joined_at: broken.joined_at,
            alive_at: alive_at.unwrap_or(self.started_at),
            at,
        }
    }

    /// Records that a server's process has exited, so that its broken runs are crashes.
    pub(crate) fn record_server_exit(&self, server: ServerKey) {
        let broken = &self.states.broken_runs;
        let crashed = broken.lock().server_exited(server, clock::now());
        self.record_crashes(&crashed);
        broken.notify_decided();
    }

    /// Records runs whose server crashed, and logs them and the resulting changes.
    fn record_crashes(&self, runs: &[BrokenRun]) {
        let now = clock::now();
        let ends: Vec<_> = runs.iter().flat_map(BrokenRun::crashes).collect();
        let changes = self
            .quarantine
            .update(|quarantine| quarantine.record_crashes(&ends, now));
        for run in runs {
            counter!("rookferry_runs_crashed_total").increment(1);
            self.log_run_crash(run);
        }
        for (signature, change) in changes {
            self.record_own_change(signature, change);
        }
    }

    fn log_run_crash(&self, run: &BrokenRun) {
        let Some(log) = self.events.line(Weight::Notable) else {
            return;
        };
        let segments: Vec<_> = run.segments.iter().map(ToString::to_string).collect();
        let (ends, sequential) = {
            let quarantine = self.quarantine.lock();
            let sequential = quarantine.sequential_crashes(run.signature);
            (quarantine.crashes(run.signature), sequential)
        };
        warn!(log, "health: a server crashed while it ran a request"; "event" => "run_crashed",
            "request" => &run.request, "signature" => %run.signature,
            "segments" => segments.join(","), "forwarded" => run.is_forwarded,
            "server" => %run.crash.server.addr, "servers_ended" => ends, "in_turn" => sequential,
            "answering" => run.crash.progress == RunProgress::Answering,
            "lasted_ms" => millis(run.crash.at.saturating_duration_since(run.crash.joined_at)),
            "silent_ms" => millis(run.crash.at.saturating_duration_since(run.crash.alive_at)));
    }

    /// Records that part of an answer has arrived, which releases or clears the segments of
    /// its prompt.
    pub(crate) fn record_first_event(&self, request: &CallerRequest) {
        if request.is_answered.swap(true, Ordering::Relaxed) {
            return;
        }
        let now = clock::now();
        for segment in &request.segments {
            let change = self
                .quarantine
                .update(|quarantine| quarantine.record_success(segment.signature, now));
            self.record_own_change(segment.signature, change);
        }
    }

    /// Records a successful run, which releases or clears the request.
    pub(crate) fn record_finished_run(&self, request: &CallerRequest) {
        self.record_first_event(request);
        let signature = request.signature();
        let now = clock::now();
        let change = self
            .quarantine
            .update(|quarantine| quarantine.record_success(signature, now));
        self.record_own_change(signature, change);
    }

    /// Merges records from a peer or the store, which `source` names.
    pub(crate) fn merge_suspects(
        &self,
        observations: &[SuspectObservation],
        source: &str,
        now: Instant,
    ) {
        for seen in observations {
            let change = self
                .quarantine
                .update(|quarantine| quarantine.merge(seen, now));
            self.record_change(seen.signature, change, source);
        }
    }

    /// Merges a request that the store has had as quarantined for `age`.
    pub(crate) fn merge_stored(&self, stored: QuarantineStart, age: Duration) {
        let now = clock::now();
        let change = self
            .quarantine
            .update(|quarantine| quarantine.merge_stored(stored, age, now));
        self.record_change(stored.signature, change, "store");
    }

    /// Logs a change found by this instance, and has it written to the store.
    fn record_own_change(&self, signature: RequestSignature, change: QuarantineChange) {
        self.record_change(signature, change, "own");
        if change != QuarantineChange::None {
            self.quarantine.store_pending.notify_one();
        }
    }

    /// Logs a quarantined or released request.
    fn record_change(&self, signature: RequestSignature, change: QuarantineChange, source: &str) {
        if change == QuarantineChange::None {
            return;
        }
        if change == QuarantineChange::Released {
            self.quarantine.released.notify_one();
        }
        let ends = self.quarantine.lock().crashes(signature);
        let Some(log) = self.events.line(Weight::Notable) else {
            return;
        };
        if change == QuarantineChange::Quarantined {
            warn!(log, "quarantine: a request is quarantined"; "event" => "request_held",
                "signature" => %signature, "servers_ended" => ends, "source" => source);
        } else {
            info!(log, "quarantine: a request may run again"; "event" => "request_released",
                "signature" => %signature, "servers_ended" => ends, "source" => source);
        }
    }
}
