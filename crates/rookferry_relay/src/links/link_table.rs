//! State of the links to backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use rookferry_core::DirectPaths;
use rookferry_core::TunnelChooser;
use rookferry_core::TunnelPeer;
use rookferry_net::clock;
use rookferry_wire::ServiceId;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use super::ServerConnector;
use super::dial::LateConnect;
use crate::mutex::lock;

/// Most tunnels that an instance serves for its peers at a time; bounds their memory and
/// file descriptors.
const MAX_SERVED_TUNNELS: u16 = 768;
/// Most direct connects whose outcome waits to be recorded.
const MAX_LATE_CONNECTS: usize = 256;

/// The links to backend servers.
pub(crate) struct LinkTable {
    pub(super) connector: Arc<dyn ServerConnector>,
    paths: Mutex<DirectPaths>,
    chooser: Arc<Mutex<TunnelChooser>>,
    /// Room for tunnels that this instance serves.
    pub(super) served: Arc<Semaphore>,
    /// Outcomes of direct connects whose caller was cancelled or uses another connection.
    pub(super) late: mpsc::Sender<LateConnect>,
    /// Notified when a path is found broken, so that others are checked.
    pub(super) has_broken: Notify,
    late_receiver: Mutex<Option<mpsc::Receiver<LateConnect>>>,
}

/// Counts a tunnel through a peer until it is dropped.
pub(super) struct TunnelGuard {
    chooser: Arc<Mutex<TunnelChooser>>,
    peer: SocketAddr,
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        lock(&self.chooser).closed(self.peer);
    }
}

impl LinkTable {
    pub(crate) fn new(connector: Arc<dyn ServerConnector>) -> Self {
        let (late, late_receiver) = mpsc::channel(MAX_LATE_CONNECTS);
        Self {
            connector,
            paths: Mutex::default(),
            chooser: Arc::default(),
            served: Arc::new(Semaphore::new(MAX_SERVED_TUNNELS.into())),
            late,
            has_broken: Notify::new(),
            late_receiver: Mutex::new(Some(late_receiver)),
        }
    }

    /// The broken paths from this instance.
    pub(crate) fn paths(&self) -> MutexGuard<'_, DirectPaths> {
        lock(&self.paths)
    }

    /// The receiver of late connects; none if it was taken before.
    pub(super) fn take_late_receiver(&self) -> Option<mpsc::Receiver<LateConnect>> {
        lock(&self.late_receiver).take()
    }

    /// The peers to ask for a tunnel to a service's server, the best first.
    pub(super) fn choose_peers(
        &self,
        service: &ServiceId,
        peers: Vec<TunnelPeer>,
        most: usize,
    ) -> Vec<SocketAddr> {
        lock(&self.chooser).choose(service, peers, most, clock::now(), &mut rand::rng())
    }

    /// The choice of peers for tunnels.
    pub(super) fn chooser(&self) -> MutexGuard<'_, TunnelChooser> {
        lock(&self.chooser)
    }

    /// Counts a tunnel through a peer until the guard is dropped.
    pub(super) fn count_tunnel(&self, peer: SocketAddr) -> TunnelGuard {
        lock(&self.chooser).opened(peer);
        TunnelGuard {
            chooser: self.chooser.clone(),
            peer,
        }
    }

    /// Whether there is a tunnel through a peer.
    pub(crate) fn uses_peer(&self, peer: SocketAddr) -> bool {
        lock(&self.chooser).uses(peer)
    }

    /// Waits until this instance serves no tunnel.
    pub(crate) async fn wait_unused(&self) {
        // The semaphore is never closed.
        let _ = self.served.acquire_many(MAX_SERVED_TUNNELS.into()).await;
    }

    /// Number of tunnels that this instance serves.
    pub(crate) fn served_tunnels(&self) -> usize {
        usize::from(MAX_SERVED_TUNNELS) - self.served.available_permits()
    }
}
