//! Time from a fault until the tokens per second are back at 95 % of their mean before
//! it, and the longest stall within a stream. Each fault has a fresh site and is injected
//! in the middle of the load.

use std::net::SocketAddr;
use std::time::Duration;

use rookferry_standin::Arrivals;
use rookferry_standin::CallKind;
use rookferry_standin::LoadRun;
use rookferry_standin::Mix;
use rookferry_standin::TimedFault;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::testbed::Testbed;
use crate::testbed::engines;
use crate::testbed::token_rate_bound;

const ENGINES: usize = 38;
const ENTRIES: usize = 9;
const ANSWER_TOKENS: f64 = 32.0;
/// Load as a share of the upper bound; leaves the other engines capacity to take over.
const LOAD_OF_BOUND: f64 = 0.5;
/// Share of the earlier tokens per second that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

#[derive(Serialize)]
struct RunFigures {
    fault: String,
    recovery_ms: Option<u64>,
    /// Longest time between two tokens of an answer.
    longest_stall_ms: f64,
    between_tokens_p99_ms: f64,
    correct: u64,
    wrong: u64,
    not_run: u64,
    unknown: u64,
    cut: u64,
}

pub(crate) fn run(seconds: u64, only: Option<&str>, floor_ms: Option<u64>) -> Value {
    let faults: [(&str, &str, Value); 6] = [
        ("none", "", json!({})),
        ("engine killed", "engine-00", json!({"dead": true})),
        ("engine frozen", "engine-01", json!({"frozen": true})),
        (
            "link cut to a slow one",
            "engine-02",
            json!({"delay_ms": 300}),
        ),
        ("engine leaving", "engine-00", json!({"leaving": true})),
        ("platform out", "platform", json!({"dead": true})),
    ];
    let mut runs: Vec<RunFigures> = Vec::new();
    let policy = match floor_ms {
        Some(floor_ms) => json!({"step_timeout_floor_ms": floor_ms}),
        None => json!({}),
    };
    let is_selected = |name: &str| only.is_none_or(|only| name.contains(only));
    for (name, target, fault) in faults.iter().filter(|(name, ..)| is_selected(name)) {
        runs.push(measure_fault(name, target, fault, &policy, seconds));
    }
    if is_selected("entry") {
        runs.push(measure_killed_entry(seconds));
    }
    serde_json::to_value(runs).unwrap_or_default()
}

fn measure_fault(
    name: &str,
    target: &str,
    fault: &Value,
    policy: &Value,
    seconds: u64,
) -> RunFigures {
    let testbed = Testbed::start(engines(ENGINES), ENTRIES);
    let version = testbed.apply(policy);
    testbed.wait_until_active(version);
    let addr = fault_addr(&testbed, target);
    let fault_at_ms = seconds * 500;
    let mut plan = plan(&testbed, seconds);
    plan.faults.extend(addr.map(|addr| TimedFault {
        at_ms: fault_at_ms,
        addr,
        fault: fault.clone(),
    }));
    let run = testbed.runtime.block_on(LoadRun::run(plan));
    figures(name, &run, fault_at_ms)
}

fn measure_killed_entry(seconds: u64) -> RunFigures {
    let mut testbed = Testbed::start(engines(ENGINES), ENTRIES);
    let fault_at_ms = seconds * 500;
    let plan = plan(&testbed, seconds);
    let mut killed = testbed.entries.remove(0);
    let run = testbed.runtime.block_on(async {
        let load = tokio::spawn(LoadRun::run(plan));
        tokio::time::sleep(Duration::from_millis(fault_at_ms)).await;
        killed.kill();
        load.await.expect("the load task panicked")
    });
    figures(
        "entry killed, the balancer goes on sending to it",
        &run,
        fault_at_ms,
    )
}

fn plan(testbed: &Testbed, seconds: u64) -> rookferry_standin::LoadPlan {
    let mix = Mix {
        streamed: 1.0,
        ..Mix::default()
    };
    let rate_per_s = token_rate_bound(&testbed.engines) as f64 * LOAD_OF_BOUND / ANSWER_TOKENS;
    let mut plan = testbed.plan(rate_per_s, seconds, mix);
    // Random arrivals and lengths would mask the fault's effect on the throughput.
    plan.arrivals = Arrivals::Steady;
    plan.answer_tokens = (32, 32);
    plan
}

fn fault_addr(testbed: &Testbed, target: &str) -> Option<SocketAddr> {
    if target == "platform" {
        return testbed.site.addrs.platform;
    }
    testbed.site.addrs.engines.get(target).copied()
}

fn figures(name: &str, run: &LoadRun, fault_at_ms: u64) -> RunFigures {
    let streamed = run
        .report
        .kinds
        .get(&CallKind::Streamed)
        .cloned()
        .unwrap_or_default();
    let recovery = run
        .report
        .recovery_time(Duration::from_millis(fault_at_ms), RECOVERED_SHARE);
    let figures = RunFigures {
        fault: name.to_owned(),
        recovery_ms: recovery.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
        longest_stall_ms: streamed.gaps.max_ms,
        between_tokens_p99_ms: streamed.gaps.p99_ms,
        correct: streamed.correct,
        wrong: streamed.wrong,
        not_run: streamed.not_run,
        unknown: streamed.unknown,
        cut: streamed.cut,
    };
    eprintln!("{}", serde_json::to_string(&figures).unwrap_or_default());
    figures
}
