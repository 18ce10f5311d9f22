//! Cost of calls with idempotency keys: the platform reads and writes per call, the
//! outcomes and the latency, at several request rates. The engines are fast and wide, so
//! that they don't limit the rate.

use std::time::Duration;

use rookferry_standin::CallKind;
use rookferry_standin::LoadRun;
use rookferry_standin::Mix;
use serde::Serialize;
use serde_json::Value;

use crate::testbed::Testbed;
use crate::testbed::engines;

const ENTRIES: usize = 9;
const RATES: [f64; 3] = [20.0, 60.0, 120.0];
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct RunFigures {
    keyed_calls_per_s: f64,
    writes_a_call: f64,
    reads_a_call: f64,
    /// Platform calls refused because of its rate limits.
    turned_away: u64,
    correct: u64,
    not_run: u64,
    unknown: u64,
    whole_p50_ms: f64,
    whole_p99_ms: f64,
}

pub(crate) fn run(seconds: u64) -> Value {
    let mut engines = engines(6);
    for engine in &mut engines {
        engine.batch_slots = 64;
        engine.step_us = 1_000;
        engine.link_us = 0;
    }
    let testbed = Testbed::start(engines, ENTRIES);
    let mut runs = Vec::new();
    for rate_per_s in RATES {
        runs.push(measure(&testbed, rate_per_s, seconds));
    }
    serde_json::to_value(runs).unwrap_or_default()
}

fn measure(testbed: &Testbed, rate_per_s: f64, seconds: u64) -> RunFigures {
    let mix = Mix {
        once: 1.0,
        ..Mix::default()
    };
    let mut plan = testbed.plan(rate_per_s, seconds, mix);
    plan.answer_tokens = (1, 2);
    let before = testbed.runtime.block_on(call_counts(testbed));
    let report = testbed.runtime.block_on(LoadRun::run(plan)).report;
    let after = testbed.runtime.block_on(call_counts(testbed));
    let since = |name: &str| after[name].as_u64().unwrap_or(0) - before[name].as_u64().unwrap_or(0);
    let once = report
        .kinds
        .get(&CallKind::Once)
        .cloned()
        .unwrap_or_default();
    RunFigures {
        keyed_calls_per_s: rate_per_s,
        writes_a_call: since("writes") as f64 / once.sent.max(1) as f64,
        reads_a_call: since("reads") as f64 / once.sent.max(1) as f64,
        turned_away: since("turned_away"),
        correct: once.correct,
        not_run: once.not_run,
        unknown: once.unknown,
        whole_p50_ms: once.whole.p50_ms,
        whole_p99_ms: once.whole.p99_ms,
    }
}

/// Call counters of the platform.
async fn call_counts(testbed: &Testbed) -> Value {
    let addr = testbed
        .site
        .addrs
        .platform
        .expect("the site has no platform");
    testbed
        .client
        .get(addr, "/admin/calls", CALL_TIMEOUT)
        .await
        .unwrap_or_default()
}
