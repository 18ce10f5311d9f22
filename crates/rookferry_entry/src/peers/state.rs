//! Membership state of an instance: its peers, and the addresses to send
//! heartbeats to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rookferry_core::MemberTable;
use rookferry_core::PeerTarget;
use rookferry_wire::DatagramKey;
use rookferry_wire::DomainId;
use rookferry_wire::Incarnation;
use rookferry_wire::InstanceEntry;
use rookferry_wire::InstanceId;
use tokio::sync::Notify;

use crate::EntrySettings;

/// Members, seed addresses, and the notifications for changes.
pub(crate) struct PeerState {
    pub(crate) key: DatagramKey,
    /// Notified to send a heartbeat at once.
    pub(crate) wake: Notify,
    /// Notified when a peer's heartbeat shows a change.
    pub(crate) changed: Notify,
    members: Mutex<MemberTable>,
    seeds: Vec<SocketAddr>,
}

impl PeerState {
    pub(crate) fn new(
        settings: &EntrySettings,
        own: InstanceId,
        incarnation: Incarnation,
        failure_domain: DomainId,
    ) -> Self {
        Self {
            key: DatagramKey::from_secret(&settings.site_secret),
            wake: Notify::new(),
            changed: Notify::new(),
            members: Mutex::new(MemberTable::new(own, incarnation, failure_domain)),
            seeds: settings.known_peers.clone(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All targets of heartbeats: members, listed entry instances, and the seed
    /// addresses of the settings.
    pub(crate) fn targets(
        &self,
        listed: &[InstanceEntry],
        own: &str,
        own_addr: SocketAddr,
    ) -> Vec<PeerTarget> {
        let mut targets: BTreeMap<SocketAddr, PeerTarget> = BTreeMap::new();
        for addr in &self.seeds {
            let unknown = PeerTarget {
                instance: addr.to_string().into(),
                failure_domain: "".into(),
                addr: *addr,
            };
            targets.insert(*addr, unknown);
        }
        for entry in listed {
            let target = PeerTarget {
                instance: entry.name.clone(),
                failure_domain: entry.failure_domain.clone(),
                addr: entry.addr,
            };
            targets.insert(entry.addr, target);
        }
        for member in self.lock().members() {
            let heartbeat = &member.heartbeat;
            let target = PeerTarget {
                instance: heartbeat.instance.clone(),
                failure_domain: heartbeat.failure_domain.clone(),
                addr: heartbeat.peer_addr,
            };
            targets.insert(heartbeat.peer_addr, target);
        }
        targets.remove(&own_addr);
        targets
            .into_values()
            .filter(|target| *target.instance != *own)
            .collect()
    }
}
