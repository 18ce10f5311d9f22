//! Simulates a site in which one instance of each domain reads the store and the
//! instances advertise leaving servers to each other. Watches stall, and store readers
//! stop or lose the store.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rookferry_core::Departure;
use rookferry_core::PropagationBudget;
use rookferry_core::ServerKey;
use rookferry_core::ranked_pause;

use crate::peer_site::Site;
use crate::peer_site::engine_key;

/// Response time of the store.
const ANSWER_MS: u64 = 4;
/// Timeout of a call to the store.
const CALL_MS: u64 = 900;
/// How much longer than its requested wait a watch may take before it times out.
const WATCH_GRACE_MS: u64 = 600;
/// Step of the simulation.
const STEP_MS: u64 = 2;

/// What an instance currently does to read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// It checks at that time whether it has to read.
    LooksAt(u64),
    Watches {
        sent_ms: u64,
        /// Whether its connection is dead.
        is_silent: bool,
    },
    /// A call that checks the store while a watch is overdue.
    Asks { sent_ms: u64, watch_sent_ms: u64 },
}

/// Connectivity from an instance to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreLink {
    #[default]
    Sound,
    /// Nothing passes in either direction, on new connections as well.
    Cut,
}

pub struct NewsSite {
    pub site: Site,
    pub links: Vec<StoreLink>,
    budget: PropagationBudget,
    readings: Vec<Reading>,
    failures: Vec<u32>,
    /// When the store recorded that the server is leaving.
    pub left_ms: Option<u64>,
    /// Number of calls to the store.
    pub calls: u64,
}

impl NewsSite {
    /// A site that has run for five to six seconds.
    pub fn start(domains: usize, per_domain: usize, bound: Duration, seed: u64) -> Self {
        let site = Site::start(domains, per_domain, seed);
        let count = site.instances.len();
        let mut news = Self {
            site,
            links: vec![StoreLink::Sound; count],
            budget: PropagationBudget::new(bound),
            readings: vec![Reading::LooksAt(0); count],
            failures: vec![0; count],
            left_ms: None,
            calls: 0,
        };
        let settle_ms = 5_000 + news.site.rng.random_range(0..1_000);
        news.run_for(settle_ms);
        news
    }

    pub fn server() -> ServerKey {
        engine_key(0)
    }

    pub fn run_for(&mut self, ms: u64) {
        let until_ms = self.site.now_ms + ms;
        while self.site.now_ms < until_ms {
            self.site.run_for(STEP_MS);
            for place in 0..self.readings.len() {
                if self.site.instances[place].is_up {
                    self.step(place);
                }
            }
        }
    }

    /// Indices of the instances that currently read the store.
    pub fn readers(&self) -> Vec<usize> {
        let places = 0..self.readings.len();
        let reads = |place: &usize| !matches!(self.readings[*place], Reading::LooksAt(_));
        places.filter(reads).collect()
    }

    /// Kills the connections of all current watches; new ones work.
    pub fn silence_watches(&mut self) {
        for reading in &mut self.readings {
            if let Reading::Watches { is_silent, .. } = reading {
                *is_silent = true;
            }
        }
    }

    /// Records in the store that the server is leaving.
    pub fn server_leaves(&mut self) {
        self.left_ms = Some(self.site.now_ms);
    }

    /// Milliseconds from the store's record to the last of some instances that knows the
    /// server is leaving; none if one of them doesn't within `at_most_ms`.
    pub fn last_knew_after_ms(&mut self, of: &[usize], at_most_ms: u64) -> Option<u64> {
        let left_ms = self.left_ms.expect("a server that leaves");
        let mut known = BTreeMap::new();
        while self.site.now_ms < left_ms + at_most_ms {
            for place in of {
                if self.site.instances[*place]
                    .departed
                    .contains(Self::server())
                {
                    known.entry(*place).or_insert(self.site.now_ms);
                }
            }
            if known.len() == of.len() {
                break;
            }
            self.run_for(STEP_MS);
        }
        let last = known
            .values()
            .max()
            .copied()
            .filter(|_| known.len() == of.len());
        last.map(|last_ms| last_ms - left_ms)
    }

