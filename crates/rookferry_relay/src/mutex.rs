//! Locks that ignore poisoning.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Acquires the lock even after a panic of a holder: the data under these locks is
/// consistent after each statement.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
