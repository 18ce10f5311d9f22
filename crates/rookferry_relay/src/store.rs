//! What a relay needs of the platform's store.

use std::time::Duration;

use futures_util::future::BoxFuture;
use rookferry_core::BackendServer;
use rookferry_core::DirectoryChange;
use rookferry_core::LeaseObject;
use rookferry_core::QuarantineObject;
use rookferry_core::ServingConfig;
use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use rookferry_wire::StoreEra;
use snafu::Snafu;

/// Why the store gave no usable answer.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The call can't have taken effect.
    #[snafu(display("the store did not take the call: {message}"))]
    Rejected {
        /// The cause.
        message: String,
    },
    /// The call may have taken effect.
    #[snafu(display("the store's answer is lost: {message}"))]
    Lost {
        /// The cause.
        message: String,
    },
    /// Changes after the named version are forgotten; list again.
    #[snafu(display("the store has forgotten its changes since then"))]
    Forgotten,
    /// The answer, or what was to be written over, is of an era of the store that is
    /// over; read again.
    #[snafu(display("the store has been restored from a copy since then"))]
    Outdated,
    /// The object isn't what was expected.
    #[snafu(display("the object has changed"))]
    Conflict {
        /// The object as it is, if the store told.
        current: Option<Object>,
    },
    /// The answer doesn't read.
    #[snafu(display("the store's answer doesn't read: {message}"))]
    Unreadable {
        /// The cause.
        message: String,
    },
}

/// A value, as an answer of the store shows it.
#[derive(Clone, Debug)]
pub struct AsOf<T> {
    /// The store's era, if the answer tells it in a way that reads.
    pub era: Option<StoreEra>,
    /// The revision that the value is of: the store's, from which watches go on,
    /// or that of the one object that was read or written.
    pub revision: ObjectVersion,
    /// The value.
    pub value: T,
}

impl<T> AsOf<T> {
    /// The same of another value.
    #[must_use]
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> AsOf<U> {
        AsOf {
            era: self.era,
            revision: self.revision,
            value: change(self.value),
        }
    }
}

/// What the store answers to a call.
pub type StoreAnswer<'a, T> = BoxFuture<'a, Result<AsOf<T>, StoreError>>;

/// The platform's store, as a relay sees it.
pub trait SiteStore: Send + Sync {
    /// The configuration; `None` if there is none yet.
    fn config(&self) -> StoreAnswer<'_, Option<ServingConfig>>;

    /// Waits for a configuration after a revision; `None` if none came.
    fn watch_config(
        &self,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreAnswer<'_, Option<ServingConfig>>;

    /// The newest configuration after a revision, if there is one so far; over a
    /// connection of its own, as one that was kept may be dead.
    fn config_since(&self, after: ObjectVersion) -> StoreAnswer<'_, Option<ServingConfig>>;

    /// The backend servers.
    fn servers(&self) -> StoreAnswer<'_, Vec<BackendServer>>;

    /// Waits for changes of the backend servers after a revision.
    fn watch_servers(
        &self,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreAnswer<'_, Vec<DirectoryChange>>;

    /// The changes of the backend servers after a revision so far; over a connection
    /// of its own, as one that was kept may be dead.
    fn servers_since(&self, after: ObjectVersion) -> StoreAnswer<'_, Vec<DirectoryChange>>;

    /// The held requests; `None` if none ever were.
    fn quarantine(&self) -> StoreAnswer<'_, Option<Object>>;

    /// Waits for a change of the held requests after a revision; `None` if none
    /// came.
    fn watch_quarantine(
        &self,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreAnswer<'_, Option<Object>>;

    /// Writes the held requests if their revision is the expected one (0: there
    /// are none); answers as of their new one.
    fn write_quarantine<'a>(
        &'a self,
        expected: ObjectVersion,
        quarantine: &'a QuarantineObject,
    ) -> StoreAnswer<'a, ()>;

    /// The lease of the placement controller.
    fn lease(&self) -> StoreAnswer<'_, Option<Object>>;

    /// Writes the lease if its revision is the expected one (0: there is none);
    /// answers as of its new one.
    fn write_lease<'a>(
        &'a self,
        expected: ObjectVersion,
        lease: &'a LeaseObject,
    ) -> StoreAnswer<'a, ()>;
}
