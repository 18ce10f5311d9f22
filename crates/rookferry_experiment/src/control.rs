//! Cost of the control plane: CPU, heartbeat bytes and platform reads of idle sites, and
//! the time and memory of its computations by number of engines and of members.

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::ChainRequest;
use rookferry_core::ChooserKind;
use rookferry_core::Engine;
use rookferry_core::EngineState;
use rookferry_core::EngineStats;
use rookferry_core::Fleet;
use rookferry_core::MemberTable;
use rookferry_core::SiteConfig;
use rookferry_core::chooser_for;
use rookferry_wire::DatagramKey;
use rookferry_wire::EngineInfo;
use rookferry_wire::Heartbeat;
use rookferry_wire::LayerRange;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::process::cpu_time;
use crate::process::resident_bytes;
use crate::testbed::LAYERS;
use crate::testbed::Testbed;
use crate::testbed::engines;
use crate::testbed::site_config;

/// Instances and engines of the idle sites; each number varies while the other is fixed.
const SITES: [(usize, usize); 3] = [(9, 38), (9, 114), (27, 38)];
const ROUNDS: u32 = 200;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct Figures {
    idle_sites: Vec<IdleSite>,
    by_engines: Vec<EngineCost>,
    by_members: Vec<MemberCost>,
}

#[derive(Serialize)]
struct IdleSite {
    instances: usize,
    engines: usize,
    cpu_percent_of_a_core_each: f64,
    heartbeat_bytes_per_s_each: f64,
    platform_reads_per_s_in_all: f64,
}

#[derive(Serialize)]
struct EngineCost {
    engines: usize,
    /// Building the fleet, including a clone of its engines.
    rebuild_us: f64,
    choose_us: f64,
    bytes_an_engine: f64,
}

#[derive(Serialize)]
struct MemberCost {
    members: usize,
    /// Recording a heartbeat, including sealing and opening its datagram.
    heartbeat_taken_us: f64,
    tick_us: f64,
    datagram_bytes: usize,
    bytes_a_member: f64,
}

pub(crate) fn run(seconds: u64) -> Value {
    let figures = Figures {
        by_engines: [38, 207, 725, 2_900].map(measure_engines).into(),
        by_members: [9, 26, 93, 370].map(measure_members).into(),
        idle_sites: SITES
            .map(|(entries, engines)| measure_idle_site(entries, engines, seconds))
            .into(),
    };
    serde_json::to_value(figures).unwrap_or_default()
}

fn measure_idle_site(entries: usize, engines_in_all: usize, seconds: u64) -> IdleSite {
    let testbed = Testbed::start(engines(engines_in_all), entries);
    let heartbeats = || testbed.runtime.block_on(heartbeat_bytes(&testbed));
    let (cpu, bytes, reads) = (cpu_time("entry-"), heartbeats(), platform_reads(&testbed));
    let start = Instant::now();
    std::thread::sleep(Duration::from_secs(seconds));
    let elapsed_s = start.elapsed().as_secs_f64();
    let cpu = cpu_time("entry-").saturating_sub(cpu).as_secs_f64();
    let each = entries as f64 * elapsed_s;
    IdleSite {
        instances: entries,
        engines: engines_in_all,
        cpu_percent_of_a_core_each: 100.0 * cpu / each,
        heartbeat_bytes_per_s_each: (heartbeats() - bytes) / each,
        platform_reads_per_s_in_all: (platform_reads(&testbed) - reads) / elapsed_s,
    }
}

/// Heartbeat bytes sent by all instances, which share one metrics recorder in this
/// process.
async fn heartbeat_bytes(testbed: &Testbed) -> f64 {
    let addr = testbed.entries[0].addrs.operators;
    let metrics = testbed
        .client
        .get_text(addr, "/metrics", CALL_TIMEOUT)
        .await
        .unwrap_or_default();
    let mut lines = metrics.lines();
    let line = lines.find_map(|line| line.strip_prefix("rookferry_heartbeat_bytes_total "));
    line.and_then(|count| count.parse().ok()).unwrap_or(0.0)
}

