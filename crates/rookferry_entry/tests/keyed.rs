//! Calls with an idempotency key under kills, pauses, outages and lost responses.

mod support;

use std::time::Duration;

use http::Method;
use rookferry_standin::CallOutcome;
use rookferry_standin::Caller;
use rookferry_wire::Outcome;
use rookferry_wire::Problem;
use rookferry_wire::ReasonCode;
use rstest::rstest;
use serde_json::json;
use support::EntryProcess;
use support::TestSite;
use support::assert_no_repeats;
use support::assert_whole;
use support::eventually;
use support::request;
use uuid::Uuid;

const TOKENS: u32 = 40;

fn key() -> String {
    Uuid::now_v7().to_string()
}

fn expect_problem(ending: CallOutcome) -> Problem {
    match ending {
        CallOutcome::Problem(problem) => problem,
        other => panic!("not refused: {other:?}"),
    }
}

/// Sends a call with a key in a separate task.
fn send(
    site: &TestSite,
    entry: &EntryProcess,
    prompt: &str,
    key: &str,
) -> tokio::task::JoinHandle<CallOutcome> {
    let caller = site.caller();
    let addr = entry.callers;
    let body = request(prompt, TOKENS, false);
    let key = key.to_owned();
    tokio::spawn(async move { caller.complete(addr, &body, Some(&key)).await })
}

/// Retries with a key until the outcome is no longer "running".
async fn retry_until_done(
    site: &TestSite,
    entry: &EntryProcess,
    prompt: &str,
    key: &str,
) -> CallOutcome {
    loop {
        let ending = send(site, entry, prompt, key).await.expect("an ending");
        match &ending {
            CallOutcome::Problem(problem) if problem.outcome == Outcome::Running => {
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            _ => return ending,
        }
    }
}

async fn runs(site: &TestSite, prompt: &str) -> bool {
    site.streams_of(prompt).await > 0
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_gives_the_same_answer_again_from_any_instance() {
    let site = TestSite::start(2).await;
    let (prompt, key) = ("write the rule", key());
    let mut ids = Vec::new();
    for entry in [&site.entries[0], &site.entries[0], &site.entries[1]] {
        let CallOutcome::Answered(answer) = retry_until_done(&site, entry, prompt, &key).await
        else {
            panic!("no answer");
        };
        assert_whole(&answer, prompt, TOKENS);
        ids.push(answer.id);
    }
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    assert_eq!(site.streams_of(prompt).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_running_key_is_not_run_again() {
    let site = TestSite::start(2).await;
    let (prompt, key) = ("runs already", key());
    let first = send(&site, &site.entries[0], prompt, &key);
    eventually("it runs", async || runs(&site, prompt).await).await;
    let again = expect_problem(
        send(&site, &site.entries[0], prompt, &key)
            .await
            .expect("an ending"),
    );
    assert_eq!(
        (again.outcome, again.reason),
        (Outcome::Running, ReasonCode::KeyRunning)
    );
    assert!(again.retry_after_ms.is_some());
    assert!(matches!(first.await, Ok(CallOutcome::Answered(_))));
    assert_eq!(site.streams_of(prompt).await, 1);
}

#[rstest]
#[case::here(0)]
#[case::elsewhere(1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused(#[case] other: usize) {
    let site = TestSite::start(2).await;
    let key = key();
    let first = retry_until_done(&site, &site.entries[0], "one body", &key).await;
    assert!(matches!(first, CallOutcome::Answered(_)));
    let problem =
        expect_problem(retry_until_done(&site, &site.entries[other], "another body", &key).await);
    assert_eq!(
        (problem.outcome, problem.reason),
        (Outcome::NotRun, ReasonCode::KeyReused)
    );
    assert!(!runs(&site, "another body").await);
}

/// Two accounts can use the same key.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_belongs_to_its_account() {
    let site = TestSite::start(1).await;
    let key = key();
    let other = Caller::new(
        site.client.clone(),
        support::OTHER_KEY.to_owned(),
        Duration::from_secs(20),
    );
    let own = retry_until_done(&site, &site.entries[0], "desk's", &key).await;
    let others = other
        .complete(
            site.entries[0].callers,
            &request("other's", 4, false),
            Some(&key),
        )
        .await;
    assert!(matches!(
        (own, others),
        (CallOutcome::Answered(_), CallOutcome::Answered(_))
    ));
}

/// The owner is killed after dispatch; another instance resumes the stream and
/// returns the complete answer, and no position runs twice.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owners_work_is_resumed(#[values(0, 5, 30)] after_positions: usize) {
    let mut site = TestSite::start(2).await;
    let (prompt, key) = ("the owner dies", key());
    let first = send(&site, &site.entries[0], prompt, &key);
    eventually("it has run so far", async || {
        let ledgers = site.ledgers().await;
        let mut runs = ledgers.iter().flat_map(|ledger| ledger.streams.values());
        runs.any(|runs| runs.runs.len() > prompt.len() + after_positions)
    })
    .await;
    site.entries[0].kill();
    assert!(matches!(first.await, Ok(CallOutcome::Cut(_))));
    let ending = retry_until_done(&site, &site.entries[1], prompt, &key).await;
    let CallOutcome::Answered(answer) = ending else {
        panic!("no answer: {ending:?}");
    };
    assert_whole(&answer, prompt, TOKENS);
    assert_eq!(site.streams_of(prompt).await, 1);
    assert_no_repeats(&site.ledgers().await);
}

/// The owner is paused until it is suspected, another instance resumes its work, and
/// then it continues: the engines fence it off, and it returns nothing false.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_that_resumes_is_fenced() {
    let site = TestSite::start(2).await;
    let (prompt, key) = ("the owner sleeps", key());
    let first = send(&site, &site.entries[0], prompt, &key);
    eventually("it runs", async || runs(&site, prompt).await).await;
    site.entries[0].pause();
    eventually("the owner is suspected", async || {
        let status = site.status(&site.entries[1]).await.unwrap_or_default();
        status["members"][0]["state"] == "suspect"
    })
    .await;
    let CallOutcome::Answered(answer) =
        retry_until_done(&site, &site.entries[1], prompt, &key).await
    else {
        panic!("no answer");
    };
    assert_whole(&answer, prompt, TOKENS);
    site.entries[0].resume();
    match first.await.expect("an ending") {
        CallOutcome::Answered(answer) => assert_whole(&answer, prompt, TOKENS),
        CallOutcome::Problem(problem) => assert_ne!(problem.outcome, Outcome::NotRun),
        CallOutcome::Cut(_) => {}
    }
    assert_eq!(site.streams_of(prompt).await, 1);
    assert_no_repeats(&site.ledgers().await);
}

