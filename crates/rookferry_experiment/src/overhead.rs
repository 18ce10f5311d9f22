//! Latency and CPU time that an entry instance adds to a request.
//!
//! Compares steps sent straight to an engine with the time between tokens of streams
//! through one instance, and measures its throughput per CPU core.

use std::time::Duration;
use std::time::Instant;

use rookferry_net::EngineTransport;
use rookferry_net::HttpEngineTransport;
use rookferry_standin::CallKind;
use rookferry_standin::EngineConfig;
use rookferry_standin::LoadRun;
use rookferry_standin::Mix;
use rookferry_wire::LayerRange;
use rookferry_wire::Step;
use rookferry_wire::StepBatch;
use serde::Serialize;
use serde_json::Value;
use uuid::Uuid;

use crate::process::cpu_time;
use crate::testbed::LAYERS;
use crate::testbed::Testbed;
use crate::testbed::engines;

const DIRECT_STEPS: u32 = 400;
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct Figures {
    /// Duration of a step that is sent straight to the engine.
    direct_step_p50_us: f64,
    /// Time between tokens through an entry instance, divided by the number of stages.
    gap_a_stage_p50_us: f64,
    added_a_step_us: f64,
    lookup_p50_us: f64,
    lookup_p99_us: f64,
    tokens_per_s: f64,
    steps_per_core_s: f64,
    lookups_per_core_s: f64,
}

pub(crate) fn run(seconds: u64) -> Value {
    let testbed = Testbed::start(wide_engines(), 1);
    let direct_us = testbed.runtime.block_on(measure_direct_step(&testbed));
    let threads = testbed.entries[0].threads.clone();
    let streamed = Mix {
        streamed: 1.0,
        ..Mix::default()
    };
    let before = cpu_time(&threads);
    let tokens = run_load(&testbed, 60.0, seconds, streamed);
    let token_cpu = cpu_time(&threads).saturating_sub(before);
    let lookups = Mix {
        lookup: 1.0,
        ..Mix::default()
    };
    let before = cpu_time(&threads);
    let lookup = run_load(&testbed, 1_000.0, seconds, lookups);
    let lookup_cpu = cpu_time(&threads).saturating_sub(before);
    let gaps = tokens.report.kinds[&CallKind::Streamed].gaps.clone();
    let stages = 3.0;
    let gap_us = gaps.p50_ms * 1_000.0 / stages;
    let steps = tokens.report.tokens_per_s * seconds as f64 * stages;
    let times = lookup.report.kinds[&CallKind::Lookup].clone();
    let figures = Figures {
        direct_step_p50_us: direct_us,
        gap_a_stage_p50_us: gap_us,
        added_a_step_us: gap_us - direct_us,
        lookup_p50_us: times.whole.p50_ms * 1_000.0,
        lookup_p99_us: times.whole.p99_ms * 1_000.0,
        tokens_per_s: tokens.report.tokens_per_s,
        steps_per_core_s: steps / token_cpu.as_secs_f64().max(0.01),
        lookups_per_core_s: times.correct as f64 / lookup_cpu.as_secs_f64().max(0.01),
    };
    serde_json::to_value(figures).unwrap_or_default()
}

/// One engine per stage, fast and with batches wide enough for all streams, so that the
/// engines don't limit throughput.
fn wide_engines() -> Vec<EngineConfig> {
    let mut engines = engines(3);
    for (engine, stage) in engines.iter_mut().zip(0_u16..) {
        engine.layers = LayerRange {
            start: stage * LAYERS / 3,
            end: (stage + 1) * LAYERS / 3,
        };
        engine.batch_slots = 256;
        engine.step_us = 1_000;
        engine.position_us = 0;
        engine.link_us = 0;
    }
    engines
}

fn run_load(testbed: &Testbed, rate_per_s: f64, seconds: u64, mix: Mix) -> LoadRun {
    let plan = testbed.plan(rate_per_s, seconds, mix);
    testbed.runtime.block_on(LoadRun::run(plan))
}

/// Median duration in microseconds of one-position steps sent straight to an engine.
async fn measure_direct_step(testbed: &Testbed) -> f64 {
    let transport = HttpEngineTransport::new(testbed.client.clone());
    let addr = testbed.site.addrs.engines["engine-00"];
    let stream = Uuid::now_v7();
    let mut times = Vec::new();
    for position in 0..DIRECT_STEPS {
        let step = Step {
            stream,
            attempt: 1,
            position,
            input: vec![1],
            priority: 0,
        };
        let sent_at = Instant::now();
        let batch = StepBatch { steps: vec![step] };
        let _ = transport.steps(addr, batch, STEP_TIMEOUT).await;
        times.push(sent_at.elapsed());
    }
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1_000_000.0
}
