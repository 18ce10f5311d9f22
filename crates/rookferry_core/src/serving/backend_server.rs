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

use super::ServerKey;

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendServer {
    /// Its name.
    pub id: EngineId,
    /// Its service.
    pub service: ServiceId,
    /// This start of it, and where it listens.
    pub key: ServerKey,
    /// When it started, in Unix milliseconds; without it, each start has a
    /// name of its own.
    pub incarnation: Option<Incarnation>,
    /// How often it has written its entry since its start.
    pub writes: u64,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it has said that it leaves.
    pub is_leaving: bool,
    /// Its accelerator's kind, if it is a model engine.
    pub accelerator: Option<Arc<str>>,
    /// The layers it holds, ready to run.
    pub held: Option<LayerRange>,
}

impl BackendServer {
    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.key.addr
    }

    /// Whether another entry says the same of the same start, however often it
    /// was written.
    #[must_use]
    pub fn says_the_same(&self, other: &Self) -> bool {
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
