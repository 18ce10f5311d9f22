//! The interface that a relay needs of the platform's store.

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

/// Why a call to the store has no usable answer.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The call can't have taken effect.
    #[snafu(display("the store rejected the call: {message}"))]
    Rejected {
        /// The cause.
        message: String,
    },
    /// The call may have taken effect.
    #[snafu(display("the store's answer was lost: {message}"))]
    Lost {
        /// The cause.
        message: String,
    },
    /// The store no longer has the changes after the revision of a watch; list again.
    #[snafu(display("the store no longer has the changes since then"))]
    Forgotten,
    /// The answer, or the object to be replaced, belongs to a previous era of the store;
    /// read again.
    #[snafu(display("the store has been restored from a backup since then"))]
    Outdated,
    /// The object's revision isn't the expected one.
    #[snafu(display("the object has changed"))]
    Conflict {
        /// The current object, if the store returned it.
        current: Option<Object>,
    },
    /// The answer can't be parsed.
    #[snafu(display("the store's answer can't be parsed: {message}"))]
    Unreadable {
        /// The cause.
        message: String,
    },
}

/// A value from an answer of the store.
#[derive(Clone, Debug)]
pub struct StoreResponse<T> {
    /// The store's era (how often it has been restored from a backup), if the answer
    /// contains a valid one.
    pub era: Option<StoreEra>,
    /// The revision of the value: the store's, from which watches resume, or that of the
    /// single object that was read or written.
    pub revision: ObjectVersion,
    /// The value.
    pub value: T,
}

impl<T> StoreResponse<T> {
    /// Replaces the value, with the same era and revision.
    #[must_use]
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> StoreResponse<U> {
        StoreResponse {
            era: self.era,
            revision: self.revision,
            value: change(self.value),
        }
    }
}

/// What a read of the configuration shows.
#[derive(Clone, Debug)]
pub enum ConfigRead {
    /// It hasn't changed since the watched revision.
    Unchanged,
    /// The store has none.
    Absent,
    /// The store has one that can't be decoded, so its accounts and routes are unknown.
    Unreadable,
    /// The configuration.
    Valid(ServingConfig),
}

/// The connection that a call to the store uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreConnection {
    /// One that is kept between calls; it may have died silently.
    Kept,
    /// One of its own.
    New,
}

/// How a list is read.
#[derive(Clone, Copy, Debug)]
pub struct ListOptions {
    /// The connection of the first request.
    pub connection: StoreConnection,
    /// How long a request may have no response until it is sent again over a new
    /// connection.
    pub hedge_after: Duration,
}

/// A call to the store.
pub type StoreFuture<'a, T> = BoxFuture<'a, Result<StoreResponse<T>, StoreError>>;

/// The platform's store. The relay calls it concurrently from several tasks.
pub trait SiteStore: Send + Sync {
    /// Reads the configuration; never returns [`ConfigRead::Unchanged`].
    fn config(&self, options: ListOptions) -> StoreFuture<'_, ConfigRead>;

    /// Waits up to `wait` for a configuration newer than a revision.
    fn watch_config(&self, after: ObjectVersion, wait: Duration) -> StoreFuture<'_, ConfigRead>;

    /// Lists the backend servers.
    fn servers(&self, options: ListOptions) -> StoreFuture<'_, Vec<BackendServer>>;

    /// Waits up to `wait` for changes of the backend servers after a revision.
    fn watch_servers(
        &self,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreFuture<'_, Vec<DirectoryChange>>;

    /// Reads the quarantined requests; `None` if there never were any.
    fn quarantine(&self, options: ListOptions) -> StoreFuture<'_, Option<Object>>;

    /// Waits for a change of the quarantined requests after a revision; `None` if none
    /// came within `wait`.
    fn watch_quarantine(
        &self,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreFuture<'_, Option<Object>>;

    /// Writes the quarantined requests if their revision is the expected one (0: there
    /// are none); the answer has the new revision.
    fn write_quarantine<'a>(
        &'a self,
        expected: ObjectVersion,
        quarantine: &'a QuarantineObject,
    ) -> StoreFuture<'a, ()>;

    /// Reads the lease of the placement controller.
    fn lease(&self, options: ListOptions) -> StoreFuture<'_, Option<Object>>;

    /// Writes the lease if its revision is the expected one (0: there is none); the
    /// answer has the new revision.
    fn write_lease<'a>(
        &'a self,
        expected: ObjectVersion,
        lease: &'a LeaseObject,
    ) -> StoreFuture<'a, ()>;
}