    fn step(&mut self, place: usize) {
        let now_ms = self.site.now_ms;
        let wait_ms = millis(self.budget.watch_wait());
        match self.readings[place] {
            Reading::LooksAt(at_ms) if at_ms > now_ms => {}
            Reading::LooksAt(_) if self.relies_on_peers(place) => {
                self.readings[place] =
                    Reading::LooksAt(now_ms + millis(self.budget.poll_interval()));
            }
            Reading::LooksAt(_) => self.watch(place),
            Reading::Watches { sent_ms, is_silent } => {
                let is_dead = is_silent || self.links[place] == StoreLink::Cut;
                let ends_ms = sent_ms + wait_ms + ANSWER_MS;
                if !is_dead && (self.has_news(place, sent_ms) || now_ms >= ends_ms) {
                    return self.answered(place, sent_ms);
                }
                let contact = &mut self.site.instances[place].contact;
                let overdue_ms = millis(contact.overdue_after(self.budget.overdue()));
                if now_ms >= sent_ms + wait_ms + overdue_ms {
                    contact.watch_overdue();
                    self.calls += 1;
                    self.readings[place] = Reading::Asks {
                        sent_ms: now_ms,
                        watch_sent_ms: sent_ms,
                    };
                }
            }
            Reading::Asks {
                sent_ms,
                watch_sent_ms,
            } => {
                if self.links[place] == StoreLink::Sound && now_ms >= sent_ms + ANSWER_MS {
                    return self.answered(place, sent_ms);
                }
                let watch_ends_ms = watch_sent_ms + wait_ms + WATCH_GRACE_MS;
                if now_ms >= watch_ends_ms.max(sent_ms + CALL_MS) {
                    self.failures[place] += 1;
                    let rank = self.site.instances[place].table.rank(self.site.now());
                    let pause = ranked_pause(self.failures[place], rank);
                    self.readings[place] = Reading::LooksAt(now_ms + millis(pause));
                }
            }
        }
    }

    fn watch(&mut self, place: usize) {
        self.calls += 1;
        self.readings[place] = Reading::Watches {
            sent_ms: self.site.now_ms,
            is_silent: false,
        };
    }

    /// Whether a watch sent at a time would have returned a change by now.
    fn has_news(&self, place: usize, sent_ms: u64) -> bool {
        let told_ms = self.left_ms.map(|left_ms| left_ms.max(sent_ms) + ANSWER_MS);
        told_ms.is_some_and(|told_ms| self.site.now_ms >= told_ms)
            && !self.site.instances[place].departed.contains(Self::server())
    }

    /// Handles the store's response to a call that was sent at a time.
    fn answered(&mut self, place: usize, sent_ms: u64) {
        let sent_at = self.at(sent_ms);
        let now = self.site.now();
        let is_after = self
            .left_ms
            .is_some_and(|left_ms| left_ms <= self.site.now_ms);
        let instance = &mut self.site.instances[place];
        instance.contact.record_config_read(sent_at);
        instance.contact.record_servers_read(sent_at);
        self.failures[place] = 0;
        let is_news = is_after
            && instance
                .departed
                .record(Self::server(), Departure::Leaving, now);
        if is_news {
            self.site.tell_soon(place);
        }
        if self.relies_on_peers(place) {
            self.readings[place] = Reading::LooksAt(self.site.now_ms);
        } else {
            self.watch(place);
        }
    }

    fn relies_on_peers(&self, place: usize) -> bool {
        let now = self.site.now();
        let instance = &self.site.instances[place];
        let bound = instance.table.max_store_age(self.budget, now);
        instance.contact.is_fresh(now, bound) && !instance.table.is_store_reader(self.budget, now)
    }

    fn at(&self, ms: u64) -> Instant {
        self.site.start + Duration::from_millis(ms)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("a short time")
}
