//! Overload of one engine by the instances of its domain, each of which admits requests
//! by the loads that the others advertise.
//!
//! Load pattern: requests arrive at one and a half times the rate that the engine can
//! serve, at random instances, and refused callers don't retry.

#[path = "support/peer_site.rs"]
mod peer_site;

use std::collections::BinaryHeap;

use peer_site::Site;
use peer_site::engine_key;
use rand::RngExt;
use rstest::rstest;

/// Requests that the engine can serve at once.
const CAPACITY: u32 = 300;
/// Duration of a request.
const REQUEST_MS: u64 = 2_000;
/// Rate of requests as a multiple of the rate that the engine can serve.
const LOAD_FACTOR: f64 = 1.5;
const STEP_MS: u64 = 10;

/// Load of the engine during an overload.
#[derive(Debug, Default)]
struct EngineLoad {
    /// Highest and mean number of requests in flight, as shares of the capacity.
    peak: f64,
    mean: f64,
}

/// Requests in flight at the engine of the first domain.
struct Engine {
    members: Vec<usize>,
    /// When each finishes, and the instance that sent it.
    in_flight: BinaryHeap<std::cmp::Reverse<(u64, usize)>>,
}

impl Engine {
    fn new(site: &Site) -> Self {
        let members = 0..site.instances.len();
        Self {
            members: members
                .filter(|index| site.instances[*index].domain == 0)
                .collect(),
            in_flight: BinaryHeap::new(),
        }
    }

    fn finish_due(&mut self, site: &mut Site) {
        while let Some(std::cmp::Reverse((end_ms, index))) = self.in_flight.peek().copied() {
            if end_ms > site.now_ms {
                return;
            }
            self.in_flight.pop();
            site.instances[index].requests -= 1;
        }
    }

    /// A request arrives at a random instance, which admits it if the loads known there
    /// leave capacity.
    fn arrive(&mut self, site: &mut Site) {
        let index = self.members[site.rng.random_range(0..self.members.len())];
        let now = site.now();
        let instance = &mut site.instances[index];
        let others = instance.table.loads(now);
        let others = others
            .get(&engine_key(0))
            .map_or(0, |server_load| server_load.requests);
        if instance.requests + others < CAPACITY {
            instance.requests += 1;
            let end_ms = site.now_ms + REQUEST_MS;
            self.in_flight.push(std::cmp::Reverse((end_ms, index)));
        }
    }

    /// Overloads the engine for some time.
    fn overload(&mut self, site: &mut Site, for_ms: u64) -> EngineLoad {
        let capacity_per_ms = f64::from(CAPACITY) / REQUEST_MS as f64;
        let callers = capacity_per_ms * LOAD_FACTOR * STEP_MS as f64;
        let steps = for_ms / STEP_MS;
        let mut due = 0.0;
        let mut load = EngineLoad::default();
        for _ in 0..steps {
            site.run_for(STEP_MS);
            self.finish_due(site);
            due += callers;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(site);
            }
            let share = self.in_flight.len() as f64 / f64::from(CAPACITY);
            load.peak = load.peak.max(share);
            load.mean += share / steps as f64;
        }
        load
    }
}

/// A site whose instances have no requests in flight.
fn idle_site(domains: usize, per_domain: usize, seed: u64) -> Site {
    let mut site = Site::start(domains, per_domain, seed);
    for instance in &mut site.instances {
        instance.requests = 0;
    }
    site.run_for(4_000);
    site
}

#[rstest]
#[case::six(1, 6)]
#[case::sixty(3, 20)]
#[case::hundreds(5, 59)]
fn an_overloaded_engine_is_filled_and_hardly_beyond(
    #[case] domains: usize,
    #[case] per_domain: usize,
) {
    let mut site = idle_site(domains, per_domain, 11);
    let mut engine = Engine::new(&site);
    // Fills the engine.
    engine.overload(&mut site, 3_000);
    let load = engine.overload(&mut site, 9_000);
    assert!(load.peak < 1.15, "{load:?}");
    assert!(load.mean > 0.9, "{load:?}");
}

/// The two first-ranked instances aggregate the loads of a large domain. Until the next
/// two take over, the others admit by the sums they received last.
#[rstest]
#[case::six(1, 6)]
#[case::hundreds(5, 59)]
fn an_overloaded_engine_is_not_flooded_when_both_aggregators_crash(
    #[case] domains: usize,
    #[case] per_domain: usize,
) {
    let mut site = idle_site(domains, per_domain, 12);
    let mut engine = Engine::new(&site);
    engine.overload(&mut site, 6_000);
    for index in engine.members.drain(..2) {
        site.instances[index].is_up = false;
    }
    let load = engine.overload(&mut site, 6_000);
    assert!(load.peak < 1.3, "{load:?}");
    assert!(load.mean > 0.85, "{load:?}");
}
