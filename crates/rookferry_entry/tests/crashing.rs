//! Calls that crash each server that runs them.
//!
//! Guards against retrying such a call without limit. The instance that runs a
//! stream replaces a lost engine until the route's deadline, so without a
//! quarantine each call crashes engines as often as they restart: 50 times in six
//! calls of four seconds. Without shared counts, each new call starts over.

mod support;

use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use rookferry_standin::CallOutcome;
use rookferry_wire::Outcome;
use rookferry_wire::ReasonCode;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use support::KEY;
use support::SERVICE;
use support::TestSite;
use support::assert_whole;
use support::eventually;
use support::request;
use uuid::Uuid;

const TOKENS: u32 = 5;
const CRASHING_PROMPT: &str = "ends engines";
/// Most crashes that one call may cause.
const MAX_CRASHES: u32 = 6;
const SENDS: usize = 6;

async fn engine_crashes(site: &TestSite) -> u32 {
    site.ledgers().await.iter().map(|ledger| ledger.ends).sum()
}

/// Waits until calls with other content are served by every instance.
async fn wait_until_served(site: &TestSite) {
    site.wait_until_settled().await;
    for entry in &site.entries {
        eventually("another call is served", async || {
            let body = request("another prompt", TOKENS, false);
            let ending = site.caller().complete(entry.callers, &body, None).await;
            matches!(ending, CallOutcome::Answered(answer) if !answer.tokens.is_empty())
        })
        .await;
    }
}

#[rstest]
#[case::without_a_key(false)]
#[case::under_a_new_key_each_time(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_completion_that_crashes_engines_is_quarantined(#[case] is_keyed: bool) {
    let site = TestSite::start(2).await;
    let mut config = support::config();
    config["routes"][0]["deadline_ms"] = json!(4_000);
    let version = site.apply(config).await;
    for entry in &site.entries {
        site.wait_for_version(entry, version).await;
    }
    for engine in ["s0-1", "s0-2"] {
        site.engine_fault(engine, json!({"ends_under": CRASHING_PROMPT}))
            .await;
    }
    let mut last = None;
    for number in 0..SENDS {
        wait_until_served(&site).await;
        let entry = &site.entries[number % 2];
        let key = is_keyed.then(|| Uuid::now_v7().to_string());
        let body = request(CRASHING_PROMPT, TOKENS, false);
        let caller = site.caller();
        last = Some(caller.complete(entry.callers, &body, key.as_deref()).await);
    }
    let ends = engine_crashes(&site).await;
    assert!(ends <= MAX_CRASHES, "one call crashed engines {ends} times");
    let Some(CallOutcome::Problem(problem)) = last else {
        panic!("not refused: {last:?}");
    };
    assert_eq!(problem.reason, ReasonCode::Quarantined);
    // With a key it is unknown whether the key was run for an earlier call.
    let outcome = if is_keyed {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    assert_eq!(problem.outcome, outcome);
    wait_until_served(&site).await;
}

/// Calls the plain service; returns the answer's JSON body, if it is complete.
async fn call_service(site: &TestSite, entry: usize, body: &'static str) -> Option<Value> {
    let addr = site.entries[entry].callers;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{addr}/apps/{SERVICE}/x"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("rookferry-repeatable", "true")
        .body(Full::new(body.into()))
        .expect("a request");
    let answer = site.client.send(addr, request, support::PATIENCE).await;
    let body = answer.ok()?.into_body().collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashes_plain_servers_is_quarantined() {
    let site = TestSite::start(2).await;
    for addr in site.site.addrs.apps.values() {
        site.fault(*addr, json!({"ends_under": CRASHING_PROMPT}))
            .await;
    }
    let mut response = None;
    for number in 0..SENDS {
        eventually("another call is served", async || {
            let answer = call_service(&site, number % 2, "harmless").await;
            answer.is_some_and(|answer| answer["body"] == "harmless")
        })
        .await;
        response = call_service(&site, number % 2, CRASHING_PROMPT).await;
    }
    let response = response.expect("a problem");
    assert_eq!(response["reason"], "quarantined", "{response}");
    assert_eq!(response["outcome"], "not_run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_whose_engines_crash_for_other_reasons_is_served() {
    let site = TestSite::start(2).await;
    for number in 0..5 {
        wait_until_served(&site).await;
        let body = request("a bystander", 40, false);
        let caller = site.caller();
        let asked = caller.complete(site.entries[number % 2].callers, &body, None);
        let ends = async {
            eventually("it runs", async || {
                site.streams_of("a bystander").await > number
            })
            .await;
            for engine in ["s1-1", "s1-2"] {
                site.engine_fault(engine, json!({"dead": true})).await;
                site.engine_fault(engine, json!({"dead": false})).await;
            }
        };
        let (ending, ()) = tokio::join!(asked, ends);
        let CallOutcome::Answered(answer) = ending else {
            panic!("not answered: {ending:?}");
        };
        assert_whole(&answer, "a bystander", 40);
    }
}
