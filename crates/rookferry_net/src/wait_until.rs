//! Waits for a condition that another task makes true.

use tokio::sync::Notify;

/// Waits until `holds` returns true. Each change that may make it true must be followed
/// by `changed.notify_waiters()`. The wait is registered before `holds` is evaluated, so
/// no later notification is missed.
pub async fn wait_until(changed: &Notify, holds: impl Fn() -> bool) {
    loop {
        let next = changed.notified();
        if holds() {
            return;
        }
        next.await;
    }
}