fn platform_reads(testbed: &Testbed) -> f64 {
    let addr = testbed
        .site
        .addrs
        .platform
        .expect("the site has no platform");
    let calls = testbed
        .client
        .get::<Value>(addr, "/admin/calls", CALL_TIMEOUT);
    let calls = testbed.runtime.block_on(calls).unwrap_or_default();
    calls["reads"].as_f64().unwrap_or(0.0)
}

/// Synthetic engines over three stages, with one recorded step each.
fn synthetic_engines(count: usize) -> Vec<Engine> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let numbers = 0..count;
    numbers
        .map(|number| {
            let stage = u16::try_from(number % 3).unwrap_or(0);
            let stats = EngineStats::new();
            stats.record_step(Duration::from_millis(5 + number as u64 % 7));
            Engine {
                info: EngineInfo {
                    engine: format!("engine-{number:04}").into(),
                    incarnation: 1,
                    model: "scribe".into(),
                    model_version: "1".to_owned(),
                    layers: LayerRange {
                        start: stage * LAYERS / 3,
                        end: (stage + 1) * LAYERS / 3,
                    },
                    accelerator: "large".to_owned(),
                    labels: [("rack".to_owned(), format!("rack-{}", number / 16))].into(),
                    batch_slots: 8,
                    checks_fences: true,
                    leaving: false,
                },
                addr,
                failure_domain: "domain-1".into(),
                state: EngineState::Live,
                stats: Arc::new(stats),
            }
        })
        .collect()
}

fn measure_engines(count: usize) -> EngineCost {
    let text = site_config(&json!({})).to_string();
    let config = SiteConfig::from_json(&text).expect("invalid configuration");
    let before = resident_bytes();
    let engines = synthetic_engines(count);
    let fleet = Fleet::new(&config, engines.clone());
    let bytes = resident_bytes().saturating_sub(before);
    let rebuild_us = mean_micros(ROUNDS / 10, || {
        black_box(Fleet::new(&config, engines.clone()));
    });
    let graph = fleet
        .graph("main", "scribe")
        .expect("no graph for the pool and model");
    let chooser = chooser_for(ChooserKind::ExpectedFinish);
    let mut seed = 0;
    let choose_us = mean_micros(ROUNDS, || {
        seed += 1;
        let request = ChainRequest {
            layers: graph.all_layers(),
            excluded: &[],
            cached: &[],
            seed,
            ignores_limit: false,
        };
        black_box(chooser.choose(&config.policy, graph, fleet.engines(), &request));
    });
    EngineCost {
        engines: count,
        rebuild_us,
        choose_us,
        bytes_an_engine: bytes as f64 / count as f64,
    }
}

fn measure_members(count: usize) -> MemberCost {
    let key = DatagramKey::from_secret("secret of the experiment");
    let heartbeat = |number: usize, seq: u64| Heartbeat {
        instance: format!("entry-{number:03}").into(),
        incarnation: 1_800_000_000_000,
        seq,
        failure_domain: "domain-1".into(),
        peer_addr: SocketAddr::from(([127, 0, 0, 1], 4_000)),
        config_version: 100_000,
        leaving: false,
        interval_ms: 200,
        engines: Vec::new(),
    };
    let before = resident_bytes();
    let mut table = MemberTable::new("own".into(), 1, "domain-1".into());
    let now = Instant::now();
    for number in 0..count {
        let _ = table.on_heartbeat(now, heartbeat(number, 1));
    }
    let bytes = resident_bytes().saturating_sub(before);
    let sealed = key.seal(&heartbeat(1, 2)).unwrap_or_default();
    let mut seq = 2;
    let heartbeat_taken_us = mean_micros(ROUNDS * 10, || {
        seq += 1;
        let datagram = key.seal(&heartbeat(1, seq)).unwrap_or_default();
        if let Ok(heartbeat) = key.open(&datagram) {
            let _ = black_box(table.on_heartbeat(now, heartbeat));
        }
    });
    let tick_us = mean_micros(ROUNDS, || {
        black_box(table.tick(now));
    });
    MemberCost {
        members: count,
        heartbeat_taken_us,
        tick_us,
        datagram_bytes: sealed.len(),
        bytes_a_member: bytes as f64 / count as f64,
    }
}

/// Mean duration of a call in microseconds.
fn mean_micros(rounds: u32, mut call: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..rounds {
        call();
    }
    start.elapsed().as_secs_f64() * 1_000_000.0 / f64::from(rounds)
}
