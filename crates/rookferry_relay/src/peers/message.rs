//! Messages between instances.

use std::net::SocketAddr;

use rookferry_core::BackendServer;
use rookferry_core::ServingConfig;
use rookferry_wire::DomainId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use rookferry_wire::ObjectVersion;
use serde::Deserialize;
use serde::Serialize;

/// A heartbeat; one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) domain: DomainId,
    /// The sender's steady clock, for the receiver to send back.
    pub(crate) sent_ms: u64,
    /// What the sender last got from the receiver.
    pub(crate) echo: Option<Echo>,
    pub(crate) config: Option<ConfigState>,
    /// The store's version that the sender's servers are from.
    pub(crate) servers_version: ObjectVersion,
    /// The holder that the sender heard of, itself or by others.
    pub(crate) holder: Option<HolderSeen>,
    /// What is under way at servers: by the sender's requests in its own
    /// domain; to others by all of its domain's, and only from the instance
    /// that speaks for it.
    pub(crate) loads: Vec<LoadEntry>,
    /// Whether the loads are those of the sender's domain.
    pub(crate) speaks_for_domain: bool,
    /// Servers that don't answer the sender; told in its own domain.
    pub(crate) out: Vec<SocketAddr>,
    /// Other members that the sender hears.
    pub(crate) members: Vec<SocketAddr>,
}

/// A holder of the lease for orders to engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HolderSeen {
    pub(crate) instance: InstanceId,
    /// How long ago it was known to hold the lease.
    pub(crate) age_ms: u64,
}

/// A receiver's clock, sent back with the time that it was held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Echo {
    /// The receiver's own steady clock when it sent.
    pub(crate) sent_ms: u64,
    /// Time from the sender's getting it to this message.
    pub(crate) held_ms: u64,
}

/// The configuration that a sender has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigState {
    pub(crate) version: u64,
    /// How long ago it was known to be the newest.
    pub(crate) age_ms: u64,
}

/// What a sender has under way at a server, and what it saw of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadEntry {
    pub(crate) addr: SocketAddr,
    pub(crate) requests: u32,
    pub(crate) tokens: u32,
    /// How long ago the server last gave the sender a sign of life.
    pub(crate) silent_ms: u64,
    /// What the server last reported to the sender.
    pub(crate) report: Option<ReportSeen>,
}

/// A server's report on how slow it is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReportSeen {
    /// How many times as long as published its steps take.
    pub(crate) slowdown: f64,
    pub(crate) age_ms: u64,
}

/// A question over TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// The configuration, if it is newer than a version.
    Config { newer_than: u64 },
    /// The backend servers, if from a newer version of the store.
    Servers { newer_than: ObjectVersion },
}

/// Its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerAnswer {
    /// A newer configuration.
    Config(Box<ServingConfig>),
    /// Newer backend servers.
    Servers {
        version: ObjectVersion,
        servers: Vec<BackendServer>,
    },
    /// Nothing newer.
    NothingNewer,
}
