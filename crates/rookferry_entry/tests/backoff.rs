//! Engines and plain servers that refuse with 503 and ask for time, on the
//! product's own interface. Nothing read what such a refusal said: an engine
//! counted as lost after two of them and was asked again four times a second, and
//! a plain server got its share of all calls on.

mod support;

use std::net::SocketAddr;

use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use rookferry_standin::CallOutcome;
use serde_json::Value;
use serde_json::json;
use support::KEY;
use support::SERVICE;
use support::TestSite;
use support::assert_whole;
use support::eventually;
use support::request;

/// A time that no test outlasts, in seconds.
const LONG_S: f64 = 50.0;
const CALLS: usize = 10;
/// More refusals than any test sees.
const ALL: u32 = 100_000;

/// Has a backend server refuse calls and ask for time.
async fn ask_for_backoff(site: &TestSite, addr: SocketAddr, refusals: u32) {
    let fault = json!({"retry_after": LONG_S.to_string(), "refusals": refusals});
    site.fault(addr, fault).await;
}

/// Calls that reached a server since it asked for time, if it has.
async fn calls_since(site: &TestSite, addr: SocketAddr) -> Option<u32> {
    let wait = support::PATIENCE;
    let calls = site.client.get(addr, "/admin/calls-since-asked", wait);
    calls.await.expect("a count")
}

/// Calls the plain service; gives the status and the body.
async fn call_service(site: &TestSite) -> (StatusCode, Value) {
    let addr = site.entries[0].callers;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{addr}/apps/{SERVICE}/x"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("rookferry-repeatable", "true")
        .body(Full::new("a call".into()))
        .expect("a request");
    let answer = site.client.send(addr, request, support::PATIENCE).await;
    let (head, body) = answer.expect("an answer").into_parts();
    let body = body.collect().await.expect("a body").to_bytes();
    (
        head.status,
        serde_json::from_slice(&body).unwrap_or_default(),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_asks_for_backoff_gets_no_call_in_it() {
    let site = TestSite::start(1).await;
    site.settled().await;
    let engine = site.site.addrs.engines["s0-1"];
    ask_for_backoff(&site, engine, 1).await;
    eventually("it asks for time", async || {
        calls_since(&site, engine).await.is_some()
    })
    .await;
    for number in 0..CALLS {
        let prompt = format!("prompt {number}");
        let caller = site.caller();
        let body = request(&prompt, 5, false);
        let ending = caller.complete(site.entries[0].callers, &body, None).await;
        let CallOutcome::Answered(answer) = ending else {
            panic!("not answered: {ending:?}");
        };
        assert_whole(&answer, &prompt, 5);
    }
    assert_eq!(calls_since(&site, engine).await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_server_that_asks_for_backoff_gets_no_call_in_it() {
    let site = TestSite::start(1).await;
    site.settled().await;
    let apps: Vec<SocketAddr> = site.site.addrs.apps.values().copied().collect();
    for app in &apps {
        ask_for_backoff(&site, *app, 1).await;
    }
    let mut asking = None;
    eventually("one asks for time", async || {
        call_service(&site).await;
        for app in &apps {
            if calls_since(&site, *app).await.is_some() {
                asking = Some(*app);
            }
        }
        asking.is_some()
    })
    .await;
    let asking = asking.expect("one asks");
    for app in apps.iter().filter(|app| **app != asking) {
        ask_for_backoff(&site, *app, 0).await;
    }
    for _ in 0..CALLS {
        let (status, _) = call_service(&site).await;
        assert_eq!(status, StatusCode::OK);
    }
    assert_eq!(calls_since(&site, asking).await, Some(0));
}

/// What a caller is told, and whether it names the time that is left.
fn names_the_time(problem: &Value) -> bool {
    let retry_after_ms = problem["retry_after_ms"].as_f64().unwrap_or_default();
    problem["outcome"] == "not_run"
        && retry_after_ms > LONG_S * 500.0
        && retry_after_ms <= LONG_S * 1_000.0
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_is_told_when_plain_servers_take_calls_again() {
    let site = TestSite::start(1).await;
    site.settled().await;
    for app in site.site.addrs.apps.values() {
        ask_for_backoff(&site, *app, ALL).await;
    }
    eventually("a caller is told", async || {
        names_the_time(&call_service(&site).await.1)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_is_told_when_engines_take_calls_again() {
    let site = TestSite::start(1).await;
    site.settled().await;
    for engine in site.site.addrs.engines.values() {
        ask_for_backoff(&site, *engine, ALL).await;
    }
    for (engine, addr) in &site.site.addrs.engines {
        eventually(&format!("{engine} asks for time"), async || {
            calls_since(&site, *addr).await.is_some()
        })
        .await;
    }
    let caller = site.caller();
    let body = request("a prompt", 5, false);
    let told = caller.complete(site.entries[0].callers, &body, None).await;
    let CallOutcome::Problem(problem) = told else {
        panic!("not told: {told:?}");
    };
    let problem = serde_json::to_value(&problem).expect("JSON");
    assert!(names_the_time(&problem), "{problem}");
}
