//! Simulates a site whose instances all start at once without state: they discover each
//! other, read the store in rank order, and transfer what was read over their links.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use rand::RngExt;
use rookferry_core::BodyOffer;
use rookferry_core::BodySource;
use rookferry_core::Capacity;
use rookferry_core::StartQueue;

use crate::peer_site::Site;

pub const FAST_MBPS: f64 = 1_000.0;
pub const SLOW_MBPS: f64 = 20.0;
const CORES_PER_MBPS: f64 = 0.006;
/// Step of the simulation.
const STEP_MS: u64 = 5;
/// Size of all that the store has, as text from the store and in a peer's encoding.
const STORE_BODY_KBIT: f64 = 8_000.0;
const PEER_BODY_KBIT: f64 = 2_400.0;
/// Mean pause of an instance that was offered no other source, and the number of
/// requests before it waits for a new offer.
const PAUSE_MS: u64 = 80;
const MAX_ASKED: u32 = 8;
const VERSION: u64 = 1;

/// Interval between callers; each chooses an instance at random.
const CALL_EVERY_MS: u64 = 5;

/// State of a starting instance when a caller's request arrives.
#[derive(Clone, Copy, Debug)]
pub struct Met {
    pub line: StartQueue,
    pub age: Duration,
    /// Random number of the caller, from 0 to 1, that spreads retry times.
    pub chance: f64,
    /// Whether the caller has waited there until its wait timed out.
    pub has_waited: bool,
}

/// Response to a caller of an instance that doesn't know the site yet.
#[derive(Clone, Copy, Debug)]
pub enum StartAnswer {
    /// The request waits, at most for this time.
    Wait(Duration),
    /// The request is refused at once, and the caller retries after this time.
    ComeBack(Duration),
}

/// Decides how a starting instance responds to a caller.
pub type Policy = fn(&Met) -> StartAnswer;

/// A caller's request to an instance: its first try or its retry.
#[derive(Clone, Copy, Debug)]
struct Call {
    place: usize,
    at_ms: u64,
    is_second: bool,
    /// Whether it has waited there.
    has_waited: bool,
}

/// Outcomes of the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    /// Served at the first try, where it may have waited.
    pub in_time: usize,
    /// Refused at once, and served at its retry.
    pub came_back: usize,
    /// Refused after its wait timed out, and served at its retry.
    pub late: usize,
    /// Refused twice.
    pub lost: usize,
}

/// What a starting instance currently does to get the site's data.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Doing {
    Waits,
    Reads {
        left_kbit: f64,
    },
    Asks {
        source: usize,
        from_ms: u64,
        asked: u32,
    },
    Gets {
        source: usize,
        left_kbit: f64,
    },
    Knows,
}

pub struct StartSite {
    pub site: Site,
    pub link_mbps: Vec<f64>,
    doing: Vec<Doing>,
    sources: Vec<BodySource<u64>>,
    /// Number of reads of the store.
    pub reads: usize,
    /// How instances respond to callers; none come without it.
    pub policy: Option<Policy>,
    pub calls: Calls,
    open: Vec<(Call, bool)>,
}

impl StartSite {
    /// All instances start within 0.3 s of each other, and not for the first time.
    pub fn restart(domains: usize, per_domain: usize, seed: u64) -> Self {
        let site = Site::start(domains, per_domain, seed);
        let count = site.instances.len();
        let mut start = Self {
            site,
            link_mbps: vec![SLOW_MBPS; count],
            doing: vec![Doing::Waits; count],
            sources: Vec::new(),
            reads: 0,
            policy: None,
            calls: Calls::default(),
            open: Vec::new(),
        };
        start.tell_capacity();
        start
    }

    /// Sets the capacity of each instance by the bandwidth of its link.
    pub fn tell_capacity(&mut self) {
        self.sources.clear();
        for (instance, link_mbps) in self.site.instances.iter_mut().zip(&self.link_mbps) {
            let capacity = Capacity::of_machine(link_mbps * CORES_PER_MBPS, *link_mbps);
            instance.capacity = capacity;
            instance.table = instance.table.clone().capacity(capacity);
            self.sources.push(BodySource::new().link_mbps(*link_mbps));
        }
    }

    /// Milliseconds until all instances know the site; none if that takes longer than
    /// `at_most_ms`.
    pub fn run_until_known(&mut self, at_most_ms: u64) -> Option<u64> {
        while self.site.now_ms < at_most_ms {
            if self.doing.iter().all(|doing| *doing == Doing::Knows) && self.open.is_empty() {
                return Some(self.site.now_ms);
            }
            if let Some(policy) = self.policy {
                self.take_calls(policy);
            }
            self.site.run_for(STEP_MS);
            let sending = self.sending();
            for place in 0..self.doing.len() {
                if self.site.instances[place].started_ms <= self.site.now_ms {
                    self.step(place, &sending);
                }
            }
        }
        None
    }

    /// Number of transfers from each instance.
    fn sending(&self) -> Vec<u32> {
        let mut sending = vec![0; self.doing.len()];
        for doing in &self.doing {
            if let Doing::Gets { source, .. } = doing {
                sending[*source] += 1;
            }
        }
        sending
    }

