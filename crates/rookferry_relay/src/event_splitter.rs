//! Splits the bytes of a server-sent event stream into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers bytes until they complete an event, and tracks the last event's id.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

/// Most bytes of the blank line that ends an event.
const BLANK_LINE_BYTES: usize = 4;

/// More than [`MAX_EVENT_BYTES`] without the end of an event.
#[derive(Debug)]
pub(crate) struct EventTooLong;

impl EventSplitter {
    /// Starts after the event with this id, or at the beginning.
    pub(crate) fn resuming_after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Adds bytes; returns the whole events that they complete, if any.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        // What was pending ends no event, but for a blank line that has begun.
        let from = self.pending.len().saturating_sub(BLANK_LINE_BYTES - 1);
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending[from..]);
        let Some(end) = end.map(|end| from + end) else {
            if self.pending.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        let events = self.pending.split_to(end).freeze();
        if let Some(id) = last_id_in(&events) {
            self.last_id = Some(id);
        }
        Ok(Some(events))
    }

    /// The id of the last whole event, if any had one.
    pub(crate) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an incomplete event is buffered.
    pub(crate) fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the incomplete event of a broken stream.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }
}

/// The offset behind the blank line that ends the last whole event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

fn last_id_in(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
