//! Faults of engines and links while a stream runs, with real processes.
//!
//! Each fault is combined with each stage, and with a time after the first token, in
//! the middle, and before the last token. The checks read the engines' ledgers.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use rookferry_wire::StreamEvent;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use support::TestSite;
use support::assert_no_repeats;
use support::eventually;
use support::expected;
use support::request;

const TOKENS: u32 = 12;
const PATIENCE: Duration = Duration::from_secs(30);

/// Fault of an engine that runs a stage.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed,
    Frozen,
    FrozenThenWoken,
    AnswerLost,
    LinkSlow,
    Leaving,
}

impl Fault {
    fn order(self) -> Value {
        match self {
            Self::Killed => json!({"dead": true}),
            Self::Frozen | Self::FrozenThenWoken => json!({"frozen": true}),
            Self::AnswerLost => json!({"lose_answers": 1}),
            Self::LinkSlow => json!({"delay_ms": 400}),
            Self::Leaving => json!({"leaving": true}),
        }
    }
}

/// Client that reads a stream's tokens one by one.
struct StreamReader {
    body: hyper::body::Incoming,
    buffer: String,
    id: String,
    tokens: Vec<u64>,
    is_done: bool,
}

impl StreamReader {
    async fn open(site: &TestSite, prompt: &str) -> Self {
        let addr = site.entries[0].callers;
        let body = serde_json::to_vec(&request(prompt, TOKENS, true)).expect("JSON");
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{addr}/v1/completions"))
            .header("authorization", format!("Bearer {}", support::KEY))
            .body(Full::new(Bytes::from(body)))
            .expect("a request");
        let response = site
            .client
            .send(addr, request, PATIENCE)
            .await
            .expect("a response");
        assert!(response.status().is_success(), "{}", response.status());
        let id = response.headers()["rookferry-request-id"]
            .to_str()
            .expect("text")
            .to_owned();
        Self {
            body: response.into_body(),
            buffer: String::new(),
            id,
            tokens: Vec::new(),
            is_done: false,
        }
    }

    /// Reads until `count` tokens have arrived, or the stream ends.
    async fn read(&mut self, count: usize) {
        while self.tokens.len() < count && !self.is_done {
            let frame = tokio::time::timeout(PATIENCE, self.body.frame())
                .await
                .expect("in time");
            let Some(frame) = frame else {
                return;
            };
            let Ok(data) = frame.expect("a frame").into_data() else {
                continue;
            };
            self.buffer.push_str(&String::from_utf8_lossy(&data));
            while let Some(end) = self.buffer.find("\n\n") {
                let event: String = self.buffer.drain(..end + 2).collect();
                self.on_event(event.trim_end());
            }
        }
    }

    fn on_event(&mut self, event: &str) {
        assert!(!event.starts_with("event: error"), "{event}");
        let data = event.strip_prefix("data: ").expect("data");
        if data == "[DONE]" {
            self.is_done = true;
            return;
        }
        let token: StreamEvent = serde_json::from_str(data).expect("a token");
        assert_eq!(
            token.index as usize,
            self.tokens.len(),
            "each position once and in order"
        );
        assert_eq!(*token.id, *self.id, "its own answer");
        self.tokens.push(token.token);
    }
}

