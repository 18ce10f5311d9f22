//! Stored answers of calls with an idempotency key, for retries.
//!
//! Each key claimed on this instance has a state here, by the key's digest, until
//! the limit of ended keys drops it. Nothing outlives the process.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use rookferry_wire::RequestId;

/// A stored HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredAnswer {
    /// Id of the request that ran.
    pub(crate) request_id: RequestId,
    /// Digest of that request's body; empty in responses that aren't stored.
    pub(crate) body_digest: String,
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type.
    pub(crate) content_type: String,
    /// The response's body.
    pub(crate) body: Vec<u8>,
}

/// State of a key's work on this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// Unknown: never run here, or run and its answer dropped.
    Absent,
    /// Running, or being claimed by another call.
    Running,
    /// Claimed here, and proved not to have run.
    NotRun,
    /// Ended with an answer or refusal.
    Finished(StoredAnswer),
}

#[derive(Debug, Default)]
struct Inner {
    keys: HashMap<String, KeyState>,
    /// Ended keys, oldest first.
    finished: VecDeque<String>,
    /// Number of calls that are claiming each key.
    claiming: HashMap<String, usize>,
}

/// Guard that marks a key as being claimed until dropped.
#[derive(Debug)]
pub(crate) struct ClaimingGuard<'a> {
    answers: &'a Answers,
    digest: String,
}

impl Drop for ClaimingGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.answers.lock();
        if let Some(count) = inner.claiming.get_mut(&self.digest) {
            *count -= 1;
            if *count == 0 {
                inner.claiming.remove(&self.digest);
            }
        }
    }
}

/// The keys of one incarnation of an instance, by digest.
#[derive(Debug)]
pub(crate) struct Answers {
    limit: usize,
    inner: Mutex<Inner>,
}

impl Answers {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            inner: Mutex::default(),
        }
    }

    /// The state of a key. A key that another call is claiming counts as running:
    /// its claim may be written before this instance gets the response.
    pub(crate) fn state(&self, digest: &str) -> KeyState {
        let inner = self.lock();
        match inner.keys.get(digest) {
            Some(state) => state.clone(),
            None if inner.claiming.contains_key(digest) => KeyState::Running,
            None => KeyState::Absent,
        }
    }

    /// Marks a key as being claimed.
    pub(crate) fn claiming(&self, digest: &str) -> ClaimingGuard<'_> {
        let mut inner = self.lock();
        *inner.claiming.entry(digest.to_owned()).or_default() += 1;
        ClaimingGuard {
            answers: self,
            digest: digest.to_owned(),
        }
    }

    /// Marks a key as running. Returns `false` if it runs or has run here; then its
    /// call must not be dispatched.
    pub(crate) fn begin(&self, digest: &str) -> bool {
        let mut inner = self.lock();
        let known = inner.keys.get(digest).unwrap_or(&KeyState::Absent);
        let is_free = matches!(known, KeyState::Absent | KeyState::NotRun);
        if is_free {
            inner.keys.insert(digest.to_owned(), KeyState::Running);
        }
        is_free
    }

    /// Marks a key whose work proved not to have run; it may be dispatched again
    /// under the same claim.
    pub(crate) fn not_run(&self, digest: &str) {
        self.set_final(digest, KeyState::NotRun);
    }

    /// Stores a key's answer.
    pub(crate) fn finish(&self, digest: &str, answer: StoredAnswer) {
        self.set_final(digest, KeyState::Finished(answer));
    }

    /// Number of keys whose work is running.
    pub(crate) fn running(&self) -> usize {
        let inner = self.lock();
        let running = inner
            .keys
            .values()
            .filter(|state| **state == KeyState::Running);
        running.count()
    }

    /// Sets a key's final state, and drops the oldest ended keys above the limit. A
    /// dropped key can't be told from one never seen, so absence here never allows a
    /// dispatch by itself; only a new claim or ticket does.
    fn set_final(&self, digest: &str, state: KeyState) {
        let mut inner = self.lock();
        inner.keys.insert(digest.to_owned(), state);
        inner.finished.push_back(digest.to_owned());
        while inner.finished.len() > self.limit {
            let Some(oldest) = inner.finished.pop_front() else {
                return;
            };
            if inner.keys.get(&oldest) != Some(&KeyState::Running) {
                inner.keys.remove(&oldest);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
