//! The order of admission over a whole site: instances that decide alone, by the loads
//! that they receive from each other, admit requests of several classes to one engine.
//!
//! Load pattern: the requests of all classes together are several times what the engine
//! can serve; the more urgent ones alone are not.

#[path = "support/peer_site.rs"]
mod peer_site;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use peer_site::Site;
use peer_site::engine_key;
use rand::RngExt;
use rookferry_core::AdmissionClass;
use rookferry_core::AssumedLoad;
use rookferry_core::Urgency;
use rstest::rstest;

/// Requests that the engine can serve at once.
const CAPACITY: u32 = 300;
const REQUEST_MS: u64 = 2_000;
const STEP_MS: u64 = 10;

/// Requests of one class.
struct Demand {
    class: AdmissionClass,
    /// Rate, as a multiple of what the engine can serve.
    load: f64,
    due: f64,
    arrived: u32,
    admitted: u32,
}

impl Demand {
    const fn new(rank: u8, is_late: bool, load: f64) -> Self {
        let urgency = Urgency {
            account: 1,
            route: rank,
        };
        let class = AdmissionClass {
            urgency,
            rank,
            is_late,
        };
        Self {
            class,
            load,
            due: 0.0,
            arrived: 0,
            admitted: 0,
        }
    }

    fn served_share(&self) -> f64 {
        f64::from(self.admitted) / f64::from(self.arrived.max(1))
    }
}

/// Offers the demands for some time. Without `is_ordered`, each request may use the whole
/// engine.
fn offer(per_domain: usize, demands: &mut [Demand], is_ordered: bool) {
    let mut site = Site::start(3, per_domain, 7);
    for instance in &mut site.instances {
        instance.requests = 0;
    }
    site.run_for(4_000);
    let members: Vec<usize> = (0..site.instances.len())
        .filter(|index| site.instances[*index].domain == 0)
        .collect();
    let mut assumed: Vec<AssumedLoad> = vec![AssumedLoad::new(); site.instances.len()];
    let mut in_flight: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let per_step = f64::from(CAPACITY) / REQUEST_MS as f64 * STEP_MS as f64;
    for _ in 0..10_000 / STEP_MS {
        site.run_for(STEP_MS);
        while let Some(Reverse((end_ms, index))) = in_flight.peek().copied() {
            if end_ms > site.now_ms {
                break;
            }
            in_flight.pop();
            site.instances[index].requests -= 1;
        }
        for demand in demands.iter_mut() {
            demand.due += per_step * demand.load;
            while demand.due >= 1.0 {
                demand.due -= 1.0;
                demand.arrived += 1;
                let index = members[site.rng.random_range(0..members.len())];
                let now = site.now();
                let instance = &mut site.instances[index];
                let others = instance.table.loads(now);
                let others = others.get(&engine_key(0)).map_or(0, |load| load.requests);
                let share = if is_ordered {
                    demand.class.cache_share()
                } else {
                    1.0
                };
                let unknown = if is_ordered && !demand.class.is_first() {
                    assumed[index].tokens(engine_key(0), members.len() - 1, now)
                } else {
                    0.0
                };
                let known = f64::from(instance.requests + others);
                if known + unknown < f64::from(CAPACITY) * share {
                    assumed[index].record(engine_key(0), 1.0, now);
                    instance.requests += 1;
                    demand.admitted += 1;
                    in_flight.push(Reverse((site.now_ms + REQUEST_MS, index)));
                }
            }
        }
    }
}

/// Guards against an instance that admits less urgent requests while another refuses more
/// urgent ones for lack of room.
#[rstest]
#[case::six(2)]
#[case::sixty(20)]
fn urgent_requests_are_served_beside_four_times_as_many_others(#[case] per_domain: usize) {
    let demands = || [Demand::new(0, false, 0.7), Demand::new(2, false, 4.0)];
    let mut unordered = demands();
    offer(per_domain, &mut unordered, false);
    assert!(
        unordered[0].served_share() < 0.5,
        "{}",
        unordered[0].served_share()
    );
    let mut ordered = demands();
    offer(per_domain, &mut ordered, true);
    let [urgent, other] = &ordered;
    assert!(urgent.served_share() >= 0.9, "{}", urgent.served_share());
    assert!(other.admitted > 0);
}

/// Guards against requests that return late and take the room of those that can be in
/// time.
#[rstest]
#[case::six(2)]
#[case::sixty(20)]
fn callers_on_time_are_served_beside_callers_that_return(#[case] per_domain: usize) {
    let mut demands = [Demand::new(0, false, 0.6), Demand::new(0, true, 2.0)];
    offer(per_domain, &mut demands, true);
    let [on_time, late] = &demands;
    assert!(on_time.served_share() >= 0.9, "{}", on_time.served_share());
    assert!(late.served_share() > 0.1, "{}", late.served_share());
}

/// Guards against a kind of request that is served less often than a less urgent one.
#[rstest]
#[case::six(2)]
#[case::sixty(20)]
fn no_class_is_served_more_often_than_one_before_it(#[case] per_domain: usize) {
    let mut demands = [
        Demand::new(0, false, 3.0),
        Demand::new(1, false, 1.5),
        Demand::new(2, false, 1.0),
    ];
    offer(per_domain, &mut demands, true);
    let shares = demands.map(|demand| demand.served_share());
    assert!(
        shares.is_sorted_by(|left, right| left >= right),
        "{shares:?}"
    );
}