/// The engine that runs a stage of the only stream.
async fn holder(site: &TestSite, stage: &str) -> String {
    let mut found = None;
    eventually("an engine holds the stage", async || {
        let ledgers = site.ledgers().await;
        let mut holders = ledgers
            .iter()
            .filter(|ledger| ledger.engine.starts_with(stage) && !ledger.streams.is_empty());
        found = holders.next().map(|ledger| ledger.engine.to_string());
        found.is_some()
    })
    .await;
    found.expect("an engine")
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_fault_changes_nothing_for_the_caller(
    #[values(
        Fault::Killed,
        Fault::Frozen,
        Fault::FrozenThenWoken,
        Fault::AnswerLost,
        Fault::LinkSlow,
        Fault::Leaving
    )]
    fault: Fault,
    #[values("s0", "s1", "s2")] stage: &str,
    #[values(1, 6, 11)] after: usize,
) {
    let site = TestSite::start(1).await;
    let prompt = "a stage is lost";
    let mut reader = StreamReader::open(&site, prompt).await;
    reader.read(after).await;
    let lost = holder(&site, stage).await;
    site.engine_fault(&lost, fault.order()).await;
    if matches!(fault, Fault::FrozenThenWoken) {
        reader.read(after + 2).await;
        site.engine_fault(&lost, json!({"frozen": false})).await;
    }
    reader.read(TOKENS as usize + 1).await;
    assert!(reader.is_done, "the answer is whole");
    assert_eq!(reader.tokens, expected(prompt, TOKENS));
    assert_eq!(site.streams_of(prompt).await, 1);
    assert_no_repeats_except_on(&site, &lost).await;
}

/// Checks that all engines but `lost` ran each position at most once.
async fn assert_no_repeats_except_on(site: &TestSite, lost: &str) {
    let ledgers = site.ledgers().await;
    let others: Vec<_> = ledgers
        .into_iter()
        .filter(|ledger| *ledger.engine != *lost)
        .collect();
    assert_no_repeats(&others);
}

/// The engines of a stage are killed in turn, the second after the first has
/// restarted.
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_killed_twice_changes_nothing_for_the_caller() {
    let site = TestSite::start(1).await;
    let prompt = "killed twice";
    let mut reader = StreamReader::open(&site, prompt).await;
    reader.read(3).await;
    let first = holder(&site, "s1").await;
    let second = if first == "s1-1" { "s1-2" } else { "s1-1" };
    site.engine_fault(&first, json!({"dead": true})).await;
    reader.read(6).await;
    site.engine_fault(&first, json!({"dead": false})).await;
    site.engine_fault(second, json!({"dead": true})).await;
    reader.read(TOKENS as usize + 1).await;
    assert!(reader.is_done);
    assert_eq!(reader.tokens, expected(prompt, TOKENS));
}

/// All engines of a stage are lost for a while; the stream waits until one of them
/// restarts instead of failing.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_waits_for_a_stage_without_engines(#[values("s2-1", "s2-2")] comes_back: &str) {
    let site = TestSite::start(1).await;
    let prompt = "nobody is left";
    let mut reader = StreamReader::open(&site, prompt).await;
    reader.read(3).await;
    for engine in ["s2-1", "s2-2"] {
        site.engine_fault(engine, json!({"dead": true})).await;
    }
    eventually("both are taken for lost", async || {
        let status = site.status(&site.entries[0]).await.unwrap_or_default();
        status["engines"]["s2-1"]["state"] == "lost" && status["engines"]["s2-2"]["state"] == "lost"
    })
    .await;
    site.engine_fault(comes_back, json!({"dead": false})).await;
    reader.read(TOKENS as usize + 1).await;
    assert!(reader.is_done);
    assert_eq!(reader.tokens, expected(prompt, TOKENS));
}

/// The stream's last engine of a stage is the only one that restarts.
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_returns_to_its_engine_if_no_other_is_left() {
    let site = TestSite::start(1).await;
    let prompt = "back to where it was";
    let mut reader = StreamReader::open(&site, prompt).await;
    reader.read(2).await;
    let first = holder(&site, "s1").await;
    let second = if first == "s1-1" { "s1-2" } else { "s1-1" };
    site.engine_fault(&first, json!({"dead": true})).await;
    reader.read(5).await;
    site.engine_fault(second, json!({"dead": true})).await;
    eventually("both are taken for lost", async || {
        let status = site.status(&site.entries[0]).await.unwrap_or_default();
        let engines = &status["engines"];
        engines["s1-1"]["state"] == "lost" && engines["s1-2"]["state"] == "lost"
    })
    .await;
    site.engine_fault(second, json!({"dead": false})).await;
    reader.read(TOKENS as usize + 1).await;
    assert!(reader.is_done);
    assert_eq!(reader.tokens, expected(prompt, TOKENS));
}
