//! Transfers bodies (configuration, server list) between instances over TCP.
//!
//! Each message is a length, as four big-endian bytes, followed by its `postcard`
//! encoding.
//!
//! Load pattern: after a change many instances request the same body at once. An instance
//! sends it to a few peers at a time, by its link's bandwidth, and redirects the others
//! to peers that already have it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use rand::seq::IndexedRandom;
use rookferry_core::BodyOffer;
use rookferry_core::BodySource;
use rookferry_core::ListFingerprint;
use rookferry_net::clock;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::builder::advertised_ms;
use super::message::PeerQuery;
use super::message::PeerRequest;
use super::message::PeerResponse;
use crate::links::ServedTunnel;
use crate::mutex::lock;
use crate::relay::Relay;
use crate::sync::PeerList;

/// Time limit of a request, including the connect.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest message, in bytes; a configuration with thousands of routes fits.
const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;
/// Peers tried for one body; each that has it names some others that have it too.
const MAX_PEERS_TRIED: usize = 8;
/// Pause before the same peer is asked again while no other has the body: about the time
/// it takes to send the body to one peer.
const SAME_PEER_PAUSE: Duration = Duration::from_millis(80);
/// Pause after a failed accept, whose cause is a lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A peer's response to a request for a body.
struct PeerBody {
    /// The peer that sent it, after redirects.
    from: SocketAddr,
    requested_at: Instant,
    response: PeerResponse,
}

/// Serves the requests of peers until the process exits.
pub(crate) async fn serve_peers(relay: Arc<Relay>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let relay = relay.clone();
        tokio::spawn(async move {
            // The peer sees a failure as a missing response, or as a broken tunnel.
            let served = tokio::time::timeout(REQUEST_TIMEOUT, serve(&relay, stream)).await;
            if let Ok(Ok(Some((tunnel, stream)))) = served {
                let _ = tunnel.run(stream).await;
            }
        });
    }
}

/// Responds to a request; returns the tunnel that is to be served next, if any.
async fn serve(
    relay: &Relay,
    mut stream: TcpStream,
) -> io::Result<Option<(ServedTunnel, TcpStream)>> {
    let query: PeerQuery = receive(&mut stream).await?;
    let from = query.from;
    match query.request {
        PeerRequest::Connect { server } => match relay.serve_tunnel(server).await {
            Ok(tunnel) => {
                send(&mut stream, &PeerResponse::Connected).await?;
                return Ok(Some((tunnel, stream)));
            }
            Err(refusal) => send(&mut stream, &PeerResponse::NotConnected(refusal)).await?,
        },
        PeerRequest::Config { newer_than } => {
            let version = relay.config_version();
            let newer = version.filter(|own| *own > newer_than);
            let body = || config_response(relay);
            send_body(&mut stream, &relay.config_source, newer, from, body).await?;
        }
        PeerRequest::Servers { had } => {
            if let Some(changes) = changes_response(relay, had) {
                send(&mut stream, &changes).await?;
                return Ok(None);
            }
            let newer = Some(relay.servers_version()).filter(|own| *own > had.version);
            let body = || servers_response(relay);
            send_body(&mut stream, &relay.servers_source, newer, from, body).await?;
        }
    }
    Ok(None)
}

/// Sends a body, or redirects the requester to peers that have it.
async fn send_body<V: Copy + Default + PartialEq>(
    stream: &mut TcpStream,
    source: &Mutex<BodySource<V>>,
    version: Option<V>,
    to: SocketAddr,
    body: impl FnOnce() -> PeerResponse,
) -> io::Result<()> {
    let Some(version) = version else {
        return send(stream, &PeerResponse::NothingNewer).await;
    };
    let offer = lock(source).offer(version);
    match offer {
        BodyOffer::Elsewhere(others) => send(stream, &PeerResponse::Elsewhere(others)).await,
        BodyOffer::Body => {
            let mut body_transfer = BodyTransfer {
                source,
                version,
                received_by: None,
            };
            send(stream, &body()).await?;
            // The requester closes the connection once it has read the whole body.
            let _ = stream.read(&mut [0]).await?;
            body_transfer.received_by = Some(to);
            Ok(())
        }
    }
}

/// A body transfer in progress; its end is recorded when it is dropped, also by a
/// timeout.
struct BodyTransfer<'a, V: Copy + Default + PartialEq> {
    source: &'a Mutex<BodySource<V>>,
    version: V,
    received_by: Option<SocketAddr>,
}

impl<V: Copy + Default + PartialEq> Drop for BodyTransfer<'_, V> {
    fn drop(&mut self) {
        lock(self.source).finish_transfer(self.version, self.received_by);
    }
}

fn config_response(relay: &Relay) -> PeerResponse {
    let view = relay.view.load_full();
    let Some(index) = &view.index else {
        return PeerResponse::NothingNewer;
    };
    let config = index.config();
    PeerResponse::Config {
        config: Box::new(config.clone()),
        age_ms: relay.config_age_ms(config.version, clock::now()),
    }
}

fn servers_response(relay: &Relay) -> PeerResponse {
    let view = relay.view.load_full();
    let Some(table) = &view.servers else {
        return PeerResponse::NothingNewer;
    };
    PeerResponse::Servers {
        version: table.version(),
        servers: table.listed().cloned().collect(),
        age_ms: relay.servers_age(clock::now()).map(advertised_ms),
    }
}

