//! A bound on the memory that callers' requests take, over all connections.
//!
//! A body takes memory as it arrives, and each request a fixed amount beside it. When the budget is used up, the body that has gone
//! longest without progress gives way; if all progress, the one that needs memory is
//! refused. Clients that send most of a body and stop therefore don't shut out others. The
//! last part of the budget is reserved for small bodies.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use snafu::Snafu;
use tokio::sync::Notify;

use crate::clock;

/// A body that has made no progress for this long may be evicted.
const MIN_STALL: Duration = Duration::from_millis(250);
/// How long a body waits for an evicted one to free its memory.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests up to this size may use the whole budget, in bytes.
const SMALL_BYTES: usize = 96 * 1024;
/// Divisor of the budget that gives the part that is reserved for small bodies.
const RESERVED_PART: usize = 4;

/// The budget is used up, or a body that used it has been evicted.
#[derive(Debug, Snafu)]
#[snafu(display("the {max_bytes} bytes for request bodies are in use"))]
pub struct MemoryExhausted {
    /// The budget, in bytes.
    pub max_bytes: usize,
}

/// A budget of bytes; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    inner: Arc<BudgetInner>,
}

#[derive(Debug)]
struct BudgetInner {
    max_bytes: usize,
    state: Mutex<BudgetState>,
    /// Notified when memory is freed.
    freed: Notify,
}

#[derive(Debug, Default)]
struct BudgetState {
    used_bytes: usize,
    next_id: u64,
    evictions: u64,
    /// Bodies that are being read.
    unfinished: HashMap<u64, Unfinished>,
}

#[derive(Debug)]
struct Unfinished {
    used_bytes: usize,
    progress_at: Instant,
    evicted: Arc<Notify>,
    is_evicted: bool,
}

/// Memory taken out of a budget until it is dropped.
#[derive(Debug)]
pub struct MemoryLease {
    budget: MemoryBudget,
    id: u64,
    used_bytes: usize,
    evicted: Arc<Notify>,
}

impl MemoryBudget {
    /// A budget of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            inner: Arc::new(BudgetInner {
                max_bytes,
                state: Mutex::default(),
                freed: Notify::new(),
            }),
        }
    }

    /// Bytes in use.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.state().used_bytes
    }

    /// Number of bodies that were evicted.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        self.state().evictions
    }

    /// Begins to read a body.
    #[must_use]
    pub fn lease(&self) -> MemoryLease {
        let mut state = self.state();
        let id = state.next_id;
        state.next_id += 1;
        let evicted = Arc::new(Notify::new());
        let unfinished = Unfinished {
            used_bytes: 0,
            progress_at: clock::now(),
            evicted: evicted.clone(),
            is_evicted: false,
        };
        state.unfinished.insert(id, unfinished);
        drop(state);
        MemoryLease {
            budget: self.clone(),
            id,
            used_bytes: 0,
            evicted,
        }
    }

    fn state(&self) -> MutexGuard<'_, BudgetState> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn exhausted(&self) -> MemoryExhausted {
        MemoryExhausted {
            max_bytes: self.inner.max_bytes,
        }
    }
}

impl BudgetState {
    /// Takes `bytes` more for a body of `total` bytes, if there is room. A single body always
    /// has room.
    fn take(&mut self, max_bytes: usize, bytes: usize, total: usize) -> bool {
        let limit = if total > SMALL_BYTES {
            max_bytes - max_bytes / RESERVED_PART
        } else {
            max_bytes
        };
        let is_single = self.used_bytes + bytes == total;
        let has_room = is_single || self.used_bytes + bytes <= limit;
        if has_room {
            self.used_bytes += bytes;
        }
        has_room
    }

    /// Evicts the body that has gone longest without progress, apart from `id`; false if
    /// all progress, and none is evicted already.
    fn evict(&mut self, id: u64, now: Instant) -> bool {
        let mut is_pending = false;
        let mut longest: Option<&mut Unfinished> = None;
        for (other, body) in &mut self.unfinished {
            is_pending |= body.is_evicted;
            let stalled_for = now.saturating_duration_since(body.progress_at);
            let may_evict =
                *other != id && !body.is_evicted && body.used_bytes > 0 && stalled_for >= MIN_STALL;
            let is_longer = longest
                .as_ref()
                .is_none_or(|longest| body.progress_at < longest.progress_at);
            if may_evict && is_longer {
                longest = Some(body);
            }
        }
        let Some(body) = longest else {
            return is_pending;
        };
        body.is_evicted = true;
        body.evicted.notify_one();
        self.evictions += 1;
        true
    }
}

impl MemoryLease {
    /// Takes `bytes` more. May wait until another body is evicted.
    ///
    /// # Errors
    ///
    /// If the budget is used up and no other body is stalled.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let deadline = clock::now() + EVICTION_TIMEOUT;
        let budget = self.budget.clone();
        loop {
            // Created first, so that it notices memory that is freed meanwhile.
            let freed = budget.inner.freed.notified();
            if self.try_grow(bytes)? {
                return Ok(());
            }
            if clock::timeout_at(deadline, freed).await.is_none() {
                return Err(self.budget.exhausted());
            }
        }
    }

    /// Takes `bytes` more; false if another body was evicted and hasn't freed its memory.
    fn try_grow(&mut self, bytes: usize) -> Result<bool, MemoryExhausted> {
        let total = self.used_bytes + bytes;
        let now = clock::now();
        let mut state = self.budget.state();
        if !state.take(self.budget.inner.max_bytes, bytes, total) {
            return state
                .evict(self.id, now)
                .then_some(false)
                .ok_or_else(|| self.budget.exhausted());
        }
        if let Some(body) = state.unfinished.get_mut(&self.id) {
            body.used_bytes = total;
            body.progress_at = now;
        }
        drop(state);
        self.used_bytes = total;
        Ok(true)
    }

    /// Records that more of the body has arrived.
    pub(crate) fn record_progress(&self) {
        if let Some(body) = self.budget.state().unfinished.get_mut(&self.id) {
            body.progress_at = clock::now();
        }
    }

    /// Records that the body is complete: it is no longer evicted.
    pub(crate) fn finish(&self) {
        self.budget.state().unfinished.remove(&self.id);
    }

    /// The body's eviction, to be waited for while it is read.
    pub(crate) fn eviction(&self) -> Eviction {
        Eviction {
            evicted: self.evicted.clone(),
            max_bytes: self.budget.inner.max_bytes,
        }
    }
}

/// The eviction of a body.
pub(crate) struct Eviction {
    evicted: Arc<Notify>,
    max_bytes: usize,
}

impl Eviction {
    /// Waits until the body is evicted.
    pub(crate) async fn wait(self) -> MemoryExhausted {
        self.evicted.notified().await;
        MemoryExhausted {
            max_bytes: self.max_bytes,
        }
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        state.unfinished.remove(&self.id);
        state.used_bytes -= self.used_bytes;
        drop(state);
        self.budget.inner.freed.notify_waiters();
    }
}
