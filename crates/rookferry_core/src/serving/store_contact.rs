//! Whether an instance knows what the platform's store has, and as of when.
//!
//! It says nothing of versions: a store that was restored may have an older
//! configuration than the one in force, and is read all the same.

use std::time::Duration;
use std::time::Instant;

/// How much of an answer's delay is still counted with the next answer.
const DELAY_KEPT: f64 = 0.875;
/// How often the usual delay an answer may take before it is overdue.
const OVERDUE_DELAYS: u32 = 2;
/// The longest that an answer is waited for before it is overdue, however slow the
/// store has been.
const LONGEST_OVERDUE: Duration = Duration::from_millis(600);

/// When the store was last known to answer all that is read of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    config_at: Option<Instant>,
    servers_at: Option<Instant>,
    /// By the word of others of the domain.
    heard_at: Option<Instant>,
    /// Whether a watch of this instance's is overdue.
    is_overdue: bool,
    /// How late answers are, the latest most.
    delay: Duration,
}

impl StoreContact {
    /// Nothing is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration was read, by a call that was sent at a time.
    pub fn read_config(&mut self, at: Instant) {
        self.config_at = self.config_at.max(Some(at));
        self.is_overdue = false;
    }

    /// The servers were read, by a call that was sent at a time.
    pub fn read_servers(&mut self, at: Instant) {
        self.servers_at = self.servers_at.max(Some(at));
        self.is_overdue = false;
    }

    /// Another instance of the domain has its word from the store as of a time.
    pub fn hear(&mut self, at: Instant) {
        self.heard_at = self.heard_at.max(Some(at));
    }

    /// A watch is overdue: what others are told of the store is not to be relied on.
    pub fn watch_overdue(&mut self) {
        self.is_overdue = true;
    }

    /// An answer came later than it could have by this.
    pub fn note_delay(&mut self, delay: Duration) {
        self.delay = delay.max(self.delay.mul_f64(DELAY_KEPT));
    }

    /// How long an answer may be late before it is overdue: as planned, or longer if
    /// the store is slow.
    #[must_use]
    pub fn overdue_after(&self, planned: Duration) -> Duration {
        let by_delay = self.delay.saturating_mul(OVERDUE_DELAYS);
        planned.max(by_delay.min(LONGEST_OVERDUE))
    }

    /// How long ago what is known of the store was so; `None` if nothing is known.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let own = self.config_at.min(self.servers_at);
        let known_at = own.max(self.heard_at)?;
        Some(now.saturating_duration_since(known_at))
    }

    /// The same, as others are told.
    #[must_use]
    pub fn told_age(&self, now: Instant) -> Option<Duration> {
        self.age(now).filter(|_| !self.is_overdue)
    }

    /// Whether it is known within a time.
    #[must_use]
    pub fn is_fresh(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
