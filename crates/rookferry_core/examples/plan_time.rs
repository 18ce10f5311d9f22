//! Measures the time of a layout plan for empty engines, for a complete layout and
//! after the loss of an engine.
//!
//! `cargo run --release -p rookferry_core --example plan_time`

use std::time::Duration;
use std::time::Instant;

use rookferry_core::AcceleratorKind;
use rookferry_core::LayoutEngine;
use rookferry_core::LayoutPlanner;
use rookferry_core::ModelShape;

const DOMAINS: usize = 3;
const RUNS: u32 = 5;

fn kind(name: &str, memory_mb: f64, step_factor: f64) -> AcceleratorKind {
    AcceleratorKind {
        name: name.to_owned(),
        memory_mb,
        step_factor,
        read_factor: step_factor / 2.0,
    }
}

fn model() -> ModelShape {
    ModelShape {
        layers: 80,
        layer_mb: 1_700.0,
        cache_bytes_per_token: 500_000.0,
        step_ms: 1.0,
        step_ms_per_request: 0.005,
        step_ms_per_context_k: 0.006,
        max_requests: 192.0,
        steps_per_pass: 4.0,
        read_tokens_per_ms: 200.0,
        read_ms_per_m_pairs: 0.2,
        usual_prompt_tokens: 800.0,
        usual_answer_tokens: 200.0,
        activation_bytes: 22_900.0,
        link_mbps: 5_600.0,
        kinds: vec![
            kind("large", 60_000.0, 3.0),
            kind("mid", 22_000.0, 15.0),
            kind("small", 15_000.0, 6.0),
        ],
    }
}

fn fleet(count: usize) -> Vec<LayoutEngine> {
    let engines = (0..count).map(|number| LayoutEngine {
        engine: format!("engine-{number}").into(),
        domain: format!("domain-{}", number % DOMAINS).into(),
        kind: match number % 10 {
            0 => "large".to_owned(),
            1..=4 => "mid".to_owned(),
            _ => "small".to_owned(),
        },
        held: None,
        is_busy: false,
    });
    engines.collect()
}

fn timed(planner: &LayoutPlanner<'_>, engines: &[LayoutEngine]) -> Duration {
    let started_at = Instant::now();
    for _ in 0..RUNS {
        std::hint::black_box(planner.plan(engines));
    }
    started_at.elapsed() / RUNS
}

fn main() {
    let model = model();
    let planner = LayoutPlanner::new(&model).with_longest_pause(Duration::from_millis(200));
    for count in [40, 218, 500, 3_000] {
        let mut engines = fleet(count);
        let first = timed(&planner, &engines);
        for order in planner.plan(&engines) {
            let ordered = engines
                .iter_mut()
                .find(|engine| engine.engine == order.engine);
            if let Some(engine) = ordered {
                engine.held = Some(order.layers);
            }
        }
        let settled = timed(&planner, &engines);
        engines.remove(0);
        let after_loss = timed(&planner, &engines);
        println!(
            "{count} engines: {first:.1?} for empty engines, {settled:.1?} with no changes needed, \
             {after_loss:.1?} after a loss"
        );
    }
}
