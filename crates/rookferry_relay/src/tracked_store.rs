//! Wraps the platform's store: counts its calls and detects restores.
//!
//! Whatever a caller reads through this wrapper is valid within one era of the store. A
//! watch of a previous era fails as if its history were gone. A conditional write of a
//! previous era isn't sent, or isn't reported as successful, since its expected revision
//! may belong to another object by then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use metrics::histogram;
use rookferry_core::BackendServer;
use rookferry_core::DirectoryChange;
use rookferry_core::EraTracker;
use rookferry_core::EraVerdict;
use rookferry_core::LeaseObject;
use rookferry_core::PropagationBudget;
use rookferry_core::QuarantineObject;
use rookferry_core::StoreContact;
use rookferry_core::StoreVersion;
use rookferry_net::clock;
use rookferry_wire::Object;
use rookferry_wire::StoreEra;
use slog::warn;
use tokio::sync::watch;

use crate::event_log::EventLog;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::mutex::lock;
use crate::settings::BoundSettings;
use crate::store::ConfigRead;
use crate::store::ListOptions;
use crate::store::SiteStore;
use crate::store::StoreConnection;
use crate::store::StoreError;
use crate::store::StoreResponse;

/// A value with the version of the store it was read at.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    /// The version: the store's, or that of the single object that was read or written.
    pub(crate) version: StoreVersion,
    pub(crate) value: T,
    /// When the call was sent.
    pub(crate) requested_at: Instant,
}

impl<T> Versioned<T> {
    /// Converts the value; its version stays the same.
    pub(crate) fn map<U>(self, change: impl FnOnce(T) -> U) -> Versioned<U> {
        Versioned {
            version: self.version,
            value: change(self.value),
            requested_at: self.requested_at,
        }
    }
}

/// What a watch of the servers returns.
#[derive(Clone, Debug)]
pub(crate) enum ServersRead {
    /// The changes since the watched version.
    Changes(Vec<DirectoryChange>),
    /// All servers, by the list that is sent once the watch is overdue.
    All(Vec<BackendServer>),
}

/// A call that failed.
#[derive(Clone, Debug)]
pub(crate) struct FailedCall {
    pub(crate) call: &'static str,
    pub(crate) cause: String,
    /// When it failed.
    pub(crate) at: Instant,
}

/// A store whose calls are counted and whose restores are detected.
pub(crate) struct TrackedStore {
    inner: Arc<dyn SiteStore>,
    events: Arc<EventLog>,
    budget: PropagationBudget,
    eras: Mutex<EraTracker>,
    contact: Mutex<StoreContact>,
    last_failure: Mutex<Option<FailedCall>>,
    /// Incremented with each change of the era.
    era_changes: watch::Sender<u64>,
}

impl TrackedStore {
    pub(crate) fn new(
        inner: Arc<dyn SiteStore>,
        events: Arc<EventLog>,
        bounds: &BoundSettings,
    ) -> Self {
        // An entry doesn't lapse for a single heartbeat that is missed.
        let heartbeat = Duration::from_millis(bounds.heartbeat_ms);
        Self {
            inner,
            events,
            budget: bounds.propagation_budget(),
            eras: Mutex::new(EraTracker::new()),
            contact: Mutex::new(StoreContact::new().min_gap(heartbeat)),
            last_failure: Mutex::default(),
            era_changes: watch::Sender::new(0),
        }
    }

    /// The store's current era, as far as known.
    pub(crate) fn era(&self) -> StoreEra {
        lock(&self.eras).era()
    }

    /// Whether the store has answered that this era doesn't exist.
    pub(crate) fn is_denied(&self, era: StoreEra) -> bool {
        lock(&self.eras).is_denied(era)
    }

    /// The last call that failed, if any did.
    pub(crate) fn last_failure(&self) -> Option<FailedCall> {
        lock(&self.last_failure).clone()
    }

    /// Records an era that another instance reports.
    pub(crate) fn record_peer_era(&self, era: StoreEra) {
        let before = self.era();
        if lock(&self.eras).merge(era, clock::now()) {
            self.announce_era_change(era, Some(before), "peer");
        }
    }

    /// The time as of which the store's content is known.
    pub(crate) fn contact(&self) -> StoreContact {
        *lock(&self.contact)
    }

    /// Records that a peer of the own domain knows what the instance at `reader` read of
    /// the store as of a time.
    pub(crate) fn record_peer_contact(&self, at: Instant, reader: SocketAddr) {
        lock(&self.contact).merge_peer(at, reader);
    }

    /// Records that bodies from peers show the store's content as of a time.
    pub(crate) fn record_contact_from_bodies(&self, at: Instant) {
        lock(&self.contact).record_bodies(at);
    }

