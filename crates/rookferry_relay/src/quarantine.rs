//! Requests under which servers ended: what is known of them here, and whether
//! one may be sent.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use rookferry_core::BrokenRun;
use rookferry_core::BrokenRunNoted;
use rookferry_core::Quarantine;
use rookferry_core::QuarantineChange;
use rookferry_core::RequestSignature;
use rookferry_core::RunEnd;
use rookferry_core::RunId;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;
use rookferry_core::SuspectSeen;
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

/// How long a request under which servers ended before waits for word of the
/// last: a probe within a site takes a millisecond or two, and one that isn't
/// answered 80.
const VERDICT_WAIT: Duration = Duration::from_millis(150);

/// How long an event may be on its way from an engine that has ended since.
const EVENT_ON_ITS_WAY: Duration = Duration::from_millis(50);

/// How a run came to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// This instance sent the request there.
    Direct,
    /// The first engine of its path passed it on.
    ByAnother,
}

/// Where a run broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenAt {
    pub(crate) server: ServerKey,
    pub(crate) run: RunId,
    pub(crate) reach: Reach,
    pub(crate) progress: RunProgress,
    /// When the run came there.
    pub(crate) joined_at: Instant,
}

/// What is known of such requests.
#[derive(Debug, Default)]
pub(crate) struct RequestQuarantine {
    inner: Mutex<Quarantine>,
    /// Whether anything speaks against any request.
    has_records: AtomicBool,
    /// This instance found what the store may lack.
    pub(crate) to_store: Notify,
    /// A request was released, here or by another's word.
    pub(crate) released: Notify,
}

impl RequestQuarantine {
    /// What is kept, to be read or changed.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.inner)
    }

    /// Changes what is kept.
    fn update<T>(&self, change: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut inner = self.lock();
        let outcome = change(&mut inner);
        self.has_records.store(!inner.is_empty(), Ordering::Release);
        outcome
    }

    /// What others are to be told, at most `most`.
    pub(crate) fn next_told(&self, most: usize, now: Instant) -> Vec<SuspectSeen> {
        if !self.has_records() {
            return Vec::new();
        }
        self.update(|quarantine| quarantine.next_told(most, now))
    }

    fn has_records(&self) -> bool {
        self.has_records.load(Ordering::Acquire)
    }
}

impl Relay {
    /// What speaks against a request.
    fn suspicion(&self, request: &CallerRequest) -> Suspicion {
        if !self.quarantine.has_records() {
            return Suspicion::None;
        }
        let signature = request.signature();
        self.quarantine.lock().suspicion(signature, clock::now())
    }

    /// Whether a request is kept from servers.
    pub(crate) fn is_held(&self, request: &CallerRequest) -> bool {
        matches!(self.suspicion(request), Suspicion::Held { .. })
    }

    /// The refusal of a request that is kept from servers.
    pub(crate) fn refusal_if_held(&self, request: &CallerRequest) -> Option<Refusal> {
        let Suspicion::Held { left } = self.suspicion(request) else {
            return None;
        };
        Some(Refusal::Quarantined {
            signature: request.signature(),
            wait: left,
        })
    }

