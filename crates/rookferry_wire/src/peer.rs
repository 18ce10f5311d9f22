//! Messages between entry instances, encoded by `postcard`: heartbeats in
//! authenticated datagrams, and requests over TCP for content that doesn't fit into
//! a datagram.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use snafu::ensure;

use crate::Claim;
use crate::ClaimRefusal;
use crate::DomainId;
use crate::Incarnation;
use crate::InstanceId;
use crate::InstanceList;
use crate::ObjectVersion;
use crate::RequestId;

/// Largest datagram that is sent or accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Kind of the platform object that contains the configuration.
pub const CONFIG_KIND: &str = "config";
/// Name of the platform object that contains the configuration.
pub const CONFIG_NAME: &str = "site";

const TAG_BYTES: usize = 16;

/// Compact state of one engine, as observed by the instance that polls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// Hash of the engine's name.
    pub engine: u32,
    /// Number of streams on the engine.
    pub streams: u16,
    /// Step time, in microseconds.
    pub step_us: u32,
    /// Age of these figures when they were sent, in milliseconds.
    pub age_ms: u16,
    /// Hash of the engine's [`EngineInfo`](crate::EngineInfo); shows when it has changed.
    pub info_tag: u16,
    /// Whether the engine is not responding.
    pub is_lost: bool,
    /// Whether the engine is leaving.
    pub is_leaving: bool,
}

/// State that an entry instance sends to its peers several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub instance: InstanceId,
    /// Current incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number; increases with each heartbeat of an incarnation.
    pub seq: u64,
    /// Failure domain of the sender.
    pub failure_domain: DomainId,
    /// TCP address on which the sender accepts peer requests.
    pub peer_addr: SocketAddr,
    /// Version of the sender's active configuration.
    pub config_version: ObjectVersion,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Current heartbeat interval in milliseconds; receivers expect the next one by it.
    pub interval_ms: u16,
    /// Engines that the sender polls; a rotating subset if not all fit.
    pub engines: Vec<EngineDigest>,
}

/// A request from one entry instance to another, over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Read the configuration if it is newer than a version.
    Config {
        /// The version that the requester has.
        above: ObjectVersion,
    },
    /// Read the platform's list of instances as the receiver last read it.
    Instances,
    /// Read the record of a routing decision.
    Decision {
        /// Id of the request that was decided on.
        request_id: RequestId,
    },
    /// Write a claim; the receiver writes this object on behalf of all instances.
    Claim {
        /// Name of the object that the claim is written to.
        object: String,
        /// Digest of the idempotency key.
        digest: String,
        /// The requester's claim.
        claim: Claim,
        /// How long claims are retained, in milliseconds.
        window_ms: u64,
    },
    /// Serve a call whose key only the receiver may dispatch, because the receiver owns
    /// the key's claim or issued the key as a ticket.
    Run(KeyedCall),
}

/// A call that may run only once, forwarded to the owner of its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCall {
    /// The idempotency key.
    pub key: String,
    /// Name of the client account.
    pub account: String,
    /// Name of the plain service and path within it; `None` for a model call.
    pub service: Option<(String, String)>,
    /// HTTP method, for plain services.
    pub method: String,
    /// Request labels as sent by the client.
    pub labels: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// Result of a claim that a peer requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The claim is written; the requester may dispatch the work.
    Granted,
    /// The key already has another claim.
    Taken(Claim),
    /// The claim was not written.
    Refused(ClaimRefusal),
}

/// Response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// A newer configuration.
    Config {
        /// Version of the configuration.
        version: ObjectVersion,
        /// The configuration as JSON.
        body: String,
    },
    /// There is no newer configuration, or the requested item is unknown.
    Nothing,
    /// The platform's list of instances.
    Instances(InstanceList),
    /// Record of a routing decision.
    Decision {
        /// The record as JSON.
        record: String,
    },
    /// Result of a claim.
    Claim(ClaimResponse),
    /// The response to return to the client.
    Ran {
        /// HTTP status.
        status: u16,
        /// Value of the `Content-Type` header.
        content_type: String,
        /// Id of the request at the key's owner.
        request_id: RequestId,
        /// Response body.
        body: Vec<u8>,
    },
}

