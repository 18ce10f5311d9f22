//! Idempotency keys, and the shard objects that store their claims.
//!
//! A `UUIDv7` key carries a timestamp and is stored in an object of its time
//! bucket. Objects therefore stay small, and any instance can refuse a key
//! older than the window permanently, even after its object has been deleted.
//! Any other key is opaque: its object isn't split by time, and its claim is
//! remembered for the window.

use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;
use snafu::ensure;
use uuid::Uuid;
use uuid::Version;

/// Longest key accepted, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Time span of one bucket of timed keys, in milliseconds.
const BUCKET_MS: u64 = 10 * 60 * 1000;
/// Shards of each bucket of timed keys.
const TIMED_SHARDS: u16 = 8;
/// Shards of opaque keys.
const OPAQUE_SHARDS: u16 = 64;
/// How far a key's timestamp may be ahead of this instance's clock, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 60 * 1000;
/// Buckets that an object is retained beyond its window, to allow for clock skew.
const EXPIRY_MARGIN_BUCKETS: u64 = 2;
/// Expired buckets listed for deletion at a time.
const EXPIRED_BUCKETS_LISTED: u64 = 6;
/// Hex digits retained of a digest (128 bits).
const DIGEST_HEX_DIGITS: usize = 32;

/// Why an idempotency key is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ClaimKeyError {
    /// Empty or too long.
    #[snafu(display(
        "key length is {bytes} bytes; use 1 to {MAX_KEY_BYTES} bytes, preferably a new UUIDv7"
    ))]
    Length {
        /// Length of the key.
        bytes: usize,
    },
    /// Its timestamp is older than the window.
    #[snafu(display(
        "the key's timestamp is {age_ms} ms old, beyond the window of {window_ms} ms; it will never run"
    ))]
    Expired {
        /// Age of the timestamp.
        age_ms: u64,
        /// Longest age accepted.
        window_ms: u64,
    },
    /// Its timestamp is too far in the future.
    #[snafu(display(
        "the key's timestamp is {ahead_ms} ms ahead of this site's clock; check the caller's clock"
    ))]
    InFuture {
        /// How far it is ahead.
        ahead_ms: u64,
    },
}

/// An idempotency key and the object that stores its claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Truncated hex SHA-256 of account and key.
    pub digest: String,
    /// Name of the shard object.
    pub object: String,
}

impl ClaimKey {
    /// Checks a key of a client account; `now_ms` counts from the Unix epoch.
    ///
    /// # Errors
    ///
    /// If the key's length or its timestamp is out of bounds.
    pub fn parse(
        account: &str,
        key: &str,
        now_ms: u64,
        window_ms: u64,
    ) -> Result<Self, ClaimKeyError> {
        let bytes = key.len();
        ensure!((1..=MAX_KEY_BYTES).contains(&bytes), LengthSnafu { bytes });
        let hash = Sha256::digest(format!("{account}\0{key}"));
        let shard = u16::from_be_bytes([hash[0], hash[1]]);
        let digest = hex::encode(hash)[..DIGEST_HEX_DIGITS].to_owned();
        let Some(key_ms) = uuid_v7_time_ms(key) else {
            return Ok(Self {
                digest,
                object: format!("opaque-{}", shard % OPAQUE_SHARDS),
            });
        };
        let age_ms = now_ms.saturating_sub(key_ms);
        ensure!(age_ms <= window_ms, ExpiredSnafu { age_ms, window_ms });
        let ahead_ms = key_ms.saturating_sub(now_ms);
        ensure!(ahead_ms <= MAX_CLOCK_SKEW_MS, InFutureSnafu { ahead_ms });
        Ok(Self {
            digest,
            object: format!("timed-{}-{}", key_ms / BUCKET_MS, shard % TIMED_SHARDS),
        })
    }

    /// Names of the objects whose keys are all older than the window and its margin.
    ///
    /// They can be deleted. The last few buckets are listed, not only the newest
    /// one, so that an object missed by earlier deletions is found again.
    #[must_use]
    pub fn expired_objects(now_ms: u64, window_ms: u64) -> Vec<String> {
        let oldest_accepted_ms = now_ms.saturating_sub(window_ms + MAX_CLOCK_SKEW_MS);
        let oldest_accepted = oldest_accepted_ms / BUCKET_MS;
        let newest = oldest_accepted.saturating_sub(EXPIRY_MARGIN_BUCKETS);
        let oldest = newest.saturating_sub(EXPIRED_BUCKETS_LISTED);
        let buckets = oldest..newest;
        buckets
            .flat_map(|bucket| {
                (0..TIMED_SHARDS).map(move |shard| format!("timed-{bucket}-{shard}"))
            })
            .collect()
    }

    /// Whether no key of a timed object is accepted any more, so that the object
    /// can be deleted; `false` for objects of opaque keys.
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
            .saturating_add(MAX_CLOCK_SKEW_MS)
            < now_ms
    }
}

/// Unix time of a `UUIDv7` in milliseconds, `None` for other keys.
fn uuid_v7_time_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(key).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos / 1_000_000))
}
