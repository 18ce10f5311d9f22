//! How long each step of the store's news may take, so that all instances know in
//! time.
//!
//! From the store's word that a server leaves to the last request that reaches it
//! there is a bound. Whatever way the news takes, its steps must add up to less. So
//! each step is a part of the bound, and all of them stand in one table here.
//!
//! | step | part of the bound |
//! |---|---|
//! | [`NewsBudget::watch_wait`] | a watch waits for changes |
//! | [`NewsBudget::overdue`] | a watch that should have ended is waited for, until another is sent beside it |
//! | [`NewsBudget::read`] | the store answers a call |
//! | [`NewsBudget::tell`] | a heartbeat and a lost one |
//! | [`NewsBudget::look`] | between two looks whether to read the store |
//! | [`NewsBudget::reader_kept`] | a silent reader of the store counts as one |
//! | [`NewsBudget::line`] | the last in line waits for those before it |
//! | [`NewsBudget::pause`] | the first in line pauses after failed calls |
//! | [`NewsBudget::spread`] | from one instance of a domain to all of them |

use std::time::Duration;

/// Parts of the bound, in thousandths.
const WATCH_WAIT: u32 = 250;
const OVERDUE: u32 = 100;
const READ: u32 = 100;
const TELL: u32 = 100;
const LOOK: u32 = 50;
const READER_KEPT: u32 = 375;
const LINE: u32 = 80;
const PAUSE: u32 = 125;
const SPREAD: u32 = 250;
/// Places in line that are told apart.
const LINE_PLACES: u32 = 4;

/// A way that news of a server takes to the last instance of a domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsWay {
    /// The reader's watch brings it.
    Watch,
    /// The connection of the reader's watch died silently.
    SilentWatch,
    /// The reader ended, or is cut off from its domain.
    ReaderGone,
    /// The reader is cut off from the store, and says so.
    ReaderCutOff,
    /// What the reader told last has grown old.
    OldWord,
    /// Calls to the store failed before; the first in line reads it first.
    AfterFailures,
}

impl NewsWay {
    /// All ways.
    pub const ALL: [Self; 6] = [
        Self::Watch,
        Self::SilentWatch,
        Self::ReaderGone,
        Self::ReaderCutOff,
        Self::OldWord,
        Self::AfterFailures,
    ];
}

/// The steps of one bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewsBudget {
    bound: Duration,
}

impl NewsBudget {
    /// The steps within a bound, from the store's word to the last request.
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

    /// How long a watch may take beyond its wait before another is sent beside it.
    #[must_use]
    pub fn overdue(&self) -> Duration {
        self.part(OVERDUE)
    }

    /// How long the store may take to answer.
    #[must_use]
    pub fn read(&self) -> Duration {
        self.part(READ)
    }

    /// How long a word takes to others of the domain, one datagram lost.
    #[must_use]
    pub fn tell(&self) -> Duration {
        self.part(TELL)
    }

    /// How often an instance that relies on its peers looks whether it still may.
    #[must_use]
    pub fn look(&self) -> Duration {
        self.part(LOOK)
    }

    /// How long a member that isn't heard counts as a reader of the store.
    #[must_use]
    pub fn reader_kept(&self) -> Duration {
        self.part(READER_KEPT)
    }

    /// How old the peers' word on the store may grow before it isn't relied on. With a
    /// reader that is well it is up to two waits of its watch old, and as told.
    #[must_use]
    pub fn rely(&self) -> Duration {
        2 * self.watch_wait() + self.overdue() + self.tell()
    }

    /// How much longer than the first an instance behind `rank` others relies on it.
    #[must_use]
    pub fn line(&self, rank: usize) -> Duration {
        let places = u32::try_from(rank).unwrap_or(LINE_PLACES).min(LINE_PLACES);
        self.part(LINE) * places / LINE_PLACES
    }

    /// The longest pause of the first in line after failed calls; once it has read, the
    /// others take its word.
    #[must_use]
    pub fn pause(&self) -> Duration {
        self.part(PAUSE)
    }

    /// How long news take from one instance of a domain to all of them.
    #[must_use]
    pub fn spread(&self) -> Duration {
        self.part(SPREAD)
    }

    /// The longest time from the store's word to the last instance of a domain.
    #[must_use]
    pub fn longest(&self, way: NewsWay) -> Duration {
        let until_read = match way {
            NewsWay::Watch => Duration::ZERO,
            NewsWay::SilentWatch => self.watch_wait() + self.overdue(),
            NewsWay::ReaderGone => self.reader_kept() + self.look(),
            NewsWay::ReaderCutOff => self.watch_wait() + self.overdue() + self.tell() + self.look(),
            // What was confirmed last is a wait old when the reader falls silent.
            NewsWay::OldWord => {
                self.rely().saturating_sub(self.watch_wait()) + self.line(usize::MAX) + self.look()
            }
            NewsWay::AfterFailures => self.pause(),
        };
        until_read + self.read() + self.spread()
    }
}
