//! Connections to servers that a peer opens for this instance.
//!
//! What the server sends arrives in frames, and an empty one follows when the server has
//! closed the connection in order. So an answer that ends with its connection doesn't
//! look complete when the tunnel breaks. What is sent to the server isn't framed.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::FuturesUnordered;
use metrics::counter;
use rookferry_core::ServerKey;
use rookferry_core::TunnelQueue;
use rookferry_net::clock;
use slog::info;
use slog::warn;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::StreamReader;

use super::OpenedStream;
use super::TunnelRefusal;
use super::Way;
use super::asked_peers::AskedPeers;
use super::connector::TCP_USER_TIMEOUT_MS;
use super::link_table::TunnelGuard;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::mutex::lock;
use crate::peers::PeerQuery;
use crate::peers::PeerRequest;
use crate::peers::PeerResponse;
use crate::peers::receive;
use crate::peers::send;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Peers that are asked for one connection.
const MAX_PEERS: usize = 8;
/// How long a peer may take until others are asked as well; it answers within a few
/// milliseconds if it reaches the server.
const ASK_NEXT_AFTER: Duration = Duration::from_millis(25);
/// Time limit of a peer's response; covers its connect to the server.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a peer that doesn't respond is avoided, and one that has no room or is
/// stopping.
const SILENT_PEER_PAUSE: Duration = Duration::from_secs(1);
const UNABLE_PEER_PAUSE: Duration = Duration::from_millis(300);
/// Silence after which a connection between instances is probed, and the interval of
/// the probes.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(1);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// What peers say of a server that none of them has a connection to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerVerdict {
    /// No peer says anything of the server: they didn't respond, had no room or are cut
    /// off themselves.
    Unknown,
    /// Some don't reach it, but too few answered.
    SomeDoNotReach,
    /// None of those asked reaches the server either, or there are none.
    NoneReaches,
}

/// Why a peer has opened no connection.
#[derive(Debug)]
pub(super) enum TunnelError {
    Refused(TunnelRefusal),
    Failed(io::Error),
}

/// The receiving direction of a tunnel.
type AnswerReader = StreamReader<Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>, Bytes>;

/// A connection to a server through a peer.
struct TunnelStream {
    answer: AnswerReader,
    request: OwnedWriteHalf,
    _guard: TunnelGuard,
}

