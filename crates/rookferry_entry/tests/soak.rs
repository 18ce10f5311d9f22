//! Soak test: mixed load while engines and entry instances are killed, frozen and
//! replaced. Every request is checked against the engines' ledgers.
//!
//! `ROOKFERRY_SOAK_REQUESTS` sets the number of requests; the default is 360.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use rookferry_standin::Arrivals;
use rookferry_standin::CallKind;
use rookferry_standin::CallOutcome;
use rookferry_standin::LoadAccount;
use rookferry_standin::LoadPlan;
use rookferry_standin::LoadRun;
use rookferry_standin::Mix;
use rookferry_wire::Outcome;
use serde_json::json;
use support::LAYERS;
use support::TestSite;
use support::assert_no_repeats;

const RATE_PER_S: f64 = 60.0;
/// Time between two faults.
const FAULT_EVERY: Duration = Duration::from_millis(1_500);

fn requests() -> u64 {
    let set = std::env::var("ROOKFERRY_SOAK_REQUESTS").ok();
    set.and_then(|number| number.parse().ok()).unwrap_or(360)
}

fn plan(site: &TestSite) -> LoadPlan {
    let account = |name: &str, key: &str| LoadAccount {
        name: name.to_owned(),
        key: key.to_owned(),
        share: 1.0,
    };
    LoadPlan {
        targets: site.entries.iter().map(|entry| entry.callers).collect(),
        seed: 5,
        duration_ms: requests() * 1_000 / 60,
        rate_per_s: RATE_PER_S,
        arrivals: Arrivals::Poisson,
        accounts: vec![
            account("desk", support::KEY),
            account("other", support::OTHER_KEY),
        ],
        mix: Mix {
            whole: 2.0,
            streamed: 2.0,
            once: 3.0,
            lookup: 1.0,
            submit: 1.0,
        },
        model: "scribe".to_owned(),
        layers: LAYERS,
        prompt_tokens: (44, 60),
        answer_tokens: (4, 30),
        prefixes: 8,
        service: support::SERVICE.to_owned(),
        max_in_flight: 4_096,
        patience_ms: 20_000,
        faults: Vec::new(),
    }
}

/// Injects faults until the load has ended: replaces an entry instance, kills an
/// engine, freezes an engine, and so on. Returns the numbers of engine faults and of
/// entry kills.
async fn inject_faults(site: &mut TestSite, load: &tokio::task::JoinHandle<LoadRun>) -> (u32, u32) {
    let engines: Vec<String> = site.site.addrs.engines.keys().cloned().collect();
    let (mut engine_faults, mut entry_kills) = (0, 0);
    let mut round = 0;
    while !load.is_finished() {
        tokio::time::sleep(FAULT_EVERY).await;
        round += 1;
        let engine = &engines[round % engines.len()];
        match round % 3 {
            0 => {
                let callers = site.entries[0].callers;
                site.entries[0].kill();
                site.entries.remove(0);
                site.add_entry(json!({"callers": callers})).await;
                entry_kills += 1;
            }
            1 => {
                site.engine_fault(engine, json!({"dead": true})).await;
                tokio::time::sleep(FAULT_EVERY / 2).await;
                site.engine_fault(engine, json!({"dead": false})).await;
                engine_faults += 1;
            }
            _ => {
                site.engine_fault(engine, json!({"frozen": true})).await;
                tokio::time::sleep(FAULT_EVERY / 2).await;
                site.engine_fault(engine, json!({"frozen": false})).await;
                engine_faults += 1;
            }
        }
    }
    (engine_faults, entry_kills)
}

#[tokio::test(flavor = "multi_thread")]
async fn every_outcome_in_a_soak_is_correct_and_truthful() {
    let mut site = TestSite::start(3).await;
    let load = tokio::spawn(LoadRun::run(plan(&site)));
    let (engine_faults, entry_kills) = inject_faults(&mut site, &load).await;
    let run = load.await.expect("the load");
    println!("{engine_faults} engine faults, {entry_kills} entry kills");
    println!("{}", run.report.to_text());
    let ledgers = site.ledgers().await;
    assert_no_repeats(&without_restarted(&ledgers));
    let mut streams: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for ledger in &ledgers {
        for (stream, runs) in &ledger.streams {
            let Some(prompt) = runs.prompt else { continue };
            let seen = streams.entry(prompt).or_default();
            if !seen.contains(&stream.to_string()) {
                seen.push(stream.to_string());
            }
        }
    }
    let calls = site.app_calls().await;
    for request in &run.requests {
        if let CallOutcome::Answered(_) = &request.outcome {
            assert!(request.is_correct, "wrong: {request:?}");
        }
        let ran = streams.get(&request.prompt).map_or(0, Vec::len);
        let is_model = !matches!(request.kind, CallKind::Lookup | CallKind::Submit);
        assert!(
            !is_model || ran <= 1,
            "doubled: {request:?} ran as {ran} streams"
        );
        for id in &request.not_run_ids {
            let stream = id.rsplit_once('.').map_or("", |(_, stream)| stream);
            let has_run = streams.values().flatten().any(|known| known == stream);
            assert!(
                !has_run && !calls.contains_key(id),
                "reported as not run, but it ran: {id}"
            );
        }
    }
    assert!(calls.values().all(|count| *count <= 3), "{calls:?}");
    let lost = run.requests.iter().filter(|request| {
        let is_once = request.kind == CallKind::Once;
        is_once && matches!(&request.outcome, CallOutcome::Problem(problem) if problem.outcome == Outcome::Running)
    });
    assert_eq!(lost.count(), 0, "a key stays running for ever");
}

/// The ledgers without streams that lived through a restart of their engine.
///
/// A restarted engine rebuilds positions that it had run, and a ledger can't tell
/// incarnations apart; these streams are checked by comparing answers only.
fn without_restarted(ledgers: &[rookferry_standin::Ledger]) -> Vec<rookferry_standin::Ledger> {
    let mut ledgers = ledgers.to_vec();
    for ledger in &mut ledgers {
        ledger.streams.retain(|_, runs| !runs.has_died);
    }
    ledgers
}
