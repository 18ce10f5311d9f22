//! The process-wide clock for ages and deadlines.
//!
//! A machine may be suspended for seconds. The monotonic clock stops during a
//! suspension, and so does every age measured by it: an old configuration looks fresh, an
//! expired lease looks held, and a request whose caller has left looks in time. Ages and
//! deadlines therefore use a clock that includes suspensions. Its instants must not be
//! mixed with those of the monotonic clock.
//!
//! An embedder or a test can install another clock before the first use.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use snafu::Snafu;

/// Longest sleep on the runtime's timers before the clock is checked again. These timers
/// stop during a suspension like the monotonic clock, so a wait ends at most this long
/// after the machine resumes.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// A source of instants that never goes backwards.
pub trait Clock: Send + Sync {
    /// Returns the current instant.
    fn now(&self) -> Instant;
}

/// Error of installing a clock after the clock is in use.
#[derive(Debug, Snafu)]
#[snafu(display("a clock is already in use; install a clock before the first use"))]
pub struct ClockInUse;

static CLOCK: OnceLock<Box<dyn Clock>> = OnceLock::new();

/// Replaces the clock of this process.
///
/// # Errors
///
/// If the clock was already used or another clock was already installed.
pub fn install(clock: Box<dyn Clock>) -> Result<(), ClockInUse> {
    CLOCK.set(clock).map_err(|_| ClockInUse)
}

/// Returns the current instant of the process-wide clock.
#[must_use]
pub fn now() -> Instant {
    CLOCK.get_or_init(|| Box::new(BootClock::start())).now()
}

/// Returns the time elapsed since an instant of this clock; zero if it is in the future.
#[must_use]
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Returns the wall-clock time as Unix time. The wall clock may jump, so ages within one
/// process must not be measured by it.
#[must_use]
pub fn unix_now() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A wall clock set before 1970 counts as 0.
    since.unwrap_or_default()
}

/// Waits until an instant of this clock.
pub async fn sleep_until(at: Instant) {
    loop {
        let left = at.saturating_duration_since(now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(MAX_SLEEP)).await;
    }
}

/// Waits for a future, at the longest until an instant of this clock; `None` on timeout.
pub async fn timeout_at<T>(at: Instant, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        output = future => Some(output),
        () = sleep_until(at) => None,
    }
}

/// A clock that counts the time since boot, including suspensions.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started_at: Instant,
    started_after_boot: Duration,
}

impl BootClock {
    /// Starts a clock whose first instant is that of the monotonic clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            started_after_boot: time_since_boot(),
        }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.started_at + time_since_boot().saturating_sub(self.started_after_boot)
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither is negative, and the nanoseconds are below one second.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
