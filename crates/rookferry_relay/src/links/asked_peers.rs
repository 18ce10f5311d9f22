//! Counts what the peers that were asked for a connection answered.

use super::TunnelRefusal;
use super::tunnel::TunnelError;

/// The peers that were asked for one connection and didn't open it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AskedPeers {
    /// Peers that could have been asked, and those of them in the own failure domain.
    pub(super) known: usize,
    pub(super) known_local: usize,
    pub(super) asked: usize,
    /// Those asked in the own failure domain.
    pub(super) local: usize,
    /// Those that don't reach the server either.
    pub(super) unreached: usize,
    /// Those that have no room, are stopping or don't know the server.
    pub(super) unable: usize,
    /// Those that didn't respond.
    pub(super) failed: usize,
}

impl AskedPeers {
    /// None was asked yet, of the known ones.
    pub(super) fn of(known: usize, known_local: usize) -> Self {
        Self {
            known,
            known_local,
            ..Self::default()
        }
    }

    /// Counts a peer that has opened no connection.
    pub(super) fn count(&mut self, error: &TunnelError, is_local: bool) {
        self.asked += 1;
        self.local += usize::from(is_local);
        match error {
            TunnelError::Refused(TunnelRefusal::NotReached | TunnelRefusal::PathBroken) => {
                self.unreached += 1;
            }
            TunnelError::Refused(_) => self.unable += 1,
            TunnelError::Failed(_) => self.failed += 1,
        }
    }
}
