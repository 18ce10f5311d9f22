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
const ROOM: u32 = 300;
/// Duration of a request.
const REQUEST_MS: u64 = 2_000;
/// Rate of requests as a multiple of the rate that the engine can serve.
const OVERLOAD: f64 = 1.5;
const STEP_MS: u64 = 10;

/// Load of the engine during an overload.
#[derive(Debug, Default)]
struct Played {
    /// Highest and mean number of requests in flight, as shares of the capacity.
    most: f64,
    mean: f64,
}

/// Requests in flight at the engine of the first domain.
struct Engine {
    members: Vec<usize>,
    /// When each finishes, and the instance that sent it.
    under_way: BinaryHeap<std::cmp::Reverse<(u64, usize)>>,
}

impl Engine {
    fn new(site: &Site) -> Self {
        let members = 0..site.instances.len();
        Self {
            members: members
                .filter(|place| site.instances[*place].domain == 0)
                .collect(),
            under_way: BinaryHeap::new(),
        }
    }

    fn end_due(&mut self, site: &mut Site) {
        while let Some(std::cmp::Reverse((end_ms, place))) = self.under_way.peek().copied() {
            if end_ms > site.now_ms {
                return;
            }
            self.under_way.pop();
            site.instances[place].requests -= 1;
        }
    }

    /// A request arrives at a random instance, which admits it if the loads known there
    /// leave capacity.
    fn arrive(&mut self, site: &mut Site) {
        let place = self.members[site.rng.random_range(0..self.members.len())];
        let now = site.now();
        let instance = &mut site.instances[place];
        let others = instance.table.loads(now);
        let others = others.get(&engine_key(0)).map_or(0, |load| load.requests);
        if instance.requests + others < ROOM {
            instance.requests += 1;
            let end_ms = site.now_ms + REQUEST_MS;
            self.under_way.push(std::cmp::Reverse((end_ms, place)));
        }
    }

    /// Overloads the engine for some time.
    fn overload(&mut self, site: &mut Site, for_ms: u64) -> Played {
        let capacity_per_ms = f64::from(ROOM) / REQUEST_MS as f64;
        let callers = capacity_per_ms * OVERLOAD * STEP_MS as f64;
        let steps = for_ms / STEP_MS;
        let mut due = 0.0;
        let mut played = Played::default();
        for _ in 0..steps {
            site.run_for(STEP_MS);
            self.end_due(site);
            due += callers;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(site);
            }
            let part = self.under_way.len() as f64 / f64::from(ROOM);
            played.most = played.most.max(part);
            played.mean += part / steps as f64;
        }
        played
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
    let played = engine.overload(&mut site, 9_000);
    assert!(played.most < 1.15, "{played:?}");
    assert!(played.mean > 0.9, "{played:?}");
}

/// The two first-ranked instances aggregate the loads of a large domain. Until the next
/// two take over, the others admit by the sums they received last.
#[rstest]
#[case::six(1, 6)]
#[case::hundreds(5, 59)]
fn an_overloaded_engine_is_not_flooded_when_the_first_two_instances_end(
    #[case] domains: usize,
    #[case] per_domain: usize,
) {
    let mut site = idle_site(domains, per_domain, 12);
    let mut engine = Engine::new(&site);
    engine.overload(&mut site, 6_000);
    for place in engine.members.drain(..2) {
        site.instances[place].is_up = false;
    }
    let played = engine.overload(&mut site, 6_000);
    assert!(played.most < 1.3, "{played:?}");
    assert!(played.mean > 0.85, "{played:?}");
}
