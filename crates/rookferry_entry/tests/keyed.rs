//! Requests that may run once, under kills, pauses, outages and lost answers.

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

fn told(ending: CallOutcome) -> Problem {
    match ending {
        CallOutcome::Problem(problem) => problem,
        other => panic!("not told: {other:?}"),
    }
}

/// Sends a keyed call in a task of its own.
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

/// Comes back with a key until there is an answer or a final word.
async fn come_back(site: &TestSite, entry: &EntryProcess, prompt: &str, key: &str) -> CallOutcome {
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
        let CallOutcome::Answered(answer) = come_back(&site, entry, prompt, &key).await else {
            panic!("no answer");
        };
        assert_whole(&answer, prompt, TOKENS);
        ids.push(answer.id);
    }
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    assert_eq!(site.streams_of(prompt).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_runs_is_not_run_again() {
    let site = TestSite::start(2).await;
    let (prompt, key) = ("runs already", key());
    let first = send(&site, &site.entries[0], prompt, &key);
    eventually("it runs", async || runs(&site, prompt).await).await;
    let again = told(
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
    let first = come_back(&site, &site.entries[0], "one body", &key).await;
    assert!(matches!(first, CallOutcome::Answered(_)));
    let problem = told(come_back(&site, &site.entries[other], "another body", &key).await);
    assert_eq!(
        (problem.outcome, problem.reason),
        (Outcome::NotRun, ReasonCode::KeyReused)
    );
    assert!(!runs(&site, "another body").await);
}

/// Two accounts may use the same key.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_belongs_to_its_account() {
    let site = TestSite::start(1).await;
    let key = key();
    let other = Caller::new(
        site.client.clone(),
        support::OTHER_KEY.to_owned(),
        Duration::from_secs(20),
    );
    let own = come_back(&site, &site.entries[0], "desk's", &key).await;
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

/// The owner dies after dispatch; another instance resumes and gives the
/// whole answer, and nothing ran twice.
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
    let ending = come_back(&site, &site.entries[1], prompt, &key).await;
    let CallOutcome::Answered(answer) = ending else {
        panic!("no answer: {ending:?}");
    };
    assert_whole(&answer, prompt, TOKENS);
    assert_eq!(site.streams_of(prompt).await, 1);
    assert_no_repeats(&site.ledgers().await);
}

/// The owner is paused past all patience, its work is resumed elsewhere, and
/// then it wakes: it is fenced and tells nothing false.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_that_wakes_does_no_harm() {
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
    let CallOutcome::Answered(answer) = come_back(&site, &site.entries[1], prompt, &key).await
    else {
        panic!("no answer");
    };
    assert_whole(&answer, prompt, TOKENS);
    site.entries[0].wake();
    match first.await.expect("an ending") {
        CallOutcome::Answered(answer) => assert_whole(&answer, prompt, TOKENS),
        CallOutcome::Problem(problem) => assert_ne!(problem.outcome, Outcome::NotRun),
        CallOutcome::Cut(_) => {}
    }
    assert_eq!(site.streams_of(prompt).await, 1);
    assert_no_repeats(&site.ledgers().await);
}

/// The engines have lost the work as well: unknown, and never run again.
#[tokio::test(flavor = "multi_thread")]
async fn work_that_nobody_holds_is_unknown_and_stays_so() {
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
        let problem = told(come_back(&site, &site.entries[1], prompt, &key).await);
        assert_eq!(problem.outcome, Outcome::Unknown, "{problem:?}");
    }
    assert_eq!(site.streams_of(prompt).await, 1);
}

/// A caller that goes away loses nothing: the work is finished and kept.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_work_of_a_caller_that_went_away_is_finished_and_kept() {
    let site = TestSite::start(1).await;
    let (prompt, key) = ("gone for lunch", key());
    let first = send(&site, &site.entries[0], prompt, &key);
    eventually("it runs", async || runs(&site, prompt).await).await;
    first.abort();
    let CallOutcome::Answered(answer) = come_back(&site, &site.entries[0], prompt, &key).await
    else {
        panic!("no answer");
    };
    assert_whole(&answer, prompt, TOKENS);
    assert_eq!(site.streams_of(prompt).await, 1);
    let ledgers = site.ledgers().await;
    let mut streams = ledgers.iter().flat_map(|ledger| ledger.streams.values());
    assert!(streams.all(|runs| runs.refused == 0));
}

/// The platform is out: refused at once, with a ticket that works meanwhile
/// at the instance that minted it, through any other.
#[rstest]
#[case::same(0)]
#[case::through_another(1)]
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_is_told_and_a_ticket_gets_through(#[case] via: usize) {
    let site = TestSite::start(2).await;
    let prompt = "during the outage";
    site.platform_fault(json!({"dead": true})).await;
    let problem = told(
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
        let ending = come_back(&site, &site.entries[via], prompt, &ticket).await;
        let CallOutcome::Answered(answer) = ending else {
            panic!("no answer: {ending:?}");
        };
        assert_whole(&answer, prompt, TOKENS);
    }
    assert_eq!(site.streams_of(prompt).await, 1);
}

/// Platform out and entry instance killed together: the ticket's outcome is
/// unknown, and it never runs again.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_of_a_dead_instance_never_runs() {
    let mut site = TestSite::start(2).await;
    let prompt = "two faults";
    site.platform_fault(json!({"dead": true})).await;
    let problem = told(
        send(&site, &site.entries[0], prompt, &key())
            .await
            .expect("an ending"),
    );
    let ticket = problem.ticket.expect("a ticket");
    site.entries[0].kill();
    let ending = send(&site, &site.entries[1], prompt, &ticket)
        .await
        .expect("an ending");
    assert_eq!(told(ending).outcome, Outcome::Unknown);
    assert!(!runs(&site, prompt).await);
}

/// Each way in which a claim's write can go wrong.
#[rstest]
#[case::answer_lost(json!({"lose_answers": 1}))]
#[case::slow(json!({"delay_ms": 200}))]
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_is_lost_or_slow_still_runs_once(#[case] fault: serde_json::Value) {
    let site = TestSite::start(2).await;
    let (prompt, key) = ("a lost answer", key());
    site.platform_fault(fault).await;
    for entry in &site.entries {
        let ending = come_back(&site, entry, prompt, &key).await;
        let CallOutcome::Answered(answer) = ending else {
            panic!("no answer: {ending:?}");
        };
        assert_whole(&answer, prompt, TOKENS);
    }
    assert_eq!(site.streams_of(prompt).await, 1);
}

/// The same key at all instances at once: one stream.
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

/// Stage killed and claim's answer lost together.
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

/// A service's call that may not be repeated is sent once, whatever happens.
#[rstest]
#[case::answer_lost(json!({"lose_answers": 1}))]
#[case::killed(json!({"dead": true}))]
#[tokio::test(flavor = "multi_thread")]
async fn a_submitted_call_is_never_sent_twice(
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
    let problem = told(ending);
    assert_eq!(problem.outcome, Outcome::Unknown);
    let calls = site.app_calls().await;
    assert!(calls.values().all(|count| *count == 1), "{calls:?}");
    assert!(calls.len() <= 1, "{calls:?}");
}

/// A call that may be repeated goes to the other instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_is_tried_on_another_instance() {
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
