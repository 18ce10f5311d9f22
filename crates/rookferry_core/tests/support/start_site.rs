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
const RETRY_PAUSE_MS: u64 = 80;
const MAX_REQUESTS: u32 = 8;
const VERSION: u64 = 1;

/// Interval between callers; each chooses an instance at random.
const CALLER_INTERVAL_MS: u64 = 5;

/// State of a starting instance when a caller's request arrives.
#[derive(Clone, Copy, Debug)]
pub struct StartingInstance {
    pub queue: StartQueue,
    pub age: Duration,
    /// Random number of the caller, from 0 to 1, that spreads retry times.
    pub chance: f64,
    /// Whether the caller has waited there until its wait timed out.
    pub has_waited: bool,
}

/// Response to a caller of an instance that doesn't know the site yet.
#[derive(Clone, Copy, Debug)]
pub enum StartResponse {
    /// The request waits, at most for this time.
    Wait(Duration),
    /// The request is refused at once, and the caller retries after this time.
    RetryAfter(Duration),
}

/// Decides how a starting instance responds to a caller.
pub type Policy = fn(&StartingInstance) -> StartResponse;

/// A caller's request to an instance: its first try or its retry.
#[derive(Clone, Copy, Debug)]
struct CallerRequest {
    index: usize,
    at_ms: u64,
    is_retry: bool,
    /// Whether it has waited there.
    has_waited: bool,
}

/// Outcomes of the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerOutcomes {
    /// Served at the first try, where it may have waited.
    pub in_time: usize,
    /// Refused at once, and served at its retry.
    pub retried: usize,
    /// Refused after its wait timed out, and served at its retry.
    pub retried_late: usize,
    /// Refused twice.
    pub failed: usize,
}

/// What a starting instance currently does to get the site's data.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StartState {
    Waiting,
    Reading {
        left_kbit: f64,
    },
    Requesting {
        source: usize,
        from_ms: u64,
        attempts: u32,
    },
    Receiving {
        source: usize,
        left_kbit: f64,
    },
    Ready,
}

pub struct StartSite {
    pub site: Site,
    pub link_mbps: Vec<f64>,
    states: Vec<StartState>,
    sources: Vec<BodySource<u64>>,
    /// Number of reads of the store.
    pub reads: usize,
    /// How instances respond to callers; none come without it.
    pub policy: Option<Policy>,
    pub outcomes: CallerOutcomes,
    pending: Vec<(CallerRequest, bool)>,
}

impl StartSite {
    /// All instances start within 0.3 s of each other, and not for the first time.
    pub fn restart(domains: usize, per_domain: usize, seed: u64) -> Self {
        let site = Site::start(domains, per_domain, seed);
        let count = site.instances.len();
        let mut start = Self {
            site,
            link_mbps: vec![SLOW_MBPS; count],
            states: vec![StartState::Waiting; count],
            sources: Vec::new(),
            reads: 0,
            policy: None,
            outcomes: CallerOutcomes::default(),
            pending: Vec::new(),
        };
        start.apply_capacities();
        start
    }