    fn step(&mut self, place: usize, sending: &[u32]) {
        let now_ms = self.site.now_ms;
        let step_kbit = |link_mbps: f64| link_mbps * STEP_MS as f64;
        let own_kbit = step_kbit(self.link_mbps[place]);
        match self.doing[place] {
            Doing::Waits => {
                if let Some(source) = self.site.instances[place].offered_by {
                    self.doing[place] = Doing::Asks {
                        source: self.site.places[&source],
                        from_ms: now_ms,
                        asked: 0,
                    };
                } else if self.reads_now(place) {
                    self.read(place);
                }
            }
            Doing::Reads { left_kbit } => {
                self.doing[place] = Doing::Reads {
                    left_kbit: left_kbit - own_kbit,
                };
                if left_kbit <= own_kbit {
                    self.know(place);
                }
            }
            Doing::Asks { .. } | Doing::Gets { .. } if self.reads_now(place) => {
                if let Doing::Gets { source, .. } = self.doing[place] {
                    self.sources[source].finish_transfer(VERSION, None);
                }
                self.read(place);
            }
            Doing::Asks {
                source,
                from_ms,
                asked,
            } if from_ms <= now_ms => self.ask(place, source, asked),
            Doing::Asks { .. } | Doing::Knows => {}
            Doing::Gets { source, left_kbit } => {
                let shared = step_kbit(self.link_mbps[source]) / f64::from(sending[source].max(1));
                let left_kbit = left_kbit - shared.min(own_kbit);
                self.doing[place] = Doing::Gets { source, left_kbit };
                if left_kbit <= 0.0 {
                    let addr = self.site.instances[place].addr;
                    self.sources[source].finish_transfer(VERSION, Some(addr));
                    self.know(place);
                }
            }
        }
    }

    fn ask(&mut self, place: usize, source: usize, asked: u32) {
        let now_ms = self.site.now_ms;
        let asked = asked + 1;
        self.doing[place] = match self.sources[source].offer(VERSION) {
            BodyOffer::Body => Doing::Gets {
                source,
                left_kbit: PEER_BODY_KBIT,
            },
            BodyOffer::Elsewhere(_) if asked >= MAX_ASKED => {
                // The next heartbeat that advertises a list starts over.
                self.site.instances[place].offered_by = None;
                Doing::Waits
            }
            BodyOffer::Elsewhere(others) if others.is_empty() => {
                let rng = &mut self.site.rng;
                Doing::Asks {
                    source,
                    from_ms: now_ms + rng.random_range(PAUSE_MS / 2..PAUSE_MS * 3 / 2),
                    asked,
                }
            }
            BodyOffer::Elsewhere(others) => {
                let other = others[self.site.rng.random_range(0..others.len())];
                Doing::Asks {
                    source: self.site.places[&other],
                    from_ms: now_ms + 2,
                    asked,
                }
            }
        };
    }

    fn reads_now(&self, place: usize) -> bool {
        let age_ms = self.site.now_ms - self.site.instances[place].started_ms;
        Duration::from_millis(age_ms) >= self.line(place).first_read_after()
    }

    fn line(&self, place: usize) -> StartQueue {
        let now = self.site.now();
        let instance = &self.site.instances[place];
        let offered_at = instance.offered_at;
        StartQueue {
            is_first_start: false,
            rank: instance.table.rank(now).max(instance.table.known_rank()),
            offered_ago: offered_at.map(|at| now.saturating_duration_since(at)),
            link_mbps: Some(self.link_mbps[place]),
        }
    }

    /// Adds a new caller while some instances don't know the site, and handles the
    /// requests that are due.
    fn take_calls(&mut self, policy: Policy) {
        let now_ms = self.site.now_ms;
        let is_starting = self.doing.iter().any(|doing| *doing != Doing::Knows);
        if is_starting && now_ms.is_multiple_of(CALL_EVERY_MS) {
            let call = Call {
                place: self.any_instance(),
                at_ms: now_ms,
                is_second: false,
                has_waited: false,
            };
            self.open.push((call, false));
        }
        let (due, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|(call, _)| call.at_ms <= now_ms);
        self.open = open;
        for (call, was_late) in due {
            self.take_call(call, was_late, policy);
        }
    }

    fn take_call(&mut self, call: Call, was_late: bool, policy: Policy) {
        let now_ms = self.site.now_ms;
        if self.doing[call.place] == Doing::Knows {
            let served = match (call.is_second, was_late) {
                (false, _) => &mut self.calls.in_time,
                (true, false) => &mut self.calls.came_back,
                (true, true) => &mut self.calls.late,
            };
            *served += 1;
            return;
        }
        let age_ms = now_ms.saturating_sub(self.site.instances[call.place].started_ms);
        let age = Duration::from_millis(age_ms);
        let met = Met {
            line: self.line(call.place),
            age,
            chance: self.site.rng.random_range(0.0..1.0),
            has_waited: call.has_waited,
        };
        let away = match policy(&met) {
            StartAnswer::Wait(longest) => {
                let at_ms = now_ms + millis(longest);
                let waited = Call {
                    at_ms,
                    has_waited: true,
                    ..call
                };
                self.open.push((waited, was_late));
                return;
            }
            StartAnswer::ComeBack(away) => away,
        };
        if call.is_second {
            self.calls.lost += 1;
            return;
        }
        let back = Call {
            place: self.any_instance(),
            at_ms: now_ms + millis(away),
            is_second: true,
            has_waited: false,
        };
        self.open.push((back, call.has_waited));
    }

    fn any_instance(&mut self) -> usize {
        let count = self.doing.len();
        self.site.rng.random_range(0..count)
    }

    fn read(&mut self, place: usize) {
        self.reads += 1;
        self.doing[place] = Doing::Reads {
            left_kbit: STORE_BODY_KBIT,
        };
    }

    fn know(&mut self, place: usize) {
        self.doing[place] = Doing::Knows;
        self.site.instances[place].has_list = true;
        self.site.tell_soon(place);
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("a short time")
}
