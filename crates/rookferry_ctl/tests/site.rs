//! `rookferryctl site` with instances that answer and instances that don't.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::thread;

use rstest::rstest;
use serde_json::Value;

/// Serves `metrics` as an instance would until the test ends; returns the address.
fn serve_metrics(metrics: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut head = [0; 4_096];
            let read = stream.read(&mut head).expect("a request");
            assert!(head[..read].starts_with(b"GET /metrics "));
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{metrics}",
                metrics.len()
            );
            stream
                .write_all(answer.as_bytes())
                .expect("the client reads the response");
        }
    });
    addr
}

fn metrics(config: u64, holds_lease: u8, servers_out: u8) -> String {
    format!(
        "# TYPE rookferry_build_info gauge\n\
         rookferry_build_info{{version=\"0.1.0\"}} 1\n\
         rookferry_config_version {config}\n\
         rookferry_config_age_seconds 0.4\n\
         rookferry_uptime_seconds 60\n\
         rookferry_requests_under_way 3\n\
         rookferry_instances 4\n\
         rookferry_servers_out {servers_out}\n\
         rookferry_holds_lease {holds_lease}\n\
         # TYPE rookferry_refused_total counter\n\
         rookferry_refused_total{{cause=\"overloaded\"}} 2\n\
         rookferry_served_total{{route=\"a\",status=\"200\"}} 10\n\
         rookferry_served_total{{route=\"b\",status=\"200\"}} 5\n"
    )
}

fn write_list(name: &str, text: &str) -> PathBuf {
    let file = std::env::temp_dir().join(format!("rookferry-site-{}-{name}", std::process::id()));
    fs::write(&file, text).expect("a file");
    file
}

fn site(name: &str, text: &str, options: &[&str]) -> Output {
    let file = write_list(name, text);
    let output = Command::new(env!("CARGO_BIN_EXE_rookferryctl"))
        .arg("site")
        .args(options)
        .arg(&file)
        .output()
        .expect("the program runs");
    fs::remove_file(&file).expect("the file exists");
    output
}

/// Three instances, one of them with another configuration, and an address without a
/// listener.
fn three_instances() -> (String, [SocketAddr; 4]) {
    let unused = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let unreachable = unused.local_addr().expect("an address");
    drop(unused);
    let addrs = [
        serve_metrics(metrics(7, 1, 0)),
        serve_metrics(metrics(7, 0, 0)),
        serve_metrics(metrics(4, 0, 2)),
        unreachable,
    ];
    let labels = ["domain=a", "domain=a", "domain=b", "domain=b rack=9"];
    let lines = addrs.iter().zip(labels);
    let lines = lines.map(|(addr, labels)| format!("{addr} {labels}\n"));
    let text = lines.collect::<String>();
    (format!("# a site\n\n{text}"), addrs)
}

#[test]
fn the_summary_counts_instances_and_lists_those_that_differ() {
    let (text, addrs) = three_instances();
    let output = site("page", &text, &[]);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(output.stderr, b"", "no progress bar without a terminal");
    let page = String::from_utf8(output.stdout).expect("text");
    for line in [
        "instances        3 of 4 answered".to_owned(),
        format!("configuration    4: 1 ({})", addrs[2]),
        "configuration    7: 2".to_owned(),
        format!("servers out      2: 1 ({})", addrs[2]),
        format!("orders engines   {}", addrs[0]),
        "requests         9 under way, 45 answered".to_owned(),
        "refused          overloaded 6".to_owned(),
    ] {
        assert!(
            page.lines().any(|printed| printed == line),
            "{line}\n{page}"
        );
    }
    let unanswered = page.lines().find(|line| line.starts_with("no answer"));
    let unanswered = unanswered.expect("a line for the instance without an answer");
    assert!(unanswered.contains(&addrs[3].to_string()), "{page}");
}

#[test]
fn a_selector_filters_instances_and_json_is_complete() {
    let (text, addrs) = three_instances();
    let output = site("json", &text, &["--json", "--select", "domain=a"]);
    assert!(output.status.success(), "{output:?}");
    let printed: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(printed["asked"], 2);
    assert_eq!(printed["by_config"]["7"].as_array().map(Vec::len), Some(2));
    assert_eq!(printed["holders"][0], addrs[0].to_string());
    assert_eq!(printed["refusals"]["overloaded"], 4);
}

#[rstest]
#[case::no_address("here domain=a\n", &[], "line 1: here is no address; write IP:PORT")]
#[case::no_label("# x\n127.0.0.1:1 domain\n", &[], "line 2: domain is no label; write KEY=VALUE")]
#[case::empty("# nothing\n", &[], "lists no instances")]
#[case::no_match("127.0.0.1:1 domain=a\n", &["--select", "domain=b"], "no instance matches")]
#[case::no_instance_answers("127.0.0.1:1 domain=a\n", &[], "none of 1 instances answered")]
#[case::selector("127.0.0.1:1 domain=a\n", &["--select", "domain=("], "--select")]
fn errors_state_the_problem_and_the_correction(
    #[case] text: &str,
    #[case] options: &[&str],
    #[case] expected: &str,
) {
    let name = expected.replace(|letter: char| !letter.is_ascii_alphanumeric(), "-");
    let output = site(&name, text, options);
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(error.contains(expected), "{error}");
}

#[test]
fn an_address_of_another_service_is_reported() {
    let addr = serve_metrics("some_metric 3\n".to_owned());
    let output = site("other", &format!("{addr}\n"), &[]);
    assert!(!output.status.success());
    let page = String::from_utf8(output.stdout).expect("text");
    assert!(page.contains("no rookferry_build_info"), "{page}");
}
