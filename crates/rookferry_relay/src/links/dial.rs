//! Opens connections to servers, directly or through a peer.
//!
//! A direct connect that fails or takes long has sent nothing, so a peer is asked for the
//! same connection at once. If it has one, the path from here is broken, and further
//! connections go through peers first.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rookferry_core::PathFailure;
use rookferry_core::ServerKey;
use rookferry_wire::ServiceId;
use tokio::sync::oneshot;

use super::CONNECT_TIMEOUT;
use super::ServerStream;
use super::exit_check::OwnPath;
use super::tunnel::PeerVerdict;
use crate::pool::ConnectError;
use crate::relay::Relay;
use crate::upstream::Dial;
use crate::upstream::Upstream;

/// How long a direct connect may take until a peer is asked as well: many round trips
/// within a site, and a small part of the usual latency objectives.
const ASK_PEER_AFTER: Duration = Duration::from_millis(40);

/// How a connection reaches its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// From this instance.
    Direct,
    /// Through the peer at this address.
    Peer(SocketAddr),
}

impl Way {
    /// The peer, if it goes through one.
    pub(crate) const fn peer(self) -> Option<SocketAddr> {
        match self {
            Self::Direct => None,
            Self::Peer(peer) => Some(peer),
        }
    }
}

/// A connection that was opened.
pub(crate) struct OpenedStream {
    pub(crate) stream: Box<dyn ServerStream>,
    pub(crate) way: Way,
}

/// The outcome of a direct connect whose caller was cancelled or uses another connection.
pub(super) struct LateConnect {
    pub(super) service: ServiceId,
    pub(super) server: ServerKey,
    /// Whether a peer had reached the server meanwhile.
    pub(super) is_reached_by_peer: bool,
    pub(super) outcome: io::Result<Box<dyn ServerStream>>,
}

/// A direct connect in progress; it goes on when this is dropped.
pub(super) struct DirectConnect {
    outcome: oneshot::Receiver<io::Result<Box<dyn ServerStream>>>,
    is_reached_by_peer: Arc<AtomicBool>,
}

impl DirectConnect {
    async fn outcome(&mut self) -> io::Result<Box<dyn ServerStream>> {
        let outcome = (&mut self.outcome).await;
        outcome.unwrap_or_else(|_| Err(io::Error::other("the connect was dropped")))
    }
}

/// The failure of a connect that proves nothing of the server.
fn failed(addr: SocketAddr, error: &io::Error) -> ConnectError {
    let message = match error.kind() {
        ErrorKind::TimedOut => format!("no answer in {} ms", CONNECT_TIMEOUT.as_millis()),
        ErrorKind::ConnectionRefused => "refused here, as by other servers".to_owned(),
        _ => error.to_string(),
    };
    ConnectError::Failed { addr, message }
}

/// How the path is broken if a connect failed in this way and a peer reaches the server.
pub(super) fn failure_of(error: &io::Error) -> PathFailure {
    if error.kind() == ErrorKind::TimedOut {
        PathFailure::AllConnections
    } else {
        PathFailure::NewConnections
    }
}

impl Relay {
    /// Opens a connection to a server, directly or through a peer.
    pub(crate) async fn open_stream(
        &self,
        upstream: &Upstream,
    ) -> Result<OpenedStream, ConnectError> {
        if upstream.dial == Dial::ThroughPeer {
            let opened = self.open_through_peer(upstream).await;
            return opened.map_err(|_| ConnectError::Failed {
                addr: upstream.server.addr,
                message: "no peer has a connection to it".to_owned(),
            });
        }
        let mut refused_by_peers = None;
        if self.broken_path(upstream).is_some() {
            match self.open_through_peer(upstream).await {
                Ok(opened) => return Ok(opened),
                Err(verdict) => refused_by_peers = Some(verdict),
            }
        }
        let mut direct = self.start_direct(&upstream.service, upstream.server);
        let early = tokio::select! {
            // After a pause of this process both may be ready.
            biased;
            outcome = direct.outcome() => Some(outcome),
            () = tokio::time::sleep(ASK_PEER_AFTER), if refused_by_peers.is_none() => None,
        };
        match early {
            Some(Ok(stream)) => Ok(self.opened_directly(upstream, stream)),
            Some(Err(error)) => match refused_by_peers {
                Some(verdict) => self.after_failure(upstream, &error, verdict).await,
                None => self.open_after_failure(upstream, &error).await,
            },
            None => self.open_either_way(upstream, direct).await,
        }
    }

