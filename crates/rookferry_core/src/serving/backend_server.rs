//! A backend server, as its entry in the store describes it.

use std::net::SocketAddr;
use std::sync::Arc;

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;
use rookferry_wire::Incarnation;
use rookferry_wire::LayerRange;
use rookferry_wire::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use super::Presence;
use super::ServerKey;

/// The entry of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendServer {
    /// The server's name.
    pub id: EngineId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its address and the hash of its start.
    pub key: ServerKey,
    /// When it started, in Unix milliseconds; `None` if each start has a name of its own.
    pub incarnation: Option<Incarnation>,
    /// How often it has written its entry since it started.
    pub writes: u64,
    /// Its failure domain.
    pub domain: DomainId,
    /// How many requests it processes at once.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub is_leaving: bool,
    /// The kind of its accelerator; `None` unless it is a model engine.
    pub accelerator: Option<Arc<str>>,
    /// The model layers that it has loaded; `None` if it has none.
    pub held: Option<LayerRange>,
    /// Whether the store lists it.
    pub presence: Presence,
}

impl BackendServer {
    /// The address that it listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.key.addr
    }

    /// Whether both entries describe the same start with the same content, `writes` and
    /// `presence` aside.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        let Self {
            id,
            service,
            key,
            incarnation,
            writes: _,
            domain,
            slots,
            is_leaving,
            accelerator,
            held,
            presence: _,
        } = self;
        *key == other.key
            && *held == other.held
            && *is_leaving == other.is_leaving
            && *incarnation == other.incarnation
            && *slots == other.slots
            && *id == other.id
            && *service == other.service
            && *domain == other.domain
            && *accelerator == other.accelerator
    }
}
