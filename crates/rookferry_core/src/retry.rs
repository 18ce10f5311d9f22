//! A retry budget, so that retries can't multiply the load during a fault.
//!
//! Each new request adds a share of a retry, each retry takes a whole one, and a retry
//! without budget is denied. Entry instances share one budget among all requests.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Budget units per retry.
const UNITS_PER_RETRY: u64 = 1_000;
/// Maximum balance, in retries.
const MAX_BALANCE_RETRIES: u64 = 20;

/// Limits retries to a share of the new requests; lock-free.
#[derive(Debug)]
pub struct RetryBudget {
    balance: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: AtomicU64::new(MAX_BALANCE_RETRIES * UNITS_PER_RETRY),
        }
    }
}

impl RetryBudget {
    /// A full budget, so that an instance with few requests may retry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a share of a retry, from 0 to 1, for a new request.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share is checked to be between 0 and 1"
    )]
    pub fn deposit(&self, retry_share: f64) {
        let earned = (retry_share * UNITS_PER_RETRY as f64) as u64;
        let cap = MAX_BALANCE_RETRIES * UNITS_PER_RETRY;
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some((balance + earned).min(cap))
            });
    }

    /// Takes one retry; false if the balance is too low.
    pub fn try_withdraw(&self) -> bool {
        let spent = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                balance.checked_sub(UNITS_PER_RETRY)
            });
        spent.is_ok()
    }
}
