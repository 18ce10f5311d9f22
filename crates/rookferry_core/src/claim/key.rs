//! Keys of requests that may run once, and the objects they live in.
//!
//! A `UUIDv7` key carries its own time and lives in that time's object, so that
//! objects stay small and a key older than the window can be refused for good
//! by anyone, whatever has been deleted. Any other key is opaque: its object
//! isn't cut by time, and it is remembered for the window.

use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;
use snafu::ensure;
use uuid::Uuid;
use uuid::Version;

/// Longest key taken, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Time that one object of timed keys spans.
const BUCKET_MS: u64 = 10 * 60 * 1000;
/// Shards of each span of time.
const TIMED_SHARDS: u16 = 8;
/// Shards of opaque keys.
const OPAQUE_SHARDS: u16 = 64;
/// How far a key's time may lie ahead of the instance's clock.
const MAX_AHEAD_MS: u64 = 60 * 1000;
/// Buckets that an object is kept beyond its window, for clocks that differ.
const DELETE_MARGIN_BUCKETS: u64 = 2;
/// Buckets that are looked at for deletion.
const DELETE_BUCKETS: u64 = 6;
/// Hex digits kept of a digest, 128 bits.
const DIGEST_DIGITS: usize = 32;

/// Why a key can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyFault {
    /// Empty or too long.
    #[snafu(display("a key of {bytes} bytes; use 1 to {MAX_KEY_BYTES}, best a new UUIDv7"))]
    Length {
        /// Its length.
        bytes: usize,
    },
    /// Its time is older than the window.
    #[snafu(display(
        "the key's time is {age_ms} ms ago, more than the window of {window_ms} ms; it will never run"
    ))]
    Expired {
        /// How old it is.
        age_ms: u64,
        /// The window.
        window_ms: u64,
    },
    /// Its time lies ahead.
    #[snafu(display(
        "the key's time is {ahead_ms} ms ahead of this site; check the caller's clock"
    ))]
    Ahead {
        /// By how much.
        ahead_ms: u64,
    },
}

/// A key, and where its claim lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Digest of account and key.
    pub digest: String,
    /// Name of the object.
    pub object: String,
}

impl ClaimKey {
    /// Reads a key of an account at a time given in milliseconds since 1970.
    ///
    /// # Errors
    ///
    /// If its length or its time is out of bounds.
    pub fn parse(account: &str, key: &str, now_ms: u64, window_ms: u64) -> Result<Self, KeyFault> {
        let bytes = key.len();
        ensure!((1..=MAX_KEY_BYTES).contains(&bytes), LengthSnafu { bytes });
        let hash = Sha256::digest(format!("{account}\0{key}"));
        let shard = u16::from_be_bytes([hash[0], hash[1]]);
        let digest = hex::encode(hash)[..DIGEST_DIGITS].to_owned();
        let Some(key_ms) = uuid_time_ms(key) else {
            return Ok(Self {
                digest,
                object: format!("opaque-{}", shard % OPAQUE_SHARDS),
            });
        };
        let age_ms = now_ms.saturating_sub(key_ms);
        ensure!(age_ms <= window_ms, ExpiredSnafu { age_ms, window_ms });
        let ahead_ms = key_ms.saturating_sub(now_ms);
        ensure!(ahead_ms <= MAX_AHEAD_MS, AheadSnafu { ahead_ms });
        Ok(Self {
            digest,
            object: format!("timed-{}-{}", key_ms / BUCKET_MS, shard % TIMED_SHARDS),
        })
    }

    /// Objects whose keys have all left the window a while ago, for whoever
    /// deletes them; some earlier ones as well, should they have been missed.
    #[must_use]
    pub fn expired_objects(now_ms: u64, window_ms: u64) -> Vec<String> {
        let oldest_kept_ms = now_ms.saturating_sub(window_ms + MAX_AHEAD_MS);
        let oldest_kept = oldest_kept_ms / BUCKET_MS;
        let newest = oldest_kept.saturating_sub(DELETE_MARGIN_BUCKETS);
        let oldest = newest.saturating_sub(DELETE_BUCKETS);
        let buckets = oldest..newest;
        buckets
            .flat_map(|bucket| {
                (0..TIMED_SHARDS).map(move |shard| format!("timed-{bucket}-{shard}"))
            })
            .collect()
    }

    /// Whether a timed object can hold no key of the window any more, so that
    /// it may be deleted.
    #[must_use]
    pub fn is_object_expired(object: &str, now_ms: u64, window_ms: u64) -> bool {
        let mut parts = object.split('-');
        let ("timed", Some(bucket)) = (parts.next().unwrap_or_default(), parts.next()) else {
            return false;
        };
        let Ok(bucket) = bucket.parse::<u64>() else {
            return false;
        };
        let end_ms = bucket.saturating_add(1).saturating_mul(BUCKET_MS);
        end_ms
            .saturating_add(window_ms)
            .saturating_add(MAX_AHEAD_MS)
            < now_ms
    }
}

fn uuid_time_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(key).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos / 1_000_000))
}
