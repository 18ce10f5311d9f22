//! Engines that refuse work although they have free cache: how often they are tried, and
//! when they are tried again.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rookferry_core::PathFinder;
use rookferry_core::PipelineEngine;
use rookferry_core::RefusingObservation;
use rookferry_core::RefusingServers;
use rookferry_core::ServerKey;
use rookferry_wire::LayerRange;

const INSTANCES: usize = 59;
/// Interval between streams that arrive in the domain.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(12);
/// Delay of reports from peers.
const REPORT_DELAY: Duration = Duration::from_millis(200);
const CACHE_TOKENS: f64 = 100_000.0;
const STREAM_TOKENS: f64 = 900.0;

fn key(number: u16) -> ServerKey {
    let addr = SocketAddr::from(([10, 0, 0, 1], number));
    ServerKey::new(addr, &format!("engine-{number}"), None)
}

/// A domain's engines: three for each of four stages.
fn engines() -> Vec<PipelineEngine> {
    let engine = |number: u16| PipelineEngine {
        engine: format!("engine-{number}").into(),
        server: key(number),
        domain: "domain".into(),
        held: LayerRange {
            start: number % 4 * 20,
            end: number % 4 * 20 + 20,
        },
        layer_step_ms: 0.2,
        cache_tokens: CACHE_TOKENS,
        used_tokens: 30_000.0,
        is_refusing: false,
    };
    (0..12).map(engine).collect()
}

/// When peers receive an observation, the instance that made it, and the observation.
type DelayedObservation = (Duration, usize, RefusingObservation);

/// Simulates streams for `length` while the engines in `leaving` refuse all of them, and
/// returns how many tries were refused. With `shares_reports` instances advertise
/// refusals.
fn refused_tries(leaving: &[u16], shares_reports: bool, length: Duration) -> usize {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut refusing_servers = (0..INSTANCES)
        .map(|_| RefusingServers::new(rng.random()))
        .collect::<Vec<_>>();
    let mut observations: VecDeque<DelayedObservation> = VecDeque::new();
    let mut engines = engines();
    // An engine that accepts nothing has nothing in its cache.
    for engine in &mut engines {
        if leaving.contains(&engine.addr().port()) {
            engine.used_tokens = 0.0;
        }
    }
    let mut tries = 0;
    let mut at = Duration::ZERO;
    while at < length {
        let now = start + at;
        while observations.front().is_some_and(|(due, _, _)| *due <= at) {
            let Some((due, from, observation)) = observations.pop_front() else {
                break;
            };
            for (index, instance) in refusing_servers.iter_mut().enumerate() {
                if index != from {
                    let age_ms =
                        u64::try_from((at + REPORT_DELAY).saturating_sub(due).as_millis()).unwrap();
                    instance.merge(
                        RefusingObservation {
                            age_ms,
                            ..observation
                        },
                        now,
                    );
                }
            }
        }
        let index = rng.random_range(0..INSTANCES);
        let instance = &mut refusing_servers[index];
        for engine in &mut engines {
            engine.is_refusing = instance.is_refusing(engine.server, now);
        }
        let finder = PathFinder::new(80, &engines);
        let path = finder
            .find(&"domain".into(), STREAM_TOKENS)
            .expect("a path");
        let refusing = path
            .stages()
            .iter()
            .find(|stage| leaving.contains(&stage.addr().port()));
        if let Some(refusing) = refusing {
            tries += 1;
            instance.refused(refusing.server, 0.0, CACHE_TOKENS, now);
            let observation = instance.observations(now).into_iter();
            if shares_reports
                && let Some(observation) =
                    observation.max_by_key(|observation| observation.server == refusing.server)
            {
                observations.push_back((at + REPORT_DELAY, index, observation));
            }
        } else {
            for stage in path.stages() {
                instance.accepted(stage.server, now);
            }
        }
        at += ARRIVAL_INTERVAL;
    }
    tries
}

#[test]
fn shared_refusals_reduce_tries_of_engines_that_refuse_all_work() {
    let leaving = [1, 6];
    let length = Duration::from_millis(2_500);
    let alone = refused_tries(&leaving, false, length);
    let together = refused_tries(&leaving, true, length);
    assert!(alone > 100, "{alone} of 208 tries refused without sharing");
    assert!(
        together < 50,
        "{together} of 208 tries refused with sharing"
    );
}

#[test]
fn a_server_that_refuses_again_is_excluded_for_longer() {
    let start = Instant::now();
    let mut refusing_servers = RefusingServers::new(0.0);
    let mut at = start;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        refusing_servers.refused(key(1), 0.0, CACHE_TOKENS, at);
        let since = at;
        while refusing_servers.is_refusing(key(1), at) {
            at += Duration::from_millis(50);
        }
        pauses.push(at - since);
    }
    assert!(pauses[1] + Duration::from_millis(50) >= pauses[0] * 2);
    assert!(pauses[5] <= Duration::from_secs(4));
}

#[test]
fn a_full_server_does_not_count_as_refusing() {
    let now = Instant::now();
    let mut refusing_servers = RefusingServers::new(0.0);
    assert!(!refusing_servers.refused(key(1), 80_000.0, CACHE_TOKENS, now));
    assert!(!refusing_servers.is_refusing(key(1), now));
}

#[test]
fn accepted_work_or_a_new_entry_ends_the_exclusion() {
    let now = Instant::now();
    let mut refusing_servers = RefusingServers::new(0.0);
    refusing_servers.refused(key(1), 0.0, CACHE_TOKENS, now);
    refusing_servers.accepted(key(1), now);
    assert!(!refusing_servers.is_refusing(key(1), now));
    // A report from before the acceptance is outdated.
    let old = RefusingObservation {
        server: key(1),
        age_ms: 300,
        refusals: 1,
    };
    refusing_servers.merge(old, now);
    assert!(!refusing_servers.is_refusing(key(1), now));
    refusing_servers.refused(key(1), 0.0, CACHE_TOKENS, now);
    assert!(refusing_servers.is_refusing(key(1), now));
    refusing_servers.entry_changed(key(1));
    assert!(!refusing_servers.is_refusing(key(1), now));
}

#[test]
fn a_refusing_engine_is_still_tried_where_no_other_holds_the_layers() {
    let mut engines = engines();
    for engine in &mut engines {
        engine.is_refusing = engine.addr().port() % 4 == 1;
    }
    let finder = PathFinder::new(80, &engines);
    assert!(finder.find(&"domain".into(), STREAM_TOKENS).is_ok());
}

#[test]
fn invalid_observations_exclude_no_longer_than_any_refusal() {
    let now = Instant::now();
    let mut refusing_servers = RefusingServers::new(0.0);
    let damaged = RefusingObservation {
        server: key(1),
        age_ms: u64::MAX,
        refusals: u8::MAX,
    };
    refusing_servers.merge(damaged, now);
    assert!(!refusing_servers.is_refusing(key(1), now));
    refusing_servers.merge(
        RefusingObservation {
            age_ms: 0,
            ..damaged
        },
        now,
    );
    assert!(refusing_servers.is_refusing(key(1), now));
    assert!(!refusing_servers.is_refusing(key(1), now + Duration::from_secs(4)));
}
