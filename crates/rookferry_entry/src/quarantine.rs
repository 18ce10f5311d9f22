//! Quarantine of calls that crash servers.
//!
//! When a call's connection to a server breaks, the server is probed to find out
//! whether it crashed. Crashes are counted by call signature in [`Quarantine`] and
//! exchanged with peers in heartbeats. The request path checks the quarantine before each
//! dispatch or retry; a call with too many crashes is refused for a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use metrics::counter;
use rookferry_core::BrokenRun;
use rookferry_core::BrokenRunStatus;
use rookferry_core::BrokenRuns;
use rookferry_core::Quarantine;
use rookferry_core::QuarantineChange;
use rookferry_core::RequestSignature;
use rookferry_core::ServerKey;
use rookferry_core::SuspectObservation;
use rookferry_core::Suspicion;
use rookferry_net::clock;
use rookferry_net::wait_until;
use rookferry_wire::EngineId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use slog::info;
use slog::warn;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::entry::EntryState;

/// How long the retry of a suspected call waits for the pending probes of its servers. A
/// crashed engine is recognized by its new incarnation at the latest.
const PROBE_WAIT: Duration = Duration::from_millis(500);
/// Pause before each probe of a server, in order. A crashed server refuses the
/// connection at once, or responds with a new incarnation after its restart.
const PROBE_PAUSES: [Duration; 6] = [
    Duration::ZERO,
    Duration::from_millis(25),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// A server incarnation that is probed for a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbedServer {
    /// An engine, which reports its incarnation.
    Engine {
        engine: EngineId,
        incarnation: Incarnation,
        addr: SocketAddr,
    },
    /// A plain service's server, which doesn't report an incarnation; the number of
    /// its detected crashes stands in for it.
    Plain {
        name: InstanceId,
        exits: u64,
        addr: SocketAddr,
    },
}

impl ProbedServer {
    /// Key of the server's incarnation.
    pub(crate) fn key(&self) -> ServerKey {
        match self {
            Self::Engine {
                engine,
                incarnation,
                addr,
            } => ServerKey::new(*addr, engine, Some(*incarnation)),
            Self::Plain { name, exits, addr } => ServerKey::new(*addr, name, Some(*exits)),
        }
    }
}

/// Crash counts of calls, and the broken runs whose servers are being probed.
#[derive(Debug, Default)]
pub(crate) struct CallQuarantine {
    calls: Mutex<Quarantine>,
    broken: Mutex<BrokenRuns>,
    /// Number of detected crashes of each plain server.
    plain_exits: Mutex<BTreeMap<InstanceId, u64>>,
    /// Notified when a probe has decided whether its server crashed.
    probe_finished: Notify,
}

impl CallQuarantine {
    /// At most `most` suspected calls for the next heartbeat.
    pub(crate) fn suspects_to_advertise(&self, most: usize) -> Vec<SuspectObservation> {
        self.calls().next_advertised(most, clock::now())
    }

    fn calls(&self) -> MutexGuard<'_, Quarantine> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn broken(&self) -> MutexGuard<'_, BrokenRuns> {
        self.broken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current incarnation of a plain service's server.
    pub(crate) fn plain_incarnation(&self, name: &InstanceId, addr: SocketAddr) -> ProbedServer {
        ProbedServer::Plain {
            name: name.clone(),
            exits: self.plain_exits().get(name).copied().unwrap_or_default(),
            addr,
        }
    }

    fn plain_exits(&self) -> MutexGuard<'_, BTreeMap<InstanceId, u64>> {
        self.plain_exits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until all servers at which a call's runs broke have been probed.
    async fn wait_for_probes(&self, signature: RequestSignature) {
        wait_until(&self.probe_finished, || {
            !self.broken().is_undecided(signature)
        })
        .await;
    }

    fn server_answered(&self, server: ServerKey) {
        self.broken().server_answered(server);
        self.probe_finished.notify_waiters();
    }
}

impl EntryState {
    /// Time until a call's quarantine ends; `None` if it is not quarantined.
    pub(crate) fn quarantined_for(&self, signature: RequestSignature) -> Option<Duration> {
        let suspicion = self.quarantine.calls().suspicion(signature, clock::now());
        match suspicion {
            Suspicion::Quarantined { left } => Some(left),
            Suspicion::None | Suspicion::Suspected { .. } => None,
        }
    }

