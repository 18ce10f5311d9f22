//! Time budget for the propagation of a change of a server from the store to all
//! instances.
//!
//! From the store's statement that a server is leaving to the last request that reaches
//! this server there is a bound. Whichever path the change takes, the steps must add up
//! to less. So each step is a fraction of the bound, and all fractions are defined here.
//!
//! | step | part of the bound |
//! |---|---|
//! | [`PropagationBudget::watch_wait`] | a watch waits for changes |
//! | [`PropagationBudget::overdue`] | an overdue watch is awaited until another is sent beside it |
//! | [`PropagationBudget::read`] | the store answers a call |
//! | [`PropagationBudget::delivery`] | a heartbeat and the repetition of a lost one |
//! | [`PropagationBudget::poll_interval`] | between two checks whether to read the store |
//! | [`PropagationBudget::reader_timeout`] | a silent store reader still counts as one |
//! | [`PropagationBudget::rank_delay`] | the last-ranked instance waits for those before it |
//! | [`PropagationBudget::retry_pause`] | the first-ranked instance pauses after failed calls |
//! | [`PropagationBudget::longest_pause`] | any instance pauses after failed calls |
//! | [`PropagationBudget::spread`] | from one instance of a domain to all of them |

use std::time::Duration;

use super::ranked_pause;

/// Parts of the bound, in thousandths.
const WATCH_WAIT: u32 = 250;
const OVERDUE: u32 = 100;
const READ: u32 = 100;
const DELIVERY: u32 = 100;
const POLL_INTERVAL: u32 = 50;
const READER_TIMEOUT: u32 = 375;
const RANK_DELAY: u32 = 80;
const RETRY_PAUSE: u32 = 125;
const LONGEST_PAUSE: u32 = 500;
const SPREAD: u32 = 250;
/// Highest rank that still adds delay.
const MAX_RANK: u32 = 4;

/// A path that a change of a server takes to the last instance of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PropagationPath {
    /// The store reader's watch returns it.
    Watch,
    /// The connection of the store reader's watch was lost without an error.
    SilentWatch,
    /// The store reader exited, or is cut off from its domain.
    ReaderLost,
    /// The store reader is cut off from the store, and reports it.
    ReaderDisconnected,
    /// The store reader's last report is too old.
    StaleReport,
    /// Calls to the store failed before; the first-ranked instance is the first to read
    /// it.
    AfterFailures,
}

impl PropagationPath {
    /// All paths.
    pub const ALL: [Self; 6] = [
        Self::Watch,
        Self::SilentWatch,
        Self::ReaderLost,
        Self::ReaderDisconnected,
        Self::StaleReport,
        Self::AfterFailures,
    ];
}

/// The steps within one bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropagationBudget {
    bound: Duration,
}

impl PropagationBudget {
    /// The steps within `bound`, which runs from the store's statement to the last
    /// request.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self { bound }
    }

    fn part(&self, thousandths: u32) -> Duration {
        self.bound * thousandths / 1_000
    }

    /// How long a watch waits for changes.
    #[must_use]
    pub fn watch_wait(&self) -> Duration {
        self.part(WATCH_WAIT)
    }

    /// How long a watch may exceed its wait before another is sent beside it.
    #[must_use]
    pub fn overdue(&self) -> Duration {
        self.part(OVERDUE)
    }

    /// How long the store may take to answer.
    #[must_use]
    pub fn read(&self) -> Duration {
        self.part(READ)
    }

    /// How long a report takes to the peers of the domain if one datagram is lost.
    #[must_use]
    pub fn delivery(&self) -> Duration {
        self.part(DELIVERY)
    }

    /// How often an instance that relies on its peers checks whether it still may.
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        self.part(POLL_INTERVAL)
    }

    /// How long a silent instance still counts as a store reader.
    #[must_use]
    pub fn reader_timeout(&self) -> Duration {
        self.part(READER_TIMEOUT)
    }

    /// Age up to which the peers' knowledge of the store is relied on. With a working
    /// store reader it is up to two waits of its watch and a heartbeat old.
    #[must_use]
    pub fn max_report_age(&self) -> Duration {
        2 * self.watch_wait() + self.overdue() + self.delivery()
    }

    /// How much longer than the first-ranked instance one ranked after `rank` others
    /// relies on it.
    #[must_use]
    pub fn rank_delay(&self, rank: usize) -> Duration {
        let ranks = u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK);
        self.part(RANK_DELAY) * ranks / MAX_RANK
    }

    /// Longest pause of the first-ranked instance after failed calls. Once it has read,
    /// the others use its report.
    #[must_use]
    pub fn retry_pause(&self) -> Duration {
        self.part(RETRY_PAUSE)
    }

    /// Longest pause of any instance after failed calls, whatever its rank: those ranked
    /// before it may be cut off from a store that it reaches.
    #[must_use]
    pub fn longest_pause(&self) -> Duration {
        self.part(LONGEST_PAUSE)
    }

    /// The pause after `failures` consecutive failed calls, for an instance that is ranked
    /// after `rank` others.
    #[must_use]
    pub fn pause_after(&self, failures: u32, rank: usize) -> Duration {
        ranked_pause(failures, rank).min(self.longest_pause())
    }

    /// How long a change takes from one instance of a domain to all of them.
    #[must_use]
    pub fn spread(&self) -> Duration {
        self.part(SPREAD)
    }

    /// Longest time from the store's statement to the last instance of a domain.
    #[must_use]
    pub fn worst_case(&self, path: PropagationPath) -> Duration {
        let until_read = match path {
            PropagationPath::Watch => Duration::ZERO,
            PropagationPath::SilentWatch => self.watch_wait() + self.overdue(),
            PropagationPath::ReaderLost => self.reader_timeout() + self.poll_interval(),
            PropagationPath::ReaderDisconnected => {
                self.watch_wait() + self.overdue() + self.delivery() + self.poll_interval()
            }
            // The last confirmation is up to one wait old when the store reader falls
            // silent.
            PropagationPath::StaleReport => {
                self.max_report_age().saturating_sub(self.watch_wait())
                    + self.rank_delay(usize::MAX)
                    + self.poll_interval()
            }
            PropagationPath::AfterFailures => self.retry_pause(),
        };
        until_read + self.read() + self.spread()
    }
}
