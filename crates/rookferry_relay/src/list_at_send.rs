//! The server list by which a request is sent, with the age and the source of its
//! confirmation.
//!
//! A request's log lines name them, so that one line shows whether its instance was late
//! with a change of the servers, by how much, and by whose word.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::ListVersion;
use rookferry_net::clock;
use slog::KV;
use slog::Key;
use slog::Record;
use slog::Serializer;

use crate::event_log::millis;
use crate::mutex::lock;
use crate::view::SiteView;

/// Who confirmed that a server list was the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListConfirmer {
    /// The store, as read by this instance.
    Store,
    /// A peer, by its address.
    Peer(SocketAddr),
}

/// The last confirmation of the active server list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListConfirmation {
    pub(crate) version: ListVersion,
    /// When the list was the newest.
    pub(crate) at: Instant,
    pub(crate) by: ListConfirmer,
}

/// The server list by which a request is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListAtSend {
    version: ListVersion,
    /// Time since the list was known to be the newest, and who confirmed it; `None` if it
    /// never was.
    confirmed: Option<(Duration, ListConfirmer)>,
}

/// The lists by which the tries of one request were sent.
#[derive(Debug, Default)]
pub(crate) struct SendRecord(Mutex<Sends>);

#[derive(Debug, Default)]
struct Sends {
    last: Option<ListAtSend>,
    /// The list of the current try, once it is sent.
    of_try: Option<ListAtSend>,
}

/// The log fields of a list; empty if nothing was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentListFields(Option<ListAtSend>);

impl fmt::Display for ListConfirmer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Peer(addr) => addr.fmt(formatter),
        }
    }
}

impl ListAtSend {
    /// The list of a view. The confirmation must have been loaded before the view, so that
    /// it isn't that of a newer list.
    pub(crate) fn new(view: &SiteView, confirmation: Option<ListConfirmation>) -> Self {
        let version = view.servers_version();
        // A later version can only be of an era that the store denies.
        let confirmation = confirmation.filter(|known| known.version <= version);
        Self {
            version,
            confirmed: confirmation.map(|known| (clock::since(known.at), known.by)),
        }
    }
}

impl SendRecord {
    /// Begins another try.
    pub(crate) fn begin_try(&self) {
        lock(&self.0).of_try = None;
    }

    /// Records that the current try is sent by a list.
    pub(crate) fn record(&self, list: ListAtSend) {
        *lock(&self.0) = Sends {
            last: Some(list),
            of_try: Some(list),
        };
    }

    /// Whether any try was sent.
    pub(crate) fn was_sent(&self) -> bool {
        lock(&self.0).last.is_some()
    }

    /// The list of the last try that was sent.
    pub(crate) fn last(&self) -> SentListFields {
        SentListFields(lock(&self.0).last)
    }

    /// The list of the current try, if it was sent.
    pub(crate) fn of_try(&self) -> SentListFields {
        SentListFields(lock(&self.0).of_try)
    }
}

impl KV for SentListFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Some(list) = self.0 else {
            return Ok(());
        };
        serializer.emit_arguments(
            Key::from("servers_version"),
            &format_args!("{}", list.version),
        )?;
        if let Some((age, by)) = list.confirmed {
            serializer.emit_u64(Key::from("servers_age_ms"), millis(age))?;
            serializer.emit_arguments(Key::from("servers_confirmed_by"), &format_args!("{by}"))?;
        }
        Ok(())
    }
}
