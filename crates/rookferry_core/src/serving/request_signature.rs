//! What requests have in common, by which crashes under them are counted.
//!
//! A caller that retries gives the request a new id, and another instance may receive it.
//! What stays the same is hashed: the client account, the method, the path with its
//! query, and the body. Requests that differ in all of that may still share a segment of
//! their prompts, which has a signature of its own.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use snafu::ResultExt;
use snafu::Snafu;

/// Bytes of the hash that are kept. Heartbeats carry signatures, so they are short; among
/// a million requests the chance that any two collide is 1 in 37 million.
const SIGNATURE_BYTES: usize = 8;

/// The text is not a valid signature.
#[derive(Debug, Snafu)]
#[snafu(display("invalid request signature {text:?}: {source}"))]
pub struct SignatureError {
    text: String,
    source: hex::FromHexError,
}

/// A hash over the content of a request, the same for each retry, or over a prompt segment,
/// the same for each request with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestSignature([u8; SIGNATURE_BYTES]);

impl RequestSignature {
    /// The signature of a request; `account` is `None` without a client account, `path`
    /// includes the query.
    #[must_use]
    pub fn new(account: Option<&str>, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [account.unwrap_or_default(), method, path] {
            // The length separates a part from the next.
            hasher.update(part.len().to_be_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Self::of_hash(hasher)
    }

    /// The signature of a prompt segment at the engines of a service.
    #[must_use]
    pub fn of_segment(service: &str, segment: &str) -> Self {
        let mut hasher = Sha256::new();
        // No account is as long, so that no request has the same input.
        hasher.update(usize::MAX.to_be_bytes());
        hasher.update(service.len().to_be_bytes());
        hasher.update(service);
        hasher.update(segment);
        Self::of_hash(hasher)
    }

    fn of_hash(hasher: Sha256) -> Self {
        let hash = hasher.finalize();
        let mut signature = [0; SIGNATURE_BYTES];
        signature.copy_from_slice(&hash[..SIGNATURE_BYTES]);
        Self(signature)
    }
}

impl fmt::Display for RequestSignature {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl FromStr for RequestSignature {
    type Err = SignatureError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut signature = [0; SIGNATURE_BYTES];
        hex::decode_to_slice(text, &mut signature).context(SignatureSnafu { text })?;
        Ok(Self(signature))
    }
}
