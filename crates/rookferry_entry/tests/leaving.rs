//! Leaving: backend servers that leave get no new work, and planned stops interrupt
//! no request.

mod support;

use std::time::Duration;

use rookferry_standin::CallOutcome;
use rookferry_wire::InstanceKind;
use rstest::rstest;
use serde_json::json;
use support::TestSite;
use support::assert_whole;
use support::config;
use support::eventually;
use support::request;

/// Source of the report that an engine is leaving.
#[derive(Clone, Copy, Debug)]
enum LeaveSource {
    Engine,
    List,
    Selector,
}

async fn report_leaving(site: &TestSite, source: LeaveSource, engine: &str) {
    match source {
        LeaveSource::Engine => site.engine_fault(engine, json!({"leaving": true})).await,
        LeaveSource::List => {
            let entry = json!({
                "name": engine,
                "kind": InstanceKind::ModelEngine,
                "addr": site.engine_addr(engine),
                "failure_domain": "domain-1",
                "labels": {"copy": "1"},
                "state": "leaving",
            });
            site.list(engine, Some(entry)).await;
        }
        LeaveSource::Selector => {
            let mut value = config();
            value["leaving"] = json!([format!("engine = {engine}")]);
            site.apply(value).await;
        }
    }
}

/// Number of streams that an engine has run, by its ledger.
async fn streams(site: &TestSite, engine: &str) -> usize {
    let ledgers = site.ledgers().await;
    let ledger = ledgers.iter().find(|ledger| *ledger.engine == *engine);
    ledger.expect("its ledger").streams.len()
}

/// Number of streams that any first stage has run.
async fn first_stages(site: &TestSite) -> usize {
    let ledgers = site.ledgers().await;
    let first = ledgers.iter().filter(|ledger| ledger.layers.start == 0);
    first.map(|ledger| ledger.streams.len()).sum()
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work_and_keeps_its_streams(
    #[values(LeaveSource::Engine, LeaveSource::List, LeaveSource::Selector)] source: LeaveSource,
) {
    let site = TestSite::start(2).await;
    let mut running = Vec::new();
    for number in 0..12 {
        let caller = site.caller();
        let addr = site.entries[number % 2].callers;
        running.push(tokio::spawn(async move {
            let prompt = format!("under way {number}");
            (
                caller
                    .complete(addr, &request(&prompt, 60, false), None)
                    .await,
                prompt,
            )
        }));
    }
    // Waits for all of them: a request placed before the report and sent after it
    // would count as new work below.
    eventually("all requests are on engines", async || {
        first_stages(&site).await >= running.len() && streams(&site, "s1-1").await > 0
    })
    .await;
    report_leaving(&site, source, "s1-1").await;
    for entry in &site.entries {
        eventually(
            "the instance knows that the engine is leaving",
            async || {
                let status = site.status(entry).await.unwrap_or_default();
                status["engines"]["s1-1"]["state"] == "leaving"
            },
        )
        .await;
    }
    let before = streams(&site, "s1-1").await;
    for number in 0..20 {
        let prompt = format!("after the word {number}");
        let ending = site
            .caller()
            .complete(
                site.entries[number % 2].callers,
                &request(&prompt, 3, false),
                None,
            )
            .await;
        assert!(matches!(ending, CallOutcome::Answered(_)), "{ending:?}");
    }
    assert_eq!(
        streams(&site, "s1-1").await,
        before,
        "work sent to a leaving engine"
    );
    for task in running {
        let (ending, prompt) = task.await.expect("an ending");
        let CallOutcome::Answered(answer) = ending else {
            panic!("cut: {ending:?}");
        };
        assert_whole(&answer, &prompt, 60);
    }
}

/// Every instance is replaced under load, one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_interrupts_no_request() {
    let mut site = TestSite::start(3).await;
    let mut running = Vec::new();
    for round in 0..3 {
        for number in 0..10 {
            let caller = site.caller();
            let addr = site.entries[number % 3].callers;
            running.push(tokio::spawn(async move {
                let prompt = format!("round {round}, number {number}");
                let body = request(&prompt, 80, number % 2 == 0);
                (caller.complete(addr, &body, None).await, prompt)
            }));
        }
        eventually("requests are active", async || {
            let ledgers = site.ledgers().await;
            let seen = ledgers.iter().filter(|ledger| ledger.layers.start == 0);
            seen.map(|ledger| ledger.streams.len()).sum::<usize>() >= (round + 1) * 10
        })
        .await;
        site.entries[0].terminate();
        let code = site.entries[0].wait_for_exit().await;
        assert_eq!(code, Some(0), "it left with active requests");
        site.entries.remove(0);
        site.add_entry(json!({})).await;
        site.wait_until_settled().await;
    }
    for task in running {
        let (ending, prompt) = task.await.expect("an ending");
        let CallOutcome::Answered(answer) = ending else {
            panic!("cut: {ending:?}");
        };
        assert_whole(&answer, &prompt, 80);
    }
}

/// A leaving instance first fails `/readyz`, then accepts no more connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_instance_first_fails_readiness() {
    let mut site = TestSite::start(1).await;
    let operators = site.entries[0].operators;
    site.entries[0].terminate();
    eventually("it isn't ready", async || {
        let ready = site
            .client
            .get_text(operators, "/readyz", Duration::from_secs(1))
            .await;
        ready.is_err()
    })
    .await;
    assert_eq!(site.entries[0].wait_for_exit().await, Some(0));
}

/// A new engine in the list gets work without operator action.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_joins_gets_work() {
    let engines = support::engines();
    let (late, early): (Vec<_>, Vec<_>) = engines
        .into_iter()
        .partition(|engine| *engine.engine == *"s0-2");
    let site = TestSite::start_with(1, early).await;
    let late = late.into_iter().next().expect("an engine");
    let domain = late.failure_domain.clone();
    let server = rookferry_standin::EngineServer::start(late)
        .await
        .expect("an engine");
    let entry = json!({
        "name": server.engine, "kind": InstanceKind::ModelEngine, "addr": server.addr,
        "failure_domain": domain, "labels": {"copy": "2"}, "state": "live",
    });
    site.list("s0-2", Some(entry)).await;
    eventually("it gets work", async || {
        let ending = site
            .caller()
            .complete(
                site.entries[0].callers,
                &request("for whom", 2, false),
                None,
            )
            .await;
        assert!(matches!(ending, CallOutcome::Answered(_)), "{ending:?}");
        let ledger: rookferry_standin::Ledger = site
            .client
            .get(server.addr, "/admin/ledger", Duration::from_secs(5))
            .await
            .expect("a ledger");
        !ledger.streams.is_empty()
    })
    .await;
}