impl Relay {
    /// Opens a connection to a server through the first peer that has one.
    pub(super) async fn open_through_peer(
        &self,
        upstream: &Upstream,
    ) -> Result<OpenedStream, PeerVerdict> {
        let began = clock::now();
        let service = &upstream.service;
        let known = lock(&self.peers).tunnel_peers(service, began);
        let mut answers = AskedPeers::of(&known);
        let peers = self.links.choose_peers(service, known, MAX_PEERS);
        let mut queue = TunnelQueue::new(peers, self.settings.listen.peers);
        let call = |peer| self.call_for_tunnel(peer, upstream.server);
        let mut calls: FuturesUnordered<_> = queue.first().map(call).collect();
        let mut last_cause = None;
        while !calls.is_empty() {
            tokio::select! {
                Some((peer, called)) = calls.next() => match called {
                    Ok(stream) => {
                        self.links.chooser().reached(service, peer, clock::now());
                        self.log_tunnel(upstream, peer, millis(clock::since(began)));
                        return Ok(OpenedStream {
                            stream: Box::new(stream),
                            way: Way::Peer(peer),
                        });
                    }
                    Err(error) => {
                        answers.count(peer, &error);
                        last_cause = Some(self.record_failed_call(upstream, peer, &error));
                        if let TunnelError::Refused(TunnelRefusal::Through(able)) = error {
                            queue.refer_to(able);
                        }
                        calls.extend(queue.after_failure(calls.len()).map(call));
                    }
                },
                () = tokio::time::sleep(ASK_NEXT_AFTER) => {
                    calls.extend(queue.after_silence().map(call));
                }
            }
        }
        counter!("rookferry_tunnels_total", "outcome" => "failed").increment(1);
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "links: no peer has a connection to a server"; "event" => "tunnel_failed",
                "server" => %upstream.server.addr, "service" => &**service,
                "peers" => answers.asked, "local" => answers.local,
                "known" => answers.known(), "known_local" => answers.known_local(),
                "unreached" => answers.unreached, "cut_off" => answers.cut_off,
                "unable" => answers.unable, "failed" => answers.failed,
                "cause" => last_cause, "took_ms" => millis(clock::since(began)));
        }
        Err(answers.verdict(MAX_PEERS))
    }

    fn log_tunnel(&self, upstream: &Upstream, peer: SocketAddr, took_ms: u64) {
        counter!("rookferry_tunnels_total", "outcome" => "opened").increment(1);
        if let Some(log) = self.events.line(Weight::Routine) {
            info!(log, "links: a peer has opened a connection"; "event" => "tunnel_opened",
                "server" => %upstream.server.addr, "service" => &*upstream.service,
                "peer" => %peer, "took_ms" => took_ms);
        }
    }

    /// Records why a peer has opened no connection; returns the cause for logs.
    fn record_failed_call(
        &self,
        upstream: &Upstream,
        peer: SocketAddr,
        error: &TunnelError,
    ) -> String {
        let now = clock::now();
        let service = &upstream.service;
        let mut chooser = self.links.chooser();
        let cause = match error {
            TunnelError::Refused(refusal) => {
                match refusal {
                    TunnelRefusal::NotReached => {
                        chooser.unreached(service, peer, upstream.server, now);
                    }
                    TunnelRefusal::PathBroken | TunnelRefusal::Through(_) => {
                        chooser.cut_off(service, peer, now);
                    }
                    // It may well know other servers.
                    TunnelRefusal::NotListed => {}
                    TunnelRefusal::Full | TunnelRefusal::Stopping => {
                        chooser.avoid(peer, UNABLE_PEER_PAUSE, now);
                    }
                }
                format!("{refusal:?}")
            }
            TunnelError::Failed(error) => {
                chooser.avoid(peer, SILENT_PEER_PAUSE, now);
                error.to_string()
            }
        };
        format!("{peer}: {cause}")
    }

    /// Asks a peer for a connection to a server.
    async fn call_for_tunnel(
        &self,
        peer: SocketAddr,
        server: ServerKey,
    ) -> (SocketAddr, Result<TunnelStream, TunnelError>) {
        let guard = self.links.count_tunnel(peer);
        let call = async {
            let mut stream = TcpStream::connect(peer).await?;
            set_tunnel_options(&stream)?;
            let query = PeerQuery {
                from: self.settings.listen.peers,
                request: PeerRequest::Connect { server },
            };
            send(&mut stream, &query).await?;
            let response: PeerResponse = receive(&mut stream).await?;
            Ok((stream, response))
        };
        let called = tokio::time::timeout(RESPONSE_TIMEOUT, call).await;
        let called = called.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let opened = match called {
            Ok((stream, PeerResponse::Connected)) => Ok(TunnelStream::new(stream, guard)),
            Ok((_, PeerResponse::NotConnected(refusal))) => Err(TunnelError::Refused(refusal)),
            Ok(_) => Err(TunnelError::Failed(ErrorKind::InvalidData.into())),
            Err(error) => Err(TunnelError::Failed(error)),
        };
        (peer, opened)
    }
}

/// Sets what shows that the other end of a tunnel is gone.
pub(super) fn set_tunnel_options(stream: &TcpStream) -> io::Result<()> {
    use rustix::net::sockopt;
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_AFTER)?;
    sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_socket_keepalive(stream, true)?;
    Ok(())
}

impl TunnelStream {
    fn new(stream: TcpStream, guard: TunnelGuard) -> Self {
        let (answer, request) = stream.into_split();
        let frames = FramedRead::new(answer, LengthDelimitedCodec::new());
        Self {
            answer: StreamReader::new(Box::pin(answer_bytes(frames))),
            request,
            _guard: guard,
        }
    }
}

/// The bytes of the frames up to the empty one; an error if that is missing.
fn answer_bytes(
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(frames), async |frames| {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => None,
            Some(Ok(frame)) => Some((Ok(frame.freeze()), Some(frames))),
            Some(Err(error)) => Some((Err(error), None)),
            None => {
                let error = io::Error::new(ErrorKind::UnexpectedEof, "the tunnel broke off");
                Some((Err(error), None))
            }
        }
    })
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.answer).poll_read(context, buffer)
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.request).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.request).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.request).poll_shutdown(context)
    }
}