    /// Whether a call may be retried after a broken run. A call with earlier crashes
    /// first waits up to `PROBE_WAIT` for the pending probes of its servers.
    pub(crate) async fn is_retry_allowed(&self, signature: RequestSignature) -> bool {
        let suspicion = self.quarantine.calls().suspicion(signature, clock::now());
        if let Suspicion::Suspected { .. } = suspicion {
            let probes = self.quarantine.wait_for_probes(signature);
            // If the probes aren't finished in time, the run doesn't count as a crash
            // for this decision.
            let _ = tokio::time::timeout(PROBE_WAIT, probes).await;
        }
        self.quarantined_for(signature).is_none()
    }

    /// Records a broken run, and probes its server for a crash unless a probe is
    /// pending.
    pub(crate) fn record_broken_run(self: &Arc<Self>, run: BrokenRun, server: ProbedServer) {
        let status = self.quarantine.broken().record(run, clock::now());
        match status {
            BrokenRunStatus::ServerExited(run) => self.record_crashed_runs(&[run]),
            BrokenRunStatus::Unprobed => {
                let entry = self.clone();
                tokio::spawn(async move { entry.probe_server(&server).await });
            }
            BrokenRunStatus::ProbePending => {}
        }
    }

    /// Probes a server until it is known whether it crashed, or the pauses are used up.
    /// If the result is inconclusive, the run stays undecided until it expires.
    async fn probe_server(&self, server: &ProbedServer) {
        let mut has_connected = false;
        for pause in PROBE_PAUSES {
            tokio::time::sleep(pause).await;
            match self.has_exited(server).await {
                Some(true) => return self.record_server_exit(server),
                // A plain server reports no incarnation: one that accepts
                // connections now may be about to exit.
                Some(false) if matches!(server, ProbedServer::Plain { .. }) => has_connected = true,
                Some(false) => return self.quarantine.server_answered(server.key()),
                None => {}
            }
        }
        if has_connected {
            self.quarantine.server_answered(server.key());
        }
    }

    /// Probes a server once; `None` if the result is inconclusive.
    async fn has_exited(&self, server: &ProbedServer) -> Option<bool> {
        match server {
            ProbedServer::Engine {
                incarnation, addr, ..
            } => match self.engines.info(*addr).await {
                Ok(info) => Some(info.incarnation != *incarnation),
                Err(error) => error.is_connection_refused().then_some(true),
            },
            ProbedServer::Plain { addr, .. } => match TcpStream::connect(addr).await {
                Ok(_) => Some(false),
                Err(error) => {
                    let is_refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                    is_refused.then_some(true)
                }
            },
        }
    }

    fn record_server_exit(&self, server: &ProbedServer) {
        if let ProbedServer::Plain { name, exits, .. } = server {
            self.quarantine
                .plain_exits()
                .insert(name.clone(), exits + 1);
        }
        self.backoffs.forget(server.key().addr);
        let mut broken = self.quarantine.broken();
        let crashed = broken.server_exited(server.key(), clock::now());
        drop(broken);
        self.record_crashed_runs(&crashed);
        self.quarantine.probe_finished.notify_waiters();
    }

    /// Counts a server's crash for each of the runs that it broke.
    fn record_crashed_runs(&self, runs: &[BrokenRun]) {
        let crashes: Vec<_> = runs.iter().map(|run| (run.signature, run.crash)).collect();
        let changes = self
            .quarantine
            .calls()
            .record_crashes(&crashes, clock::now());
        for run in runs {
            counter!("rookferry_runs_crashed_total").increment(1);
            warn!(self.log, "request: server crashed while running it"; "part" => "quarantine",
                "request_id" => &run.request, "signature" => %run.signature,
                "server" => %run.crash.server.addr, "progress" => ?run.crash.progress);
        }
        for (signature, change) in changes {
            self.log_change(signature, change, "own");
        }
    }

    /// Records that a call ran successfully, which clears its earlier crashes.
    pub(crate) fn record_finished_run(&self, signature: RequestSignature) {
        let change = self
            .quarantine
            .calls()
            .record_success(signature, clock::now());
        self.log_change(signature, change, "own");
    }

    /// Merges a peer's suspected calls.
    pub(crate) fn merge_suspects(&self, observations: &[SuspectObservation], source: &str) {
        for seen in observations {
            let change = self.quarantine.calls().merge(seen, clock::now());
            self.log_change(seen.signature, change, source);
        }
    }

    fn log_change(&self, signature: RequestSignature, change: QuarantineChange, source: &str) {
        match change {
            QuarantineChange::None => {}
            QuarantineChange::Quarantined => {
                warn!(self.log, "quarantine: a call is kept from servers";
                    "part" => "quarantine", "signature" => %signature, "source" => source);
            }
            QuarantineChange::Released => {
                info!(self.log, "quarantine: a call is released";
                    "part" => "quarantine", "signature" => %signature, "source" => source);
            }
        }
    }
}