    /// Sets the capacity of each instance by the bandwidth of its link.
    pub fn apply_capacities(&mut self) {
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
    pub fn run_until_ready(&mut self, at_most_ms: u64) -> Option<u64> {
        while self.site.now_ms < at_most_ms {
            if self.states.iter().all(|state| *state == StartState::Ready)
                && self.pending.is_empty()
            {
                return Some(self.site.now_ms);
            }
            if let Some(policy) = self.policy {
                self.handle_callers(policy);
            }
            self.site.run_for(STEP_MS);
            let sending = self.sending();
            for index in 0..self.states.len() {
                if self.site.instances[index].started_ms <= self.site.now_ms {
                    self.step(index, &sending);
                }
            }
        }
        None
    }

    /// Number of transfers from each instance.
    fn sending(&self) -> Vec<u32> {
        let mut sending = vec![0; self.states.len()];
        for state in &self.states {
            if let StartState::Receiving { source, .. } = state {
                sending[*source] += 1;
            }
        }
        sending
    }

    fn step(&mut self, index: usize, sending: &[u32]) {
        let now_ms = self.site.now_ms;
        let step_kbit = |link_mbps: f64| link_mbps * STEP_MS as f64;
        let own_kbit = step_kbit(self.link_mbps[index]);
        match self.states[index] {
            StartState::Waiting => {
                if let Some(source) = self.site.instances[index].offered_by {
                    self.states[index] = StartState::Requesting {
                        source: self.site.index_by_addr[&source],
                        from_ms: now_ms,
                        attempts: 0,
                    };
                } else if self.is_read_due(index) {
                    self.read(index);
                }
            }
            StartState::Reading { left_kbit } => {
                self.states[index] = StartState::Reading {
                    left_kbit: left_kbit - own_kbit,
                };
                if left_kbit <= own_kbit {
                    self.finish(index);
                }
            }
            StartState::Requesting { .. } | StartState::Receiving { .. }
                if self.is_read_due(index) =>
            {
                if let StartState::Receiving { source, .. } = self.states[index] {
                    self.sources[source].finish_transfer(VERSION, None);
                }
                self.read(index);
            }
            StartState::Requesting {
                source,
                from_ms,
                attempts,
            } if from_ms <= now_ms => self.request_body(index, source, attempts),
            StartState::Requesting { .. } | StartState::Ready => {}
            StartState::Receiving { source, left_kbit } => {
                let shared = step_kbit(self.link_mbps[source]) / f64::from(sending[source].max(1));
                let left_kbit = left_kbit - shared.min(own_kbit);
                self.states[index] = StartState::Receiving { source, left_kbit };
                if left_kbit <= 0.0 {
                    let addr = self.site.instances[index].addr;
                    self.sources[source].finish_transfer(VERSION, Some(addr));
                    self.finish(index);
                }
            }
        }
    }

    fn request_body(&mut self, index: usize, source: usize, attempts: u32) {
        let now_ms = self.site.now_ms;
        let attempts = attempts + 1;
        self.states[index] = match self.sources[source].offer(VERSION) {
            BodyOffer::Body => StartState::Receiving {
                source,
                left_kbit: PEER_BODY_KBIT,
            },
            BodyOffer::Elsewhere(_) if attempts >= MAX_REQUESTS => {
                // The next heartbeat that advertises a list starts over.
                self.site.instances[index].offered_by = None;
                StartState::Waiting
            }
            BodyOffer::Elsewhere(others) if others.is_empty() => {
                let rng = &mut self.site.rng;
                StartState::Requesting {
                    source,
                    from_ms: now_ms + rng.random_range(RETRY_PAUSE_MS / 2..RETRY_PAUSE_MS * 3 / 2),
                    attempts,
                }
            }
            BodyOffer::Elsewhere(others) => {
                let other = others[self.site.rng.random_range(0..others.len())];
                StartState::Requesting {
                    source: self.site.index_by_addr[&other],
                    from_ms: now_ms + 2,
                    attempts,
                }
            }
        };
    }

    fn is_read_due(&self, index: usize) -> bool {
        let age_ms = self.site.now_ms - self.site.instances[index].started_ms;
        Duration::from_millis(age_ms) >= self.queue(index).first_read_after()
    }

    fn queue(&self, index: usize) -> StartQueue {
        let now = self.site.now();
        let instance = &self.site.instances[index];
        let offered_at = instance.offered_at;
        StartQueue {
            is_first_start: false,
            rank: instance.table.rank(now).max(instance.table.known_rank()),
            offered_ago: offered_at.map(|at| now.saturating_duration_since(at)),
            link_mbps: Some(self.link_mbps[index]),
        }
    }

    /// Adds a new caller while some instances don't know the site, and handles the
    /// requests that are due.
    fn handle_callers(&mut self, policy: Policy) {
        let now_ms = self.site.now_ms;
        let is_starting = self.states.iter().any(|state| *state != StartState::Ready);
        if is_starting && now_ms.is_multiple_of(CALLER_INTERVAL_MS) {
            let request = CallerRequest {
                index: self.random_instance(),
                at_ms: now_ms,
                is_retry: false,
                has_waited: false,
            };
            self.pending.push((request, false));
        }
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(request, _)| request.at_ms <= now_ms);
        self.pending = pending;
        for (request, first_try_waited) in due {
            self.handle_request(request, first_try_waited, policy);
        }
    }

    fn handle_request(&mut self, request: CallerRequest, first_try_waited: bool, policy: Policy) {
        let now_ms = self.site.now_ms;
        if self.states[request.index] == StartState::Ready {
            let served = match (request.is_retry, first_try_waited) {
                (false, _) => &mut self.outcomes.in_time,
                (true, false) => &mut self.outcomes.retried,
                (true, true) => &mut self.outcomes.retried_late,
            };
            *served += 1;
            return;
        }
        let age_ms = now_ms.saturating_sub(self.site.instances[request.index].started_ms);
        let age = Duration::from_millis(age_ms);
        let starting = StartingInstance {
            queue: self.queue(request.index),
            age,
            chance: self.site.rng.random_range(0.0..1.0),
            has_waited: request.has_waited,
        };
        let delay = match policy(&starting) {
            StartResponse::Wait(longest) => {
                let at_ms = now_ms + millis(longest);
                let waited = CallerRequest {
                    at_ms,
                    has_waited: true,
                    ..request
                };
                self.pending.push((waited, first_try_waited));
                return;
            }
            StartResponse::RetryAfter(delay) => delay,
        };
        if request.is_retry {
            self.outcomes.failed += 1;
            return;
        }
        let retry = CallerRequest {
            index: self.random_instance(),
            at_ms: now_ms + millis(delay),
            is_retry: true,
            has_waited: false,
        };
        self.pending.push((retry, request.has_waited));
    }

    fn random_instance(&mut self) -> usize {
        let count = self.states.len();
        self.site.rng.random_range(0..count)
    }

    fn read(&mut self, index: usize) {
        self.reads += 1;
        self.states[index] = StartState::Reading {
            left_kbit: STORE_BODY_KBIT,
        };
    }

    fn finish(&mut self, index: usize) {
        self.states[index] = StartState::Ready;
        self.site.instances[index].has_list = true;
        self.site.schedule_early_round(index);
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("a short time")
}
