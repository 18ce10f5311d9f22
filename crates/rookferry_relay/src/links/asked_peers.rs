//! Counts what the peers that were asked for a connection answered.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use rookferry_core::TunnelPeer;
use rookferry_wire::DomainId;

use super::TunnelRefusal;
use super::tunnel::PeerVerdict;
use super::tunnel::TunnelError;

/// The peers that were asked for one connection and didn't open it.
#[derive(Clone, Debug, Default)]
pub(super) struct AskedPeers {
    /// Failure domains of the peers that could have been asked, and whether each is the
    /// own one.
    domains: BTreeMap<SocketAddr, (DomainId, bool)>,
    asked_domains: BTreeSet<DomainId>,
    pub(super) asked: usize,
    /// Those asked in the own failure domain.
    pub(super) local: usize,
    /// Those that don't reach the server either.
    pub(super) unreached: usize,
    /// Those that are cut off from the service.
    pub(super) cut_off: usize,
    /// Those that have no room, are stopping or don't know the server.
    pub(super) unable: usize,
    /// Those that didn't respond.
    pub(super) failed: usize,
}

impl AskedPeers {
    /// None was asked yet, of the known ones.
    pub(super) fn of(known: &[TunnelPeer]) -> Self {
        let domains = known
            .iter()
            .map(|peer| (peer.addr, (peer.domain.clone(), peer.is_local)));
        Self {
            domains: domains.collect(),
            ..Self::default()
        }
    }

    /// Peers that could have been asked.
    pub(super) fn known(&self) -> usize {
        self.domains.len()
    }

    /// Those of them in the own failure domain.
    pub(super) fn known_local(&self) -> usize {
        let domains = self.domains.values();
        domains.filter(|(_, is_local)| *is_local).count()
    }

    /// Counts a peer that has opened no connection.
    pub(super) fn count(&mut self, peer: SocketAddr, error: &TunnelError) {
        self.asked += 1;
        if let Some((domain, is_local)) = self.domains.get(&peer) {
            self.local += usize::from(*is_local);
            self.asked_domains.insert(domain.clone());
        }
        let count = match error {
            TunnelError::Refused(TunnelRefusal::NotReached) => &mut self.unreached,
            TunnelError::Refused(TunnelRefusal::PathBroken | TunnelRefusal::Through(_)) => {
                &mut self.cut_off
            }
            TunnelError::Refused(_) => &mut self.unable,
            TunnelError::Failed(_) => &mut self.failed,
        };
        *count += 1;
    }

    /// What follows for the server. Peers of one domain prove nothing while others aren't
    /// asked, as they may be cut off together; `most` is how many peers may be asked.
    pub(super) fn verdict(&self, most: usize) -> PeerVerdict {
        let domains: BTreeSet<&DomainId> =
            self.domains.values().map(|(domain, _)| domain).collect();
        let has_all_domains =
            domains.len() > 1 && self.asked_domains.len() >= domains.len().min(most);
        let has_all = self.asked >= self.known();
        if (has_all || has_all_domains) && self.unreached == self.asked {
            PeerVerdict::NoneReaches
        } else if self.unreached > 0 {
            PeerVerdict::SomeDoNotReach
        } else {
            PeerVerdict::Unknown
        }
    }
}