/// Owner and engines have lost the work: its outcome is unknown, and it never runs
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn lost_work_stays_unknown_and_never_runs_again() {
    let mut site = TestSite::start(2).await;
    let (prompt, key) = ("all is lost", key());
    let _first = send(&site, &site.entries[0], prompt, &key);
    eventually("it runs", async || runs(&site, prompt).await).await;
    site.entries[0].kill();
    for engine in ["s0-1", "s0-2"] {
        site.engine_fault(engine, json!({"dead": true})).await;
        site.engine_fault(engine, json!({"dead": false})).await;
    }
    for _ in 0..2 {
        let problem = expect_problem(retry_until_done(&site, &site.entries[1], prompt, &key).await);
        assert_eq!(problem.outcome, Outcome::Unknown, "{problem:?}");
    }
    assert_eq!(site.streams_of(prompt).await, 1);
}

/// When the caller of a keyed call disconnects, the work is finished and its answer
/// stored.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_work_of_a_disconnected_caller_is_finished_and_stored() {
    let site = TestSite::start(1).await;
    let (prompt, key) = ("gone for lunch", key());
    let first = send(&site, &site.entries[0], prompt, &key);
    eventually("it runs", async || runs(&site, prompt).await).await;
    first.abort();
    let CallOutcome::Answered(answer) =
        retry_until_done(&site, &site.entries[0], prompt, &key).await
    else {
        panic!("no answer");
    };
    assert_whole(&answer, prompt, TOKENS);
    assert_eq!(site.streams_of(prompt).await, 1);
    let ledgers = site.ledgers().await;
    let mut streams = ledgers.iter().flat_map(|ledger| ledger.streams.values());
    assert!(streams.all(|runs| runs.refused == 0));
}

/// While the platform is unavailable, a keyed call is refused at once with a ticket.
/// The ticket is valid at the instance that minted it, directly or through another.
#[rstest]
#[case::same(0)]
#[case::through_another(1)]
#[tokio::test(flavor = "multi_thread")]
async fn during_a_platform_outage_a_ticket_replaces_the_key(#[case] via: usize) {
    let site = TestSite::start(2).await;
    let prompt = "during the outage";
    site.platform_fault(json!({"dead": true})).await;
    let problem = expect_problem(
        send(&site, &site.entries[0], prompt, &key())
            .await
            .expect("an ending"),
    );
    assert_eq!(
        (problem.outcome, problem.reason),
        (Outcome::NotRun, ReasonCode::ClaimUnavailable)
    );
    assert!(!runs(&site, prompt).await);
    let ticket = problem.ticket.expect("a ticket");
    for _ in 0..2 {
        let ending = retry_until_done(&site, &site.entries[via], prompt, &ticket).await;
        let CallOutcome::Answered(answer) = ending else {
            panic!("no answer: {ending:?}");
        };
        assert_whole(&answer, prompt, TOKENS);
    }
    assert_eq!(site.streams_of(prompt).await, 1);
}

