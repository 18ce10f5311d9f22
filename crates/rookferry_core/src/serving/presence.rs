//! Whether the store lists a server, or an instance retains its entry.

use serde::Deserialize;
use serde::Serialize;

/// Whether the store lists a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Presence {
    /// The store lists it.
    #[default]
    Listed,
    /// The store doesn't list it any more, but its entry may merely have lapsed. Each
    /// instance decides by its own knowledge of the store whether to retain it, too.
    Retained,
}