    /// Starts a direct connect; its outcome is recorded also if the caller is cancelled.
    pub(super) fn start_direct(&self, service: &ServiceId, server: ServerKey) -> DirectConnect {
        let (reply, outcome) = oneshot::channel();
        let is_reached_by_peer = Arc::new(AtomicBool::new(false));
        let is_reached = is_reached_by_peer.clone();
        let connector = self.links.connector.clone();
        let late = self.links.late.clone();
        let service = service.clone();
        tokio::spawn(async move {
            let connecting = connector.connect(server.addr);
            let outcome = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
            let outcome = outcome.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
            if let Err(outcome) = reply.send(outcome) {
                // Without room, a connection is closed, and a failure is found again.
                let _ = late.try_send(LateConnect {
                    service,
                    server,
                    is_reached_by_peer: is_reached.load(Ordering::Relaxed),
                    outcome,
                });
            }
        });
        DirectConnect {
            outcome,
            is_reached_by_peer,
        }
    }

    /// Asks peers after the direct connect has failed.
    async fn open_after_failure(
        &self,
        upstream: &Upstream,
        error: &io::Error,
    ) -> Result<OpenedStream, ConnectError> {
        match self.open_through_peer(upstream).await {
            Ok(opened) => {
                self.path_broke(&upstream.service, upstream.server, failure_of(error));
                Ok(opened)
            }
            Err(verdict) => self.after_failure(upstream, error, verdict).await,
        }
    }

    /// Asks peers while the direct connect goes on, and takes what is open first.
    async fn open_either_way(
        &self,
        upstream: &Upstream,
        mut direct: DirectConnect,
    ) -> Result<OpenedStream, ConnectError> {
        let through_peer = self.open_through_peer(upstream);
        tokio::pin!(through_peer);
        let verdict = tokio::select! {
            outcome = direct.outcome() => {
                let error = match outcome {
                    Ok(stream) => return Ok(self.opened_directly(upstream, stream)),
                    Err(error) => error,
                };
                match through_peer.await {
                    Ok(opened) => {
                        self.path_broke(&upstream.service, upstream.server, failure_of(&error));
                        return Ok(opened);
                    }
                    Err(verdict) => return self.after_failure(upstream, &error, verdict).await,
                }
            }
            opened = &mut through_peer => match opened {
                Ok(opened) => {
                    direct.is_reached_by_peer.store(true, Ordering::Relaxed);
                    self.path_broke(&upstream.service, upstream.server, PathFailure::AllConnections);
                    return Ok(opened);
                }
                Err(verdict) => verdict,
            }
        };
        match direct.outcome().await {
            Ok(stream) => Ok(self.opened_directly(upstream, stream)),
            Err(error) => self.after_failure(upstream, &error, verdict).await,
        }
    }

    fn opened_directly(&self, upstream: &Upstream, stream: Box<dyn ServerStream>) -> OpenedStream {
        self.path_worked(&upstream.service, upstream.server);
        OpenedStream {
            stream,
            way: Way::Direct,
        }
    }

    /// What follows if there is no connection, neither directly nor through a peer. A
    /// refusal alone doesn't show that the process has exited, as the link may be cut here.
    async fn after_failure(
        &self,
        upstream: &Upstream,
        error: &io::Error,
        verdict: PeerVerdict,
    ) -> Result<OpenedStream, ConnectError> {
        let addr = upstream.server.addr;
        let is_refused = error.kind() == ErrorKind::ConnectionRefused;
        if is_refused && self.may_have_exited(upstream, verdict).await {
            // The path may have come back since the refusal.
            let again = self
                .start_direct(&upstream.service, upstream.server)
                .outcome()
                .await;
            return match again {
                Ok(stream) => Ok(self.opened_directly(upstream, stream)),
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                    Err(ConnectError::Refused { addr })
                }
                Err(error) => Err(failed(addr, &error)),
            };
        }
        Err(failed(addr, error))
    }

    /// Whether a refusal may be a server's own, by this instance's path to others. If all
    /// servers of its service refuse connections, no peer may be in doubt.
    async fn may_have_exited(&self, upstream: &Upstream, verdict: PeerVerdict) -> bool {
        match self
            .check_own_path(&upstream.service, upstream.server)
            .await
        {
            // Only the path to this server may be cut, which no peer has ruled out.
            OwnPath::Sound => verdict != PeerVerdict::Unknown,
            OwnPath::Doubtful => verdict == PeerVerdict::NoneReaches,
            OwnPath::Unsound => false,
        }
    }
}