/// Error of encoding or decoding a datagram.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum DatagramError {
    /// The datagram is too large or too small.
    #[snafu(display("datagram of {bytes} bytes is outside the limits"))]
    Size {
        /// Size of the datagram, in bytes.
        bytes: usize,
    },
    /// The authentication tag doesn't match.
    #[snafu(display("datagram's tag does not match the site's key"))]
    Tag,
    /// The message could not be encoded or decoded.
    #[snafu(display("datagram could not be encoded or decoded: {message}"))]
    Format {
        /// Error message of the codec.
        message: String,
    },
}

/// Symmetric key of a site that authenticates datagrams and peer connections.
#[derive(Clone)]
pub struct DatagramKey([u8; 32]);

impl DatagramKey {
    /// Derives the key from the site secret in the settings.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(
            "rookferry 2026 peer datagrams v1",
            secret.as_bytes(),
        ))
    }

    /// Encodes a heartbeat and appends its authentication tag.
    ///
    /// # Errors
    ///
    /// If the datagram exceeds [`MAX_DATAGRAM_BYTES`] or encoding fails.
    pub fn seal(&self, heartbeat: &Heartbeat) -> Result<Vec<u8>, DatagramError> {
        self.seal_message(heartbeat)
    }

    /// Encodes a message and appends its authentication tag.
    ///
    /// # Errors
    ///
    /// If the datagram exceeds [`MAX_DATAGRAM_BYTES`] or encoding fails.
    pub fn seal_message(&self, message: &impl Serialize) -> Result<Vec<u8>, DatagramError> {
        let mut bytes = postcard::to_stdvec(message).map_err(|error| DatagramError::Format {
            message: error.to_string(),
        })?;
        let tag = self.tag(&bytes);
        bytes.extend_from_slice(&tag);
        ensure!(
            bytes.len() <= MAX_DATAGRAM_BYTES,
            SizeSnafu { bytes: bytes.len() }
        );
        Ok(bytes)
    }

    /// Verifies and decodes a heartbeat.
    ///
    /// # Errors
    ///
    /// If size, tag or encoding is invalid; the caller must drop the datagram.
    pub fn open(&self, datagram: &[u8]) -> Result<Heartbeat, DatagramError> {
        self.open_message(datagram)
    }

    /// Verifies and decodes a message.
    ///
    /// # Errors
    ///
    /// If size, tag or encoding is invalid; the caller must drop the datagram.
    pub fn open_message<T: DeserializeOwned>(&self, datagram: &[u8]) -> Result<T, DatagramError> {
        let bytes = datagram.len();
        ensure!(
            (TAG_BYTES + 1..=MAX_DATAGRAM_BYTES).contains(&bytes),
            SizeSnafu { bytes }
        );
        let (body, tag) = datagram.split_at(bytes - TAG_BYTES);
        let Ok(tag) = <[u8; TAG_BYTES]>::try_from(tag) else {
            return SizeSnafu { bytes }.fail();
        };
        ensure!(constant_time_eq(self.tag(body), tag), TagSnafu);
        postcard::from_bytes(body).map_err(|error| DatagramError::Format {
            message: error.to_string(),
        })
    }

    /// Computes the proof that the opener of a peer connection has the key.
    #[must_use]
    pub fn connection_proof(&self, nonce: &[u8]) -> [u8; 32] {
        *blake3::keyed_hash(&self.0, nonce).as_bytes()
    }

    /// Whether `proof` was computed with this key for `nonce`; compares in constant time.
    #[must_use]
    pub fn verify_proof(&self, nonce: &[u8], proof: &[u8; 32]) -> bool {
        blake3::keyed_hash(&self.0, nonce) == blake3::Hash::from_bytes(*proof)
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let full = blake3::keyed_hash(&self.0, body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full.as_bytes()[..TAG_BYTES]);
        tag
    }
}

fn constant_time_eq(left: [u8; TAG_BYTES], right: [u8; TAG_BYTES]) -> bool {
    left.iter()
        .zip(right)
        .fold(0, |difference, (a, b)| difference | (a ^ b))
        == 0
}
