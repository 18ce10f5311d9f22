//! A site whose instances all start at once and know nothing: they find each other, read
//! the store in line, and pass on what was read over their links.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use rand::RngExt;
use rookferry_core::BodySource;
use rookferry_core::Capacity;
use rookferry_core::Offer;
use rookferry_core::StartLine;

use crate::peer_site::Site;

pub const FAST_MBPS: f64 = 1_000.0;
pub const SLOW_MBPS: f64 = 20.0;
const CORES_PER_MBPS: f64 = 0.006;
/// A step of the simulation.
const STEP_MS: u64 = 5;
/// What the store sends for all it has, as text, and an instance for the same.
const STORE_BODY_KBIT: f64 = 8_000.0;
const PEER_BODY_KBIT: f64 = 2_400.0;
/// Pause of one that found nobody else, and how often it asks.
const PAUSE_MS: u64 = 80;
const MAX_ASKED: u32 = 8;
const VERSION: u64 = 1;

/// What an instance does to know the site.
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
    /// Reads of the store.
    pub reads: usize,
}

impl StartSite {
    /// All start within 0.3 s of each other, and not for the first time.
    pub fn restart(domains: usize, per_domain: usize, seed: u64) -> Self {
        let site = Site::start(domains, per_domain, seed);
        let count = site.instances.len();
        let mut start = Self {
            site,
            link_mbps: vec![SLOW_MBPS; count],
            doing: vec![Doing::Waits; count],
            sources: Vec::new(),
            reads: 0,
        };
        start.tell_capacity();
        start
    }

    /// Has each instance tell what its machine can carry.
    pub fn tell_capacity(&mut self) {
        self.sources.clear();
        for (instance, link_mbps) in self.site.instances.iter_mut().zip(&self.link_mbps) {
            let capacity = Capacity::of_machine(link_mbps * CORES_PER_MBPS, *link_mbps);
            instance.capacity = capacity;
            instance.table = instance.table.clone().capacity(capacity);
            self.sources.push(BodySource::new().link_mbps(*link_mbps));
        }
    }

    /// Milliseconds until all know the site.
    pub fn run_until_known(&mut self, at_most_ms: u64) -> Option<u64> {
        while self.site.now_ms < at_most_ms {
            if self.doing.iter().all(|doing| *doing == Doing::Knows) {
                return Some(self.site.now_ms);
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

    /// How many get a body from each.
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
                    self.sources[source].ended(VERSION, None);
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
                    self.sources[source].ended(VERSION, Some(addr));
                    self.know(place);
                }
            }
        }
    }

    fn ask(&mut self, place: usize, source: usize, asked: u32) {
        let now_ms = self.site.now_ms;
        let asked = asked + 1;
        self.doing[place] = match self.sources[source].offer(VERSION) {
            Offer::Body => Doing::Gets {
                source,
                left_kbit: PEER_BODY_KBIT,
            },
            Offer::Elsewhere(_) if asked >= MAX_ASKED => {
                // The next heartbeat of one that has it begins anew.
                self.site.instances[place].offered_by = None;
                Doing::Waits
            }
            Offer::Elsewhere(others) if others.is_empty() => {
                let rng = &mut self.site.rng;
                Doing::Asks {
                    source,
                    from_ms: now_ms + rng.random_range(PAUSE_MS / 2..PAUSE_MS * 3 / 2),
                    asked,
                }
            }
            Offer::Elsewhere(others) => {
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
        let now = self.site.now();
        let instance = &self.site.instances[place];
        let age_ms = self.site.now_ms - instance.started_ms;
        let line = StartLine {
            is_first_start: false,
            rank: instance.table.rank(now).max(instance.table.known_before()),
            offered_ago: instance
                .offered_at
                .map(|at| now.saturating_duration_since(at)),
            link_mbps: Some(self.link_mbps[place]),
        };
        Duration::from_millis(age_ms) >= line.first_read_after()
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
