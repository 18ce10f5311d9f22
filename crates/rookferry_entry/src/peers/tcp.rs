//! Requests between peers over TCP: one authenticated request per connection.
//!
//! The server sends a random nonce. The client proves with it that it holds the
//! site's secret, and sends its request along with the proof. Messages are encoded
//! with `postcard` after a 4-byte big-endian length. They aren't encrypted: the
//! site's network is trusted for confidentiality, but not for authenticity.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rookferry_core::ClaimKey;
use rookferry_wire::PeerRequest;
use rookferry_wire::PeerResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::debug;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::entry::EntryState;
use crate::http::serve_forwarded;

const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
/// Largest message, above the platform's largest object.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Time limit of a peer request that doesn't run a call.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of a peer request that runs a call.
const RUN_TIMEOUT: Duration = Duration::from_mins(1);
/// Most connections of peers served at once.
const MAX_PEERS: usize = 256;

/// Why a peer request failed.
#[derive(Debug, Snafu)]
pub(crate) enum PeerError {
    /// The connection failed.
    #[snafu(display("connection to the peer failed: {source}"))]
    Connection { source: io::Error },
    /// The peer didn't respond in time.
    #[snafu(display("peer did not respond in time"))]
    TimedOut,
    /// A message can't be encoded or decoded.
    #[snafu(display("invalid peer message: {source}"))]
    Message { source: postcard::Error },
}

impl PeerError {
    /// Whether the connection was refused: no process listens at the peer's address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Connection { source } if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Sends a request to a peer and waits for its response.
pub(crate) async fn send_request(
    entry: &EntryState,
    addr: SocketAddr,
    request: &PeerRequest,
) -> Result<PeerResponse, PeerError> {
    let wait = match request {
        PeerRequest::Run(_) => RUN_TIMEOUT,
        _ => REQUEST_TIMEOUT,
    };
    let Ok(answer) = tokio::time::timeout(wait, exchange(entry, addr, request)).await else {
        return Err(PeerError::TimedOut);
    };
    answer
}

async fn exchange(
    entry: &EntryState,
    addr: SocketAddr,
    request: &PeerRequest,
) -> Result<PeerResponse, PeerError> {
    let mut stream = TcpStream::connect(addr).await.context(ConnectionSnafu)?;
    let mut nonce = [0; NONCE_BYTES];
    stream
        .read_exact(&mut nonce)
        .await
        .context(ConnectionSnafu)?;
    let proof = entry.peers.key.connection_proof(&nonce);
    stream.write_all(&proof).await.context(ConnectionSnafu)?;
    write_message(&mut stream, request).await?;
    read_message(&mut stream).await
}

pub(super) async fn serve(entry: Arc<EntryState>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_PEERS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, source)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let entry = entry.clone();
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = serve_connection(&entry, stream).await {
                debug!(entry.log, "tcp::serve: request dropped";
                    "part" => "peers", "source" => %source, "error" => %error);
            }
        });
    }
}

async fn serve_connection(entry: &Arc<EntryState>, mut stream: TcpStream) -> Result<(), PeerError> {
    let Ok(request) = tokio::time::timeout(REQUEST_TIMEOUT, receive(entry, &mut stream)).await
    else {
        return Err(PeerError::TimedOut);
    };
    let answer = respond(entry, request?).await;
    write_message(&mut stream, &answer).await
}

async fn receive(entry: &EntryState, stream: &mut TcpStream) -> Result<PeerRequest, PeerError> {
    let nonce: [u8; NONCE_BYTES] = rand::rng().random();
    stream.write_all(&nonce).await.context(ConnectionSnafu)?;
    let mut proof = [0; PROOF_BYTES];
    stream
        .read_exact(&mut proof)
        .await
        .context(ConnectionSnafu)?;
    if !entry.peers.key.verify_proof(&nonce, &proof) {
        let denied = io::Error::from(io::ErrorKind::PermissionDenied);
        return Err(denied).context(ConnectionSnafu);
    }
    read_message(stream).await
}

async fn respond(entry: &Arc<EntryState>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Config { above } => {
            let (version, body) = entry.config.body();
            if version <= above {
                return PeerResponse::Nothing;
            }
            PeerResponse::Config {
                version,
                body: body.to_string(),
            }
        }
        PeerRequest::Instances => PeerResponse::Instances(entry.registry.list()),
        PeerRequest::Decision { request_id } => {
            let record = entry.decisions.get(&request_id);
            let record = record.and_then(|record| serde_json::to_string(&*record).ok());
            record.map_or(PeerResponse::Nothing, |record| PeerResponse::Decision {
                record,
            })
        }
        PeerRequest::Claim {
            object,
            digest,
            claim,
            window_ms,
        } => {
            let key = ClaimKey { digest, object };
            let reply = entry
                .claims
                .claim_locally(&key, claim, window_ms, true)
                .await;
            PeerResponse::Claim(reply)
        }
        PeerRequest::Run(call) => serve_forwarded(entry, call).await,
    }
}

async fn write_message<T: Serialize>(stream: &mut TcpStream, message: &T) -> Result<(), PeerError> {
    let bytes = postcard::to_stdvec(message).context(MessageSnafu)?;
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    stream
        .write_all(&length.to_be_bytes())
        .await
        .context(ConnectionSnafu)?;
    stream.write_all(&bytes).await.context(ConnectionSnafu)
}

async fn read_message<T: DeserializeOwned>(stream: &mut TcpStream) -> Result<T, PeerError> {
    let length = stream.read_u32().await.context(ConnectionSnafu)? as usize;
    if length > MAX_MESSAGE_BYTES {
        let too_large = io::Error::from(io::ErrorKind::InvalidData);
        return Err(too_large).context(ConnectionSnafu);
    }
    let mut bytes = vec![0; length];
    stream
        .read_exact(&mut bytes)
        .await
        .context(ConnectionSnafu)?;
    postcard::from_bytes(&bytes).context(MessageSnafu)
}
