//! `rookferryctl apply` with conflicting writes, lost responses and an unavailable
//! platform.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use rookferry_net::HttpClient;
use rookferry_standin::PlatformConfig;
use rookferry_standin::PlatformServer;
use serde_json::Value;
use serde_json::json;

const CALL: Duration = Duration::from_secs(5);

fn file(name: &str, value: &Value) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("rookferry-ctl-{}-{name}.json", std::process::id()));
    fs::write(&path, value.to_string()).expect("a file");
    path
}

fn config(layers: u16) -> Value {
    json!({"models": {"scribe": {"layers": layers}}})
}

async fn ctl(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments
        .iter()
        .map(|argument| (*argument).to_owned())
        .collect();
    let run = move || {
        Command::new(env!("CARGO_BIN_EXE_rookferryctl"))
            .args(arguments)
            .output()
            .expect("the program runs")
    };
    tokio::task::spawn_blocking(run)
        .await
        .expect("the program exits")
}

async fn apply(platform: SocketAddr, file: &Path, expected: Option<u64>) -> Output {
    let mut arguments = vec![
        "apply".to_owned(),
        "--platform".to_owned(),
        platform.to_string(),
    ];
    if let Some(expected) = expected {
        arguments.extend(["--expected".to_owned(), expected.to_string()]);
    }
    arguments.push(file.display().to_string());
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    ctl(&arguments).await
}

async fn platform() -> SocketAddr {
    let server = PlatformServer::start(PlatformConfig::default()).await;
    server.expect("a platform").addr
}

async fn fault(platform: SocketAddr, fault: Value) {
    let client = HttpClient::new();
    let ordered: Result<(), _> = client.post(platform, "/admin/fault", &fault, CALL).await;
    ordered.expect("the fault is set");
}

fn told(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_one_is_told_with_its_version() {
    let platform = platform().await;
    let file = file("accepted", &config(2));
    let output = apply(platform, &file, None).await;
    assert!(output.status.success());
    assert!(
        told(&output).contains("accepted as version 1"),
        "{}",
        told(&output)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_shows_what_the_other_changed() {
    let platform = platform().await;
    let (ours, theirs) = (file("ours", &config(2)), file("theirs", &config(3)));
    assert!(apply(platform, &ours, None).await.status.success());
    assert!(apply(platform, &theirs, None).await.status.success());
    let output = apply(platform, &ours, Some(1)).await;
    assert_eq!(output.status.code(), Some(4));
    assert!(
        told(&output).contains("models.scribe.layers"),
        "{}",
        told(&output)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_by_reading_back() {
    let platform = platform().await;
    fault(platform, json!({"lose_answers": 1})).await;
    let output = apply(platform, &file("lost", &config(2)), None).await;
    assert!(output.status.success(), "{}", told(&output));
    assert!(told(&output).contains("read back"), "{}", told(&output));
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_are_told_and_nothing_is_written() {
    let platform = platform().await;
    let bad = file(
        "bad",
        &json!({"routes": [{"name": "x", "pool": "none"}], "modles": {}}),
    );
    let output = apply(platform, &bad, None).await;
    assert!(!output.status.success());
    assert!(
        told(&output).contains("modles: unknown key"),
        "{}",
        told(&output)
    );
    let got = ctl(&["get", "--platform", &platform.to_string()]).await;
    assert!(told(&got).contains("no configuration"), "{}", told(&got));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_is_told_as_nothing_written() {
    let platform = platform().await;
    fault(platform, json!({"dead": true})).await;
    let output = apply(platform, &file("outage", &config(2)), None).await;
    assert!(!output.status.success());
    assert!(
        told(&output).contains("nothing was written"),
        "{}",
        told(&output)
    );
}
