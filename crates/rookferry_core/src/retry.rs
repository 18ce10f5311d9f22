//! A budget for retries, so that they can't multiply load in a fault.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Units of one retry.
const UNITS_PER_RETRY: u64 = 1_000;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: u64 = 20;

/// Retries as a share of fresh work; shared by all requests without a lock.
#[derive(Debug)]
pub struct RetryBudget {
    units: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            units: AtomicU64::new(MAX_SAVED_RETRIES * UNITS_PER_RETRY),
        }
    }
}

impl RetryBudget {
    /// A budget that is full, so that a quiet instance may retry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A fresh request came; it earns a share of a retry.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share is checked to be between 0 and 1"
    )]
    pub fn earn(&self, retry_share: f64) {
        let earned = (retry_share * UNITS_PER_RETRY as f64) as u64;
        let cap = MAX_SAVED_RETRIES * UNITS_PER_RETRY;
        let _ = self
            .units
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |units| {
                Some((units + earned).min(cap))
            });
    }

    /// Takes one retry if there is one.
    pub fn spend(&self) -> bool {
        let spent = self
            .units
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |units| {
                units.checked_sub(UNITS_PER_RETRY)
            });
        spent.is_ok()
    }
}
