//! Many instances, one door: overload of one engine by the instances of a
//! domain, each of which lets requests in by what it knows of the others.
//!
//! Load pattern: callers come half as often again as the engine can serve, to
//! instances at random, and those that are turned away don't come back.

#[path = "support/peer_site.rs"]
mod peer_site;

use std::collections::BinaryHeap;

use peer_site::Site;
use peer_site::engine_key;
use rand::RngExt;
use rstest::rstest;

/// Requests that the engine has room for.
const ROOM: u32 = 300;
/// How long one lasts.
const REQUEST_MS: u64 = 2_000;
/// Callers for each that the engine can serve.
const OVERLOAD: f64 = 1.5;
const STEP_MS: u64 = 10;

/// What an overload came to.
#[derive(Debug, Default)]
struct Played {
    /// Requests under way at the most, and on the mean, as parts of the room.
    most: f64,
    mean: f64,
}

/// Requests at the engine of the first domain.
struct Engine {
    members: Vec<usize>,
    /// When each ends, and whose it is.
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

    /// A caller comes to an instance; it is let in where there is room by what
    /// is known there.
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

    /// Has callers come for some time.
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

/// A site whose instances have nothing under way.
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
    // Until the room is filled.
    engine.overload(&mut site, 3_000);
    let played = engine.overload(&mut site, 9_000);
    assert!(played.most < 1.15, "{played:?}");
    assert!(played.mean > 0.9, "{played:?}");
}

/// The two first in order gather and tell a large domain's loads. Until the next
/// two do, the others go by what they heard last.
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