/// The difference from an earlier list that is still in the history. It is small, so it
/// is sent to every requester instead of a redirect.
fn changes_response(relay: &Relay, had: ListFingerprint) -> Option<PeerResponse> {
    let view = relay.view.load_full();
    let table = view.servers.as_ref()?;
    let history = lock(&relay.list_history);
    let list = history.fingerprint();
    if list.version != table.version() || list.version <= had.version {
        return None;
    }
    let delta = history.since(had, |id| table.entry(id).cloned())?;
    drop(history);
    Some(PeerResponse::ServerChanges {
        list,
        delta,
        age_ms: relay.servers_age(clock::now()).map(advertised_ms),
    })
}

/// Fetches a peer's configuration and activates it if it is newer.
pub(super) async fn fetch_config(relay: &Relay, from: SocketAddr) {
    let newer_than = relay.config_version().unwrap_or(0);
    let request = PeerRequest::Config { newer_than };
    let is_present = || relay.config_version() > Some(newer_than);
    let Some(PeerBody {
        requested_at,
        response,
        ..
    }) = request_following_redirects(relay, from, request, is_present).await
    else {
        return;
    };
    if let PeerResponse::Config { config, age_ms } = response {
        // The peer computed the age after the request was sent, so it is subtracted from
        // the time of the request. A configuration without an age counts as too old to
        // serve by.
        let bound = relay.settings.bounds.max_config_age();
        let age = age_ms.map_or(bound, Duration::from_millis);
        let confirmed_at = requested_at.checked_sub(age).unwrap_or(requested_at);
        relay.adopt_config(*config, "peer", confirmed_at);
        relay.record_contact_from_bodies();
    }
}

/// Fetches a peer's list of backend servers and passes it on if it is newer.
pub(super) async fn fetch_servers(relay: &Relay, from: SocketAddr) {
    let had = lock(&relay.list_history).fingerprint();
    if !request_servers(relay, from, had).await {
        // The own list differs from the one that the peer remembers under this version.
        request_servers(relay, from, ListFingerprint::default()).await;
    }
}

/// Requests the list of servers, given the list that this instance has. Returns whether
/// the response could be used.
async fn request_servers(relay: &Relay, from: SocketAddr, had: ListFingerprint) -> bool {
    let newer_than = relay.servers_version();
    let is_present = || relay.servers_version() > newer_than;
    let outcome =
        request_following_redirects(relay, from, PeerRequest::Servers { had }, is_present).await;
    let Some(PeerBody {
        from,
        requested_at,
        response,
    }) = outcome
    else {
        return true;
    };
    let (version, servers, age_ms) = match response {
        PeerResponse::Servers {
            version,
            servers,
            age_ms,
        } => {
            count_list("whole");
            (version, servers, age_ms)
        }
        PeerResponse::ServerChanges {
            list,
            delta,
            age_ms,
        } => {
            let view = relay.view.load_full();
            let earlier = view.servers.as_ref().map(|table| table.listed());
            let Some(servers) = delta.applied(earlier.into_iter().flatten(), list.digest) else {
                count_list("changes_unusable");
                return false;
            };
            count_list("changes");
            (list.version, servers, age_ms)
        }
        _ => return true,
    };
    // The peer computed the age after the request was sent.
    let newest_at =
        age_ms.and_then(|age_ms| requested_at.checked_sub(Duration::from_millis(age_ms)));
    let list = PeerList {
        version,
        servers,
        newest_at,
        from,
    };
    relay.peer_servers.send_replace(Some(list));
    true
}

/// Counts the server lists received from peers, by their form.
fn count_list(form: &'static str) {
    counter!("rookferry_lists_from_peers_total", "form" => form).increment(1);
}

/// Requests a body from a peer, and from those it redirects to, until one sends it.
/// Returns the response with its sender and the time at which that peer was asked.
async fn request_following_redirects(
    relay: &Relay,
    from: SocketAddr,
    request: PeerRequest,
    is_present: impl Fn() -> bool,
) -> Option<PeerBody> {
    let query = PeerQuery {
        from: relay.settings.listen.peers,
        request,
    };
    let mut to = from;
    for _ in 0..MAX_PEERS_TRIED {
        let requested_at = clock::now();
        let others = match send_request(to, query).await? {
            PeerResponse::Elsewhere(others) => others,
            response => {
                return Some(PeerBody {
                    from: to,
                    requested_at,
                    response,
                });
            }
        };
        if let Some(other) = others.choose(&mut rand::rng()) {
            to = *other;
            continue;
        }
        tokio::time::sleep(SAME_PEER_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
        if is_present() {
            return None;
        }
    }
    None
}

async fn send_request(to: SocketAddr, query: PeerQuery) -> Option<PeerResponse> {
    let call = async {
        let mut stream = TcpStream::connect(to).await?;
        send(&mut stream, &query).await?;
        receive(&mut stream).await
    };
    let response = tokio::time::timeout(REQUEST_TIMEOUT, call).await;
    response.ok()?.ok()
}

/// Sends a message: its length, then its encoding.
pub(crate) async fn send<T: Serialize>(stream: &mut TcpStream, message: &T) -> io::Result<()> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await
}

/// Receives a message, and no byte of what follows.
pub(crate) async fn receive<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length);
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::other("the message exceeds the size limit"));
    }
    let mut bytes = vec![0; usize::try_from(length).map_err(io::Error::other)?];
    stream.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}
