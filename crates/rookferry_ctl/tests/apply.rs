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

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

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

async fn set_fault(platform: SocketAddr, fault: Value) {
    let client = HttpClient::new();
    let result: Result<(), _> = client
        .post(platform, "/admin/fault", &fault, CALL_TIMEOUT)
        .await;
    result.expect("the fault is set");
}

fn output_text(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_configuration_reports_its_version() {
    let platform = platform().await;
    let file = file("accepted", &config(2));
    let output = apply(platform, &file, None).await;
    assert!(output.status.success());
    assert!(
        output_text(&output).contains("accepted as version 1"),
        "{}",
        output_text(&output)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_lists_the_changed_paths() {
    let platform = platform().await;
    let (own_file, other_file) = (file("ours", &config(2)), file("theirs", &config(3)));
    assert!(apply(platform, &own_file, None).await.status.success());
    assert!(apply(platform, &other_file, None).await.status.success());
    let output = apply(platform, &own_file, Some(1)).await;
    assert_eq!(output.status.code(), Some(4));
    assert!(
        output_text(&output).contains("models.scribe.layers"),
        "{}",
        output_text(&output)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_is_resolved_by_reading_back() {
    let platform = platform().await;
    set_fault(platform, json!({"lose_answers": 1})).await;
    let output = apply(platform, &file("lost", &config(2)), None).await;
    assert!(output.status.success(), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("read back"),
        "{}",
        output_text(&output)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_errors_are_reported_and_nothing_is_written() {
    let platform = platform().await;
    let bad = file(
        "bad",
        &json!({"routes": [{"name": "x", "pool": "none"}], "modles": {}}),
    );
    let output = apply(platform, &bad, None).await;
    assert!(!output.status.success());
    assert!(
        output_text(&output).contains("modles: unknown key"),
        "{}",
        output_text(&output)
    );
    let got = ctl(&["get", "--platform", &platform.to_string()]).await;
    assert!(
        output_text(&got).contains("no configuration"),
        "{}",
        output_text(&got)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_outage_is_reported_as_nothing_written() {
    let platform = platform().await;
    set_fault(platform, json!({"dead": true})).await;
    let output = apply(platform, &file("outage", &config(2)), None).await;
    assert!(!output.status.success());
    assert!(
        output_text(&output).contains("nothing was written"),
        "{}",
        output_text(&output)
    );
}
