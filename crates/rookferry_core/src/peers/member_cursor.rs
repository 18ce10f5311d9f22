//! Where the next members to advertise begin.

use super::HeartbeatList;
use super::HeartbeatRotation;

/// The index of the first member that is advertised, for one kind of target.
#[derive(Clone, Debug, Default)]
pub struct MemberCursor {
    offset: usize,
    /// The batch that is retained while members are left out of heartbeats.
    batch: Option<usize>,
}

impl MemberCursor {
    /// Advances by a number of members, and returns the index. It stays the same for all
    /// turns of a retained batch.
    pub fn advance(&mut self, rotation: &HeartbeatRotation, members: usize) -> usize {
        let batch = rotation.retained_batch(HeartbeatList::Members);
        if batch.is_none() || batch != self.batch {
            self.offset = self.offset.wrapping_add(members);
        }
        self.batch = batch;
        self.offset
    }
}
