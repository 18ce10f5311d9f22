//! The platform's store, with its calls counted and its era logged.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use metrics::counter;
use metrics::histogram;
use rookferry_core::BackendServer;
use rookferry_core::DirectoryChange;
use rookferry_core::LeaseObject;
use rookferry_core::QuarantineObject;
use rookferry_core::ServingConfig;
use rookferry_net::clock;
use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use rookferry_wire::StoreEra;
use slog::warn;

use crate::event_log::EventLog;
use crate::event_log::Weight;
use crate::mutex::lock;
use crate::store::AsOf;
use crate::store::SiteStore;
use crate::store::StoreError;

/// A store whose calls are counted.
pub(crate) struct TrackedStore {
    inner: Arc<dyn SiteStore>,
    events: Arc<EventLog>,
    /// The era that the last answer told.
    era: Mutex<Option<StoreEra>>,
}

impl TrackedStore {
    pub(crate) const fn new(inner: Arc<dyn SiteStore>, events: Arc<EventLog>) -> Self {
        Self {
            inner,
            events,
            era: Mutex::new(None),
        }
    }

    async fn tracked<T>(
        &self,
        call: &'static str,
        answer: impl Future<Output = Result<AsOf<T>, StoreError>>,
    ) -> Result<AsOf<T>, StoreError> {
        let answer = counted(call, answer).await;
        match &answer {
            Ok(AsOf { era: Some(era), .. }) => self.note_era(*era),
            Err(StoreError::Forgotten) => self.note_forgotten(call),
            _ => {}
        }
        answer
    }

    fn note_era(&self, era: StoreEra) {
        let before = lock(&self.era).replace(era);
        if before != Some(era)
            && let Some(log) = self.events.line(Weight::Notable)
        {
            warn!(log, "store: its answers tell another era"; "event" => "store_era_changed",
                "era" => era, "before" => before);
        }
    }

    /// The store doesn't have the revision that a watch was to go on from.
    fn note_forgotten(&self, call: &'static str) {
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "store: it doesn't have the watch's revision"; "event" => "store_forgot",
                "call" => call);
        }
    }

    pub(crate) async fn config(&self) -> Result<AsOf<Option<ServingConfig>>, StoreError> {
        self.tracked("config", self.inner.config()).await
    }

    pub(crate) async fn watch_config(
        &self,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<AsOf<Option<ServingConfig>>, StoreError> {
        let answer = self.inner.watch_config(after, wait);
        self.tracked("watch_config", answer).await
    }

    pub(crate) async fn servers(&self) -> Result<AsOf<Vec<BackendServer>>, StoreError> {
        self.tracked("servers", self.inner.servers()).await
    }

    pub(crate) async fn watch_servers(
        &self,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<AsOf<Vec<DirectoryChange>>, StoreError> {
        let answer = self.inner.watch_servers(after, wait);
        self.tracked("watch_servers", answer).await
    }

    pub(crate) async fn quarantine(&self) -> Result<AsOf<Option<Object>>, StoreError> {
        self.tracked("quarantine", self.inner.quarantine()).await
    }

    pub(crate) async fn watch_quarantine(
        &self,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<AsOf<Option<Object>>, StoreError> {
        let answer = self.inner.watch_quarantine(after, wait);
        self.tracked("watch_quarantine", answer).await
    }

    pub(crate) async fn write_quarantine(
        &self,
        expected: ObjectVersion,
        quarantine: &QuarantineObject,
    ) -> Result<ObjectVersion, StoreError> {
        let answer = self.inner.write_quarantine(expected, quarantine);
        let written = self.tracked("write_quarantine", answer).await?;
        Ok(written.revision)
    }

    pub(crate) async fn lease(&self) -> Result<Option<Object>, StoreError> {
        Ok(self.tracked("lease", self.inner.lease()).await?.value)
    }

    pub(crate) async fn write_lease(
        &self,
        expected: ObjectVersion,
        lease: &LeaseObject,
    ) -> Result<ObjectVersion, StoreError> {
        let answer = self.inner.write_lease(expected, lease);
        let written = self.tracked("write_lease", answer).await?;
        Ok(written.revision)
    }
}

async fn counted<T>(
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
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::Unreadable { .. }) => "unreadable",
    };
    counter!("rookferry_store_calls_total", "call" => call, "outcome" => outcome).increment(1);
    histogram!("rookferry_store_call_seconds", "call" => call)
        .record(clock::since(began).as_secs_f64());
    answer
}