    /// Whether a request that has run may run once more. One under which
    /// servers ended before waits until it is known of the last whether it has,
    /// so that it isn't sent on in the moment in which it is found out.
    pub(crate) async fn may_run_again(&self, request: &CallerRequest) -> bool {
        if let Suspicion::Suspected { .. } = self.suspicion(request) {
            let decided = self.states.broken_runs.decided(request.signature());
            // Without word of it the run counts as one that broke for itself.
            let _ = tokio::time::timeout(VERDICT_WAIT, decided).await;
        }
        let is_held = self.is_held(request);
        if is_held && let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "request: it isn't sent again"; "event" => "held_back",
                "request" => &request.attempt, "signature" => %request.signature(),
                "held_ms" => millis(request.held_for()));
        }
        !is_held
    }

    /// A request's run broke at a server, which is asked whether it is there.
    pub(crate) fn run_broke(self: &Arc<Self>, request: &CallerRequest, broken: BrokenAt) {
        let server = broken.server;
        let run = BrokenRun {
            signature: request.signature(),
            request: request.attempt.clone(),
            end: self.run_end(broken),
        };
        let noted = self.states.broken_runs.lock().note(run, clock::now());
        match noted {
            BrokenRunNoted::Ended(run) => self.note_runs_crashed(&[run]),
            BrokenRunNoted::Unasked => {
                let relay = self.clone();
                tokio::spawn(async move { probe::check_exited(&relay, server).await });
            }
            BrokenRunNoted::Asked => {}
        }
    }

    fn run_end(&self, broken: BrokenAt) -> RunEnd {
        let at = clock::now();
        let sign_age = self.states.liveness.last_seen(broken.server).age(at);
        let sign_at = at.checked_sub(sign_age);
        let sign_at = sign_at.and_then(|sign| sign.checked_sub(EVENT_ON_ITS_WAY));
        let alive_at = match broken.reach {
            // It took the request.
            Reach::Direct => sign_at.max(Some(broken.joined_at)),
            Reach::ByAnother => sign_at,
        };
        RunEnd {
            server: broken.server,
            run: broken.run,
            progress: broken.progress,
            joined_at: broken.joined_at,
            alive_at: alive_at.unwrap_or(self.started_at),
            at,
        }
    }

    /// A server's process has ended, and its runs with it.
    pub(crate) fn server_ended(&self, server: ServerKey) {
        let broken = &self.states.broken_runs;
        let crashed = broken.lock().server_ended(server, clock::now());
        self.note_runs_crashed(&crashed);
        broken.tell_decided();
    }

    /// A server ended under some runs.
    fn note_runs_crashed(&self, runs: &[BrokenRun]) {
        let now = clock::now();
        let ends: Vec<_> = runs.iter().map(|run| (run.signature, run.end)).collect();
        let changes = self
            .quarantine
            .update(|quarantine| quarantine.note_ends(&ends, now));
        for run in runs {
            counter!("rookferry_runs_crashed_total").increment(1);
            self.tell_run_crashed(run);
        }
        for (signature, change) in changes {
            self.note_own_change(signature, change);
        }
    }

    fn tell_run_crashed(&self, run: &BrokenRun) {
        let Some(log) = self.events.line(Weight::Notable) else {
            return;
        };
        let (ends, in_turn) = {
            let quarantine = self.quarantine.lock();
            let in_turn = quarantine.ends_in_turn(run.signature);
            (quarantine.ends(run.signature), in_turn)
        };
        warn!(log, "health: a server ended under a request"; "event" => "run_crashed",
            "request" => &run.request, "signature" => %run.signature,
            "server" => %run.end.server.addr, "servers_ended" => ends, "in_turn" => in_turn,
            "answering" => run.end.progress == RunProgress::Answering,
            "lasted_ms" => millis(run.end.at.saturating_duration_since(run.end.joined_at)),
            "silent_ms" => millis(run.end.at.saturating_duration_since(run.end.alive_at)));
    }

    /// A run of a request ended well.
    pub(crate) fn run_finished(&self, request: &CallerRequest) {
        let signature = request.signature();
        let now = clock::now();
        let change = self
            .quarantine
            .update(|quarantine| quarantine.note_finished(signature, now));
        self.note_own_change(signature, change);
    }

    /// Takes in what another instance knows of requests.
    pub(crate) fn learn_suspects(&self, told: &[SuspectSeen], source: &str, now: Instant) {
        for seen in told {
            let change = self
                .quarantine
                .update(|quarantine| quarantine.learn(seen, now));
            self.note_change(seen.signature, change, source);
        }
    }

    /// Takes in that the store has a request as held for some time.
    pub(crate) fn learn_held(&self, signature: RequestSignature, age: Duration) {
        let now = clock::now();
        let seen = SuspectSeen {
            signature,
            ends: Vec::new(),
            finished_ms: None,
            held_ms: Some(millis(age)),
        };
        self.learn_suspects(&[seen], "store", now);
    }

    fn note_own_change(&self, signature: RequestSignature, change: QuarantineChange) {
        self.note_change(signature, change, "own");
        if change != QuarantineChange::None {
            self.quarantine.to_store.notify_one();
        }
    }

    fn note_change(&self, signature: RequestSignature, change: QuarantineChange, source: &str) {
        if change == QuarantineChange::None {
            return;
        }
        if change == QuarantineChange::Released {
            self.quarantine.released.notify_one();
        }
        let ends = self.quarantine.lock().ends(signature);
        let Some(log) = self.events.line(Weight::Notable) else {
            return;
        };
        if change == QuarantineChange::Held {
            warn!(log, "quarantine: a request is kept from servers"; "event" => "request_held",
                "signature" => %signature, "servers_ended" => ends, "source" => source);
        } else {
            info!(log, "quarantine: a request may run again"; "event" => "request_released",
                "signature" => %signature, "servers_ended" => ends, "source" => source);
        }
    }
}
