//! A bounded weighted fair queue over client accounts.
//!
//! The virtual finish time of a request is that of its account's previous request (or
//! the current virtual time, if later) plus its cost divided by the account's weight.
//! The earliest is dequeued first, so an account that exceeds its share waits behind its
//! own requests. When the queue is full, the newest request of the account that is
//! furthest over its share is evicted, so that a flood can't shut out other accounts.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rookferry_wire::AccountId;

/// A queued request.
#[derive(Debug)]
pub struct QueuedRequest<T> {
    /// Client account of the request.
    pub account: AccountId,
    /// The queued item.
    pub item: T,
    virtual_finish: f64,
}

/// Result of a push.
#[derive(Debug)]
pub struct PushOutcome<T> {
    /// The request evicted from a full queue; it may be the pushed one.
    pub evicted: Option<QueuedRequest<T>>,
}

#[derive(Debug)]
struct AccountQueue<T> {
    waiting: VecDeque<QueuedRequest<T>>,
    last_finish: f64,
}

/// A fair queue of items, limited in length.
#[derive(Debug)]
pub struct FairQueue<T> {
    limit: usize,
    length: usize,
    virtual_now: f64,
    queues: BTreeMap<AccountId, AccountQueue<T>>,
}

impl<T> FairQueue<T> {
    /// An empty queue for at most `limit` requests.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            length: 0,
            virtual_now: 0.0,
            queues: BTreeMap::new(),
        }
    }

    /// Changes the limit; requests already queued stay.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds a request of an account with a weight above 0.
    ///
    /// `cost` is in any unit that is common to all requests, such as tokens.
    pub fn push(&mut self, account: AccountId, weight: f64, cost: f64, item: T) -> PushOutcome<T> {
        let virtual_now = self.virtual_now;
        let queue = self
            .queues
            .entry(account.clone())
            .or_insert_with(|| AccountQueue {
                waiting: VecDeque::new(),
                last_finish: virtual_now,
            });
        let start = queue.last_finish.max(virtual_now);
        let virtual_finish = start + cost / weight;
        queue.last_finish = virtual_finish;
        queue.waiting.push_back(QueuedRequest {
            account,
            item,
            virtual_finish,
        });
        self.length += 1;
        let evicted = if self.length > self.limit {
            self.evict()
        } else {
            None
        };
        PushOutcome { evicted }
    }

    /// Removes the request with the earliest virtual finish time.
    pub fn pop(&mut self) -> Option<QueuedRequest<T>> {
        let account = self.first_account()?;
        let queue = self.queues.get_mut(&account)?;
        let next = queue.waiting.pop_front()?;
        self.length -= 1;
        self.virtual_now = self.virtual_now.max(next.virtual_finish);
        if queue.waiting.is_empty() && queue.last_finish <= self.virtual_now {
            self.queues.remove(&account);
        }
        Some(next)
    }

    /// The request that [`Self::pop`] would remove.
    #[must_use]
    pub fn peek(&self) -> Option<&T> {
        let account = self.first_account()?;
        let queue = self.queues.get(&account)?;
        queue.waiting.front().map(|waiting| &waiting.item)
    }

    /// Removes and returns all requests for which the predicate holds.
    pub fn remove_if(
        &mut self,
        mut should_remove: impl FnMut(&T) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let waiting = std::mem::take(&mut queue.waiting);
            for entry in waiting {
                if should_remove(&entry.item) {
                    removed.push(entry);
                } else {
                    queue.waiting.push_back(entry);
                }
            }
        }
        self.length -= removed.len();
        removed
    }

    /// Number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether no request is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn first_account(&self) -> Option<AccountId> {
        let heads = self.queues.iter().filter_map(|(account, queue)| {
            let head = queue.waiting.front()?;
            Some((head.virtual_finish, account))
        });
        let first = heads.min_by(|(left, _), (right, _)| left.total_cmp(right));
        first.map(|(_, account)| account.clone())
    }

    fn evict(&mut self) -> Option<QueuedRequest<T>> {
        let candidates = self
            .queues
            .values_mut()
            .filter(|queue| !queue.waiting.is_empty());
        let furthest =
            candidates.max_by(|left, right| left.last_finish.total_cmp(&right.last_finish))?;
        let evicted = furthest.waiting.pop_back()?;
        furthest.last_finish = furthest
            .waiting
            .back()
            .map_or(self.virtual_now, |waiting| waiting.virtual_finish);
        self.length -= 1;
        Some(evicted)
    }
}