    /// Waits until the store is in another era.
    pub(crate) async fn era_changed(&self, era: StoreEra) {
        let mut changes = self.era_changes.subscribe();
        while self.era() == era {
            if changes.changed().await.is_err() {
                // The sender lives as long as the process.
                std::future::pending::<()>().await;
            }
        }
    }

    fn announce_era_change(&self, era: StoreEra, before: Option<StoreEra>, source: &'static str) {
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "store: its era has changed"; "event" => "store_era_changed",
                "era" => era, "before" => before, "source" => source);
        }
        self.era_changes.send_modify(|changes| *changes += 1);
    }

    /// Checks an answer's era, and adds the version to its value.
    fn versioned<T>(
        &self,
        answer: StoreResponse<T>,
        era_at_request: StoreEra,
        requested_at: Instant,
    ) -> Result<Versioned<T>, StoreError> {
        let verdict = lock(&self.eras).observe(answer.era, requested_at, clock::now());
        // An answer without an era belongs to the era in which the call was sent.
        let era = answer.era.unwrap_or(era_at_request);
        match verdict {
            EraVerdict::Late => return Err(StoreError::Outdated),
            EraVerdict::Current if era != self.era() => return Err(StoreError::Outdated),
            EraVerdict::Current => {}
            EraVerdict::Changed { before } => self.announce_era_change(era, before, "store"),
        }
        Ok(Versioned {
            version: StoreVersion::new(era, answer.revision),
            value: answer.value,
            requested_at,
        })
    }

    async fn read<T>(
        &self,
        call: &'static str,
        answer: impl Future<Output = Result<StoreResponse<T>, StoreError>>,
    ) -> Result<Versioned<T>, StoreError> {
        let (era_at_request, requested_at) = (self.era(), clock::now());
        let answer = record_call(call, answer).await;
        match &answer {
            Ok(_) => {}
            Err(StoreError::Forgotten) => self.log_forgotten(call),
            Err(error) => self.record_failed_call(call, error, clock::since(requested_at)),
        }
        self.versioned(answer?, era_at_request, requested_at)
    }

    /// Completes a watch that resumes from a version.
    async fn watch<T>(
        &self,
        after: StoreVersion,
        answer: impl Future<Output = Result<Versioned<T>, StoreError>>,
    ) -> Result<Versioned<T>, StoreError> {
        if after.era != self.era() {
            return Err(StoreError::Forgotten);
        }
        let read = tokio::select! {
            read = answer => read?,
            () = self.era_changed(after.era) => return Err(StoreError::Forgotten),
        };
        // A store that was restored without a new era has other changes under the same
        // revisions.
        if read.version < after || read.version.era != after.era {
            return Err(StoreError::Forgotten);
        }
        Ok(read)
    }

    /// How a list is read at the moment.
    fn list_options(&self, connection: StoreConnection) -> ListOptions {
        ListOptions {
            connection,
            hedge_after: self.contact().overdue_after(self.budget.overdue()),
        }
    }

    /// The answer of a watch that should end within `wait`, or of a fallback call that is
    /// sent once the watch is overdue. The connection may have died silently, or the store
    /// returns no watch at all; so the fallback is a list over another connection.
    async fn first_response<T>(
        &self,
        wait: Duration,
        watch: impl Future<Output = Result<Versioned<T>, StoreError>>,
        fallback: impl Future<Output = Result<Versioned<T>, StoreError>>,
    ) -> Result<Versioned<T>, StoreError> {
        let sent_at = clock::now();
        let overdue_after = self.contact().overdue_after(self.budget.overdue());
        tokio::pin!(watch, fallback);
        let in_time = clock::timeout_at(sent_at + wait + overdue_after, &mut watch).await;
        if let Some(answer) = in_time {
            self.record_delay(sent_at, wait);
            return answer;
        }
        lock(&self.contact).record_watch_overdue();
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "store: a watch is overdue"; "event" => "store_watch_overdue",
                "waited_ms" => millis(clock::since(sent_at)),
                "wait_ms" => millis(wait));
        }
        let (answer, is_watch) = tokio::select! {
            answer = &mut watch => (answer, true),
            answer = &mut fallback => (answer, false),
        };
        if is_watch {
            self.record_delay(sent_at, wait);
        }
        match answer {
            Ok(answer) => Ok(answer),
            Err(_) if is_watch => fallback.await,
            Err(_) => watch.await,
        }
    }

    /// Records the delay of a watch that was sent at `sent_at` and should have ended
    /// within `wait`.
    fn record_delay(&self, sent_at: Instant, wait: Duration) {
        let delay = clock::since(sent_at).saturating_sub(wait);
        lock(&self.contact).record_delay(delay);
    }

    /// Performs a write that replaces the expected version.
    async fn write(
        &self,
        call: &'static str,
        expected: StoreVersion,
        answer: impl Future<Output = Result<StoreResponse<()>, StoreError>>,
    ) -> Result<StoreVersion, StoreError> {
        if expected.era != self.era() {
            return Err(StoreError::Outdated);
        }
        let written = self.read(call, answer).await?.version;
        if written.era != expected.era {
            return Err(StoreError::Outdated);
        }
        Ok(written)
    }

    /// Logs that the store lacks the revision that a watch resumes from.
    fn log_forgotten(&self, call: &'static str) {
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "store: it no longer has the watch's revision"; "event" => "store_forgot",
                "call" => call);
        }
    }

    /// Records a failed call, and logs it with the time that it took.
    fn record_failed_call(&self, call: &'static str, error: &StoreError, took: Duration) {
        *lock(&self.last_failure) = Some(FailedCall {
            call,
            cause: error.to_string(),
            at: clock::now(),
        });
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "store: a call failed"; "event" => "store_call_failed",
                "call" => call, "cause" => %error, "took_ms" => millis(took));
        }
    }

    pub(crate) async fn config(&self) -> Result<Versioned<ConfigRead>, StoreError> {
        let config = self.inner.config(self.list_options(StoreConnection::Kept));
        let read = self.read("config", config).await?;
        lock(&self.contact).record_config_read(read.requested_at);
        Ok(read)
    }

    pub(crate) async fn watch_config(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Versioned<ConfigRead>, StoreError> {
        let inner = &self.inner;
        let watch = self.read("watch_config", inner.watch_config(after.revision, wait));
        let fallback = self.read(
            "config",
            inner.config(self.list_options(StoreConnection::New)),
        );
        let answer = self.first_response(wait, watch, fallback);
        let read = self.watch(after, answer).await?;
        lock(&self.contact).record_config_read(read.requested_at);
        Ok(read)
    }

    pub(crate) async fn servers(&self) -> Result<Versioned<Vec<BackendServer>>, StoreError> {
        let servers = self.inner.servers(self.list_options(StoreConnection::Kept));
        let read = self.read("servers", servers).await?;
        lock(&self.contact).record_servers_read(read.requested_at);
        Ok(read)
    }

    pub(crate) async fn watch_servers(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Versioned<ServersRead>, StoreError> {
        let inner = &self.inner;
        let watch = async {
            let changes = inner.watch_servers(after.revision, wait);
            let changes = self.read("watch_servers", changes).await?;
            Ok(changes.map(ServersRead::Changes))
        };
        let fallback = async {
            let list = inner.servers(self.list_options(StoreConnection::New));
            Ok(self.read("servers", list).await?.map(ServersRead::All))
        };
        let answer = self.first_response(wait, watch, fallback);
        let read = self.watch(after, answer).await?;
        lock(&self.contact).record_servers_read(read.requested_at);
        Ok(read)
    }

    pub(crate) async fn quarantine(&self) -> Result<Versioned<Option<Object>>, StoreError> {
        let options = self.list_options(StoreConnection::Kept);
        self.read("quarantine", self.inner.quarantine(options))
            .await
    }

    pub(crate) async fn watch_quarantine(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Versioned<Option<Object>>, StoreError> {
        let answer = self.inner.watch_quarantine(after.revision, wait);
        self.watch(after, self.read("watch_quarantine", answer))
            .await
    }

    pub(crate) async fn write_quarantine(
        &self,
        expected: StoreVersion,
        quarantine: &QuarantineObject,
    ) -> Result<StoreVersion, StoreError> {
        let answer = self.inner.write_quarantine(expected.revision, quarantine);
        self.write("write_quarantine", expected, answer).await
    }

    pub(crate) async fn lease(&self) -> Result<Versioned<Option<Object>>, StoreError> {
        let options = self.list_options(StoreConnection::Kept);
        self.read("lease", self.inner.lease(options)).await
    }

    pub(crate) async fn write_lease(
        &self,
        expected: StoreVersion,
        lease: &LeaseObject,
    ) -> Result<StoreVersion, StoreError> {
        let answer = self.inner.write_lease(expected.revision, lease);
        self.write("write_lease", expected, answer).await
    }
}

async fn record_call<T>(
    call: &'static str,
    answer: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let began = clock::now();
    let answer = answer.await;
    let outcome = match &answer {
        Ok(_) => "answered",
        Err(StoreError::Rejected { .. }) => "rejected",
        Err(StoreError::Lost { .. }) => "lost",
        Err(StoreError::Forgotten) => "forgotten",
        Err(StoreError::Outdated) => "outdated",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::Unreadable { .. }) => "unreadable",
    };
    counter!("rookferry_store_calls_total", "call" => call, "outcome" => outcome).increment(1);
    histogram!("rookferry_store_call_seconds", "call" => call)
        .record(clock::since(began).as_secs_f64());
    answer
}
