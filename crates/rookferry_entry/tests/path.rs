//! The request path from caller to engines and back, and refusals of invalid input.

mod support;

use std::time::Duration;

use http::Method;
use rookferry_standin::CallOutcome;
use rookferry_standin::Caller;
use rookferry_wire::Outcome;
use rookferry_wire::ReasonCode;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use support::LAYERS;
use support::TestSite;
use support::assert_no_repeats;
use support::assert_whole;
use support::eventually;
use support::request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_runs_through_every_layer_once() {
    let site = TestSite::start(2).await;
    let caller = site.caller();
    for (number, stream) in [(0, false), (1, true)] {
        let prompt = format!("draft rule {number}");
        let ending = caller
            .complete(
                site.entries[number].callers,
                &request(&prompt, 8, stream),
                None,
            )
            .await;
        let CallOutcome::Answered(answer) = ending else {
            panic!("no answer: {ending:?}");
        };
        assert_whole(&answer, &prompt, 8);
        assert_eq!(site.streams_of(&prompt).await, 1);
    }
    let ledgers = site.ledgers().await;
    assert_no_repeats(&ledgers);
    let layers: u16 = ledgers
        .iter()
        .filter(|ledger| !ledger.streams.is_empty())
        .map(|ledger| ledger.layers.len())
        .sum();
    assert!(layers >= LAYERS);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_get_their_own_answers() {
    let site = TestSite::start(2).await;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..60 {
        let caller = site.caller();
        let addr = site.entries[number % 2].callers;
        tasks.spawn(async move {
            let prompt = format!("caller {number}");
            let body = request(&prompt, 6, number % 3 == 0);
            let ending = caller.complete(addr, &body, None).await;
            let CallOutcome::Answered(answer) = ending else {
                panic!("no answer: {ending:?}");
            };
            assert_whole(&answer, &prompt, 6);
        });
    }
    while let Some(done) = tasks.join_next().await {
        done.expect("its own answer");
    }
    assert_no_repeats(&site.ledgers().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_is_called_and_a_decision_is_explained_by_any_instance() {
    let site = TestSite::start(2).await;
    let ending = site
        .caller()
        .call(
            site.entries[0].callers,
            Method::GET,
            "/apps/flags/scheme?x=1",
            "",
            None,
        )
        .await;
    let CallOutcome::Answered(answer) = ending else {
        panic!("no answer: {ending:?}");
    };
    assert!(
        answer.body.contains("\"path\":\"/scheme\""),
        "{}",
        answer.body
    );
    let path = format!("/v1/decisions/{}", answer.id);
    for entry in &site.entries {
        let record: Value = site
            .client
            .get(entry.operators, &path, Duration::from_secs(5))
            .await
            .expect("a record");
        assert_eq!(record["labels"]["account.tier"], "gold");
        assert_eq!(record["pool"]["selector"], "app = flags");
    }
}

struct Bad {
    key: &'static str,
    path: &'static str,
    body: String,
    header: Option<(&'static str, &'static str)>,
}

fn bad(path: &'static str, body: &Value) -> Bad {
    Bad {
        key: support::KEY,
        path,
        body: body.to_string(),
        header: None,
    }
}

const COMPLETIONS: &str = "/v1/completions";

#[rstest]
#[case::no_key(Bad { key: "", ..bad(COMPLETIONS, &json!({"model": "scribe", "prompt": "x"})) }, 401, ReasonCode::Unauthorized)]
#[case::wrong_key(Bad { key: "wrong", ..bad(COMPLETIONS, &json!({"model": "scribe", "prompt": "x"})) }, 401, ReasonCode::Unauthorized)]
#[case::too_large(bad(COMPLETIONS, &json!({"model": "scribe", "prompt": "x".repeat(20_000)})), 413, ReasonCode::BodyTooLarge)]
#[case::no_json(Bad { body: "{".to_owned(), ..bad(COMPLETIONS, &json!({})) }, 400, ReasonCode::BadRequest)]
#[case::no_prompt(bad(COMPLETIONS, &json!({"model": "scribe", "prompt": ""})), 400, ReasonCode::BadRequest)]
#[case::no_tokens(bad(COMPLETIONS, &json!({"model": "scribe", "prompt": "x", "max_tokens": 0})), 400, ReasonCode::BadRequest)]
#[case::unknown_model(bad(COMPLETIONS, &json!({"model": "other", "prompt": "x"})), 404, ReasonCode::NotFound)]
#[case::unknown_service(bad("/apps/other/x", &json!({})), 404, ReasonCode::NotFound)]
#[case::unknown_path(bad("/v2/other", &json!({})), 404, ReasonCode::NotFound)]
#[case::bad_repeatable(Bad { header: Some(("rookferry-repeatable", "maybe")), ..bad(COMPLETIONS, &json!({"model": "scribe", "prompt": "x"})) }, 400, ReasonCode::BadRequest)]
#[case::bad_labels(Bad { header: Some(("rookferry-labels", "novalue")), ..bad(COMPLETIONS, &json!({"model": "scribe", "prompt": "x"})) }, 400, ReasonCode::BadRequest)]
#[case::old_key(Bad { header: Some(("idempotency-key", "00000000-0000-7000-8000-000000000000")), ..bad(COMPLETIONS, &json!({"model": "scribe", "prompt": "x"})) }, 410, ReasonCode::KeyExpired)]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_and_not_run(
    #[case] bad: Bad,
    #[case] status: u16,
    #[case] reason: ReasonCode,
) {
    let site = TestSite::start(1).await;
    let header = bad.header.map_or(String::new(), |(name, value)| {
        format!("{name}: {value}\r\n")
    });
    let authorization = if bad.key.is_empty() {
        String::new()
    } else {
        format!("authorization: Bearer {}\r\n", bad.key)
    };
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{authorization}{header}content-length: {}\r\n\r\n",
        bad.path,
        bad.body.len()
    );
    let answer = exchange(&site, &format!("{head}{}", bad.body)).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(answer.contains("application/problem+json"), "{answer}");
    let problem: Value =
        serde_json::from_str(answer.rsplit("\r\n\r\n").next().unwrap_or_default()).expect("a body");
    assert_eq!(problem["outcome"], "not_run");
    assert_eq!(
        problem["reason"],
        serde_json::to_value(reason).expect("JSON")
    );
    assert!(
        site.ledgers()
            .await
            .iter()
            .all(|ledger| ledger.streams.is_empty())
    );
}

/// A request head or body that doesn't arrive in time is refused.
#[rstest]
#[case::head("POST /v1/completions HTTP/1.1\r\nhost: x\r\n", "408")]
#[case::body(
    "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer desk-key\r\ncontent-length: 50\r\n\r\n{",
    "408"
)]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_request_is_refused(#[case] sent: &str, #[case] status: &str) {
    let site = TestSite::start(1).await;
    let answer = exchange(&site, sent).await;
    assert!(answer.contains(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
}

async fn exchange(site: &TestSite, sent: &str) -> String {
    let mut stream = TcpStream::connect(site.entries[0].callers)
        .await
        .expect("a connection");
    stream.write_all(sent.as_bytes()).await.expect("it is sent");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    // A connection reset after the answer counts as its end.
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// A stream whose caller disconnects is cancelled on its engines.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_disconnected_caller_is_cancelled() {
    let site = TestSite::start(1).await;
    let impatient = Caller::new(
        site.client.clone(),
        support::KEY.to_owned(),
        Duration::from_millis(200),
    );
    let prompt = "nobody waits for this";
    let ending = impatient
        .complete(
            site.entries[0].callers,
            &request(prompt, 20_000, true),
            None,
        )
        .await;
    assert!(matches!(ending, CallOutcome::Cut(_)), "{ending:?}");
    eventually("the engines are freed", async || {
        let ledgers = site.ledgers().await;
        let mut streams = ledgers.iter().flat_map(|ledger| ledger.streams.values());
        streams.any(|runs| runs.cancelled)
    })
    .await;
}

/// Without a complete chain, a request is refused at once and not run.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_chain_a_request_is_refused_at_once() {
    let site = TestSite::start(1).await;
    for engine in ["s1-1", "s1-2"] {
        site.engine_fault(engine, json!({"dead": true})).await;
    }
    eventually("both count as lost", async || {
        let status = site.status(&site.entries[0]).await.unwrap_or_default();
        let lost = |engine: &str| status["engines"][engine]["state"] == "lost";
        lost("s1-1") && lost("s1-2")
    })
    .await;
    let ending = site
        .caller()
        .complete(site.entries[0].callers, &request("x", 4, false), None)
        .await;
    let CallOutcome::Problem(problem) = ending else {
        panic!("not refused: {ending:?}");
    };
    assert_eq!(
        (problem.outcome, problem.reason),
        (Outcome::NotRun, ReasonCode::NoChain)
    );
    assert!(problem.retry_after_ms.is_some());
    assert!(!site.ran(&problem.request_id).await);
}