/// The platform is unavailable and the instance that minted a ticket is killed: the
/// ticket's outcome is unknown, and its call never runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_of_a_killed_instance_never_runs() {
    let mut site = TestSite::start(2).await;
    let prompt = "two faults";
    site.platform_fault(json!({"dead": true})).await;
    let problem = expect_problem(
        send(&site, &site.entries[0], prompt, &key())
            .await
            .expect("an ending"),
    );
    let ticket = problem.ticket.expect("a ticket");
    site.entries[0].kill();
    let ending = send(&site, &site.entries[1], prompt, &ticket)
        .await
        .expect("an ending");
    assert_eq!(expect_problem(ending).outcome, Outcome::Unknown);
    assert!(!runs(&site, prompt).await);
}

/// Faults of the platform during a claim's write.
#[rstest]
#[case::answer_lost(json!({"lose_answers": 1}))]
#[case::slow(json!({"delay_ms": 200}))]
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_is_lost_or_slow_still_runs_once(#[case] fault: serde_json::Value) {
    let site = TestSite::start(2).await;
    let (prompt, key) = ("a lost answer", key());
    site.platform_fault(fault).await;
    for entry in &site.entries {
        let ending = retry_until_done(&site, entry, prompt, &key).await;
        let CallOutcome::Answered(answer) = ending else {
            panic!("no answer: {ending:?}");
        };
        assert_whole(&answer, prompt, TOKENS);
    }
    assert_eq!(site.streams_of(prompt).await, 1);
}

/// The same key sent to all instances at once runs as one stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_race_for_a_key_has_one_winner() {
    let site = TestSite::start(3).await;
    for round in 0..5 {
        let (prompt, key) = (format!("race {round}"), key());
        let racers: Vec<_> = site
            .entries
            .iter()
            .chain(&site.entries)
            .map(|entry| send(&site, entry, &prompt, &key))
            .collect();
        for racer in racers {
            match racer.await.expect("an ending") {
                CallOutcome::Answered(answer) => assert_whole(&answer, &prompt, TOKENS),
                CallOutcome::Problem(problem) => {
                    assert_eq!(problem.outcome, Outcome::Running, "{problem:?}");
                }
                CallOutcome::Cut(message) => panic!("cut: {message}"),
            }
        }
        assert_eq!(site.streams_of(&prompt).await, 1);
    }
}

/// The response to a claim is lost, and an engine of the stream is killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_and_a_lost_stage_together_run_once() {
    let site = TestSite::start(1).await;
    let (prompt, key) = ("both at once", key());
    site.platform_fault(json!({"lose_answers": 1})).await;
    let first = send(&site, &site.entries[0], prompt, &key);
    eventually("it runs", async || runs(&site, prompt).await).await;
    site.engine_fault("s1-1", json!({"dead": true})).await;
    let ending = first.await.expect("an ending");
    assert!(matches!(&ending, CallOutcome::Answered(_)), "{ending:?}");
    assert_eq!(site.streams_of(prompt).await, 1);
}

/// A service call that isn't repeatable is sent at most once, whatever fails.
#[rstest]
#[case::answer_lost(json!({"lose_answers": 1}))]
#[case::killed(json!({"dead": true}))]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_is_not_repeatable_is_never_sent_twice(
    #[case] fault: serde_json::Value,
    #[values(true, false)] is_keyed: bool,
) {
    let site = TestSite::start(1).await;
    for addr in site.site.addrs.apps.values() {
        site.fault(*addr, fault.clone()).await;
    }
    let key = is_keyed.then(key);
    let ending = site
        .caller()
        .call(
            site.entries[0].callers,
            Method::POST,
            "/apps/flags/invoice",
            "{}",
            key.as_deref(),
        )
        .await;
    let problem = expect_problem(ending);
    assert_eq!(problem.outcome, Outcome::Unknown);
    let calls = site.app_calls().await;
    assert!(calls.values().all(|count| *count == 1), "{calls:?}");
    assert!(calls.len() <= 1, "{calls:?}");
}

/// A repeatable call is retried on the other server.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_call_is_retried_on_another_server() {
    let site = TestSite::start(1).await;
    let first = site
        .site
        .addrs
        .apps
        .values()
        .next()
        .expect("an application engine");
    site.fault(*first, json!({"dead": true})).await;
    for _ in 0..6 {
        let ending = site
            .caller()
            .call(
                site.entries[0].callers,
                Method::GET,
                "/apps/flags/stamp",
                "",
                None,
            )
            .await;
        assert!(matches!(ending, CallOutcome::Answered(_)), "{ending:?}");
    }
}
