//! Backend servers that refuse with 503 and `Retry-After`.
//!
//! Guards against ignoring the requested backoff. Then an engine counts as lost
//! after two refusals and is polled on four times a second, and a plain server
//! still gets its share of the calls.

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

/// Requested backoff in seconds, longer than any test runs.
const BACKOFF_S: f64 = 50.0;
const CALLS: usize = 10;
/// Number of refusals that no test uses up.
const MANY_REFUSALS: u32 = 100_000;

/// Makes a backend server refuse calls and request a backoff.
async fn request_backoff(site: &TestSite, addr: SocketAddr, refusals: u32) {
    let fault = json!({"retry_after": BACKOFF_S.to_string(), "refusals": refusals});
    site.fault(addr, fault).await;
}

/// Number of calls that reached a server since it requested a backoff; `None` if it
/// hasn't.
async fn calls_since_backoff(site: &TestSite, addr: SocketAddr) -> Option<u32> {
    let wait = support::PATIENCE;
    let calls = site.client.get(addr, "/admin/calls-since-asked", wait);
    calls.await.expect("a count")
}

/// Calls the plain service; returns the status and the body.
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
async fn an_engine_gets_no_call_during_its_backoff() {
    let site = TestSite::start(1).await;
    site.wait_until_settled().await;
    let engine = site.site.addrs.engines["s0-1"];
    request_backoff(&site, engine, 1).await;
    eventually("it requests a backoff", async || {
        calls_since_backoff(&site, engine).await.is_some()
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
    assert_eq!(calls_since_backoff(&site, engine).await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_server_gets_no_call_during_its_backoff() {
    let site = TestSite::start(1).await;
    site.wait_until_settled().await;
    let apps: Vec<SocketAddr> = site.site.addrs.apps.values().copied().collect();
    for app in &apps {
        request_backoff(&site, *app, 1).await;
    }
    let mut backing_off = None;
    eventually("one requests a backoff", async || {
        call_service(&site).await;
        for app in &apps {
            if calls_since_backoff(&site, *app).await.is_some() {
                backing_off = Some(*app);
            }
        }
        backing_off.is_some()
    })
    .await;
    let backing_off = backing_off.expect("one requests a backoff");
    for app in apps.iter().filter(|app| **app != backing_off) {
        request_backoff(&site, *app, 0).await;
    }
    for _ in 0..CALLS {
        let (status, _) = call_service(&site).await;
        assert_eq!(status, StatusCode::OK);
    }
    assert_eq!(calls_since_backoff(&site, backing_off).await, Some(0));
}

/// Whether a problem document says "not run" with the time left of the backoff.
fn has_time_left(problem: &Value) -> bool {
    let retry_after_ms = problem["retry_after_ms"].as_f64().unwrap_or_default();
    problem["outcome"] == "not_run"
        && retry_after_ms > BACKOFF_S * 500.0
        && retry_after_ms <= BACKOFF_S * 1_000.0
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_names_the_end_of_the_plain_servers_backoff() {
    let site = TestSite::start(1).await;
    site.wait_until_settled().await;
    for app in site.site.addrs.apps.values() {
        request_backoff(&site, *app, MANY_REFUSALS).await;
    }
    eventually("a caller gets the time left", async || {
        has_time_left(&call_service(&site).await.1)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_names_the_end_of_the_engines_backoff() {
    let site = TestSite::start(1).await;
    site.wait_until_settled().await;
    for engine in site.site.addrs.engines.values() {
        request_backoff(&site, *engine, MANY_REFUSALS).await;
    }
    for (engine, addr) in &site.site.addrs.engines {
        eventually(&format!("{engine} requests a backoff"), async || {
            calls_since_backoff(&site, *addr).await.is_some()
        })
        .await;
    }
    let caller = site.caller();
    let body = request("a prompt", 5, false);
    let refused = caller.complete(site.entries[0].callers, &body, None).await;
    let CallOutcome::Problem(problem) = refused else {
        panic!("not refused: {refused:?}");
    };
    let problem = serde_json::to_value(&problem).expect("JSON");
    assert!(has_time_left(&problem), "{problem}");
}
