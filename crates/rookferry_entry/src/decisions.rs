//! Store of recent decision records, sharded to reduce lock contention.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use rookferry_core::DecisionLog;
use rookferry_core::DecisionRecord;

const SHARDS: usize = 16;

/// Decision records of one instance, by request id; the oldest are dropped.
#[derive(Debug)]
pub(crate) struct Decisions {
    shards: Vec<Mutex<DecisionLog>>,
}

impl Decisions {
    pub(crate) fn new(limit: usize) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(DecisionLog::new(limit / SHARDS)));
        Self {
            shards: shards.collect(),
        }
    }

    pub(crate) fn insert(&self, record: DecisionRecord) {
        let Some(request_id) = record.request_id.clone() else {
            return;
        };
        self.shard(&request_id).insert(record);
    }

    pub(crate) fn get(&self, request_id: &str) -> Option<Arc<DecisionRecord>> {
        self.shard(request_id).get(request_id)
    }

    /// The shard of a request id, by its last digit, which is random.
    fn shard(&self, request_id: &str) -> std::sync::MutexGuard<'_, DecisionLog> {
        let last = request_id.bytes().last().unwrap_or_default();
        let shard = &self.shards[usize::from(last) % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
