//! Size of values in datagrams.

use postcard::ser_flavors::Size;
use rookferry_core::EncodedSize;
use serde::Serialize;

/// Sizes as encoded by `postcard`.
pub(super) struct DatagramSize;

impl EncodedSize for DatagramSize {
    fn encoded_bytes<T: Serialize>(&self, value: &T) -> usize {
        // Counting bytes fails only for types without a `postcard` encoding.
        postcard::serialize_with_flavor(value, Size::default()).unwrap_or_default()
    }
}
