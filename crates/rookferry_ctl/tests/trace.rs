//! `rookferryctl trace`: a request's timeline from log files.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use flate2::Compression;
use flate2::write::GzEncoder;

const LOG: &str = concat!(
    r#"{"msg":"sync: a dependency is lost","level":"WARN","ts":"2026-01-01T10:00:00.100000000Z","instance":"n1","event":"dependency_lost","dependency":"store: servers"}"#,
    "\n",
    r#"{"msg":"sync: a dependency is lost","level":"WARN","ts":"2026-01-01T10:00:00.100000000Z","instance":"n2","event":"dependency_lost","dependency":"store: servers"}"#,
    "\n",
    r#"{"msg":"health: a server doesn't answer","level":"WARN","ts":"2026-01-01T10:00:01.050000000Z","instance":"n1","event":"server_lost","server":"10.0.0.2:80","cause":"refused"}"#,
    "\n",
    r#"{"msg":"health: a server doesn't answer","level":"WARN","ts":"2026-01-01T10:00:01.060000000Z","instance":"n1","event":"server_lost","server":"10.0.0.9:80","cause":"refused"}"#,
    "\n",
    "  3.2 n1 ",
    r#"{"msg":"stream: cut short","level":"WARN","ts":"2026-01-01T10:00:01.200000000Z","instance":"n1","event":"stream_cut","request":"abc","path":"10.0.0.1:80=0-4,10.0.0.2:80=4-8","cause":"stalled"}"#,
    "\n",
    r#"{"msg":"request: answered","level":"INFO","ts":"2026-01-01T10:00:01.210000000Z","instance":"n1","event":"served","request":"other","server":"10.0.0.1:80"}"#,
    "\n",
    "no line of ours\n",
);

fn trace(name: &str, id: &str) -> Output {
    let file: PathBuf =
        std::env::temp_dir().join(format!("rookferry-trace-{}-{name}", std::process::id()));
    fs::write(&file, LOG).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_rookferryctl"))
        .arg("trace")
        .arg(id)
        .arg(&file)
        .output()
        .expect("the program runs");
    fs::remove_file(&file).expect("the file exists");
    output
}

#[test]
fn a_timeline_has_only_the_request_and_its_context() {
    let output = trace("known", "abc");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let events: Vec<&str> = text
        .lines()
        .filter_map(|line| {
            line.split_whitespace()
                .find(|word| word.ends_with(':') && word.contains('_'))
        })
        .collect();
    assert_eq!(
        events,
        ["dependency_lost:", "server_lost:", "stream_cut:"],
        "{text}"
    );
    assert!(text.contains("10.0.0.2:80"));
    assert!(!text.contains("10.0.0.9:80"));
    assert!(!text.contains("n2"));
}

#[test]
fn an_unknown_request_is_reported() {
    let output = trace("unknown", "nobody");
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains("no line names nobody"), "{text}");
}

/// A directory with a log file per instance of `LOG`, one of them compressed.
fn log_directory(name: &str) -> PathBuf {
    let log_directory =
        std::env::temp_dir().join(format!("rookferry-logs-{}-{name}", std::process::id()));
    fs::create_dir_all(&log_directory).expect("a directory");
    let lines_of = |instance: &str| -> String {
        let field = format!("\"instance\":\"{instance}\"");
        let lines = LOG.lines().filter(|line| line.contains(&field));
        lines.collect::<Vec<_>>().join("\n")
    };
    fs::write(log_directory.join("n2.log"), lines_of("n2")).expect("a file");
    let file = fs::File::create(log_directory.join("n1.log.gz")).expect("a file");
    let mut compressed = GzEncoder::new(file, Compression::fast());
    compressed
        .write_all(lines_of("n1").as_bytes())
        .expect("a compressed file");
    compressed.finish().expect("a compressed file");
    log_directory
}

fn trace_in(log_directory: &Path, options: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rookferryctl"))
        .arg("trace")
        .args(options)
        .arg("abc")
        .arg(log_directory)
        .output()
        .expect("the program runs")
}

#[test]
fn a_directory_of_plain_and_gzip_logs_is_read() {
    let log_directory = log_directory("all");
    let output = trace_in(&log_directory, &[]);
    fs::remove_dir_all(&log_directory).expect("the directory exists");
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("dependency_lost"), "{text}");
    assert!(lines[2].starts_with("* ") && lines[2].contains("stream_cut"));
}

#[test]
fn a_selector_retains_the_request_and_matching_context() {
    let log_directory = log_directory("some");
    let output = trace_in(&log_directory, &["--select", "event=server_lost"]);
    let invalid = trace_in(&log_directory, &["--select", "event in ("]);
    fs::remove_dir_all(&log_directory).expect("the directory exists");
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(text.lines().count(), 2, "{text}");
    assert!(!text.contains("dependency_lost"), "{text}");
    assert!(text.contains("server_lost") && text.contains("stream_cut"));
    assert!(!invalid.status.success());
}

#[test]
fn context_lines_above_the_limit_are_dropped_with_a_warning() {
    let log_directory = log_directory("many");
    let line = |number: usize| {
        format!(
            r#"{{"ts":"2026-01-01T10:00:01.{:03}000000Z","instance":"n1","event":"peer_lost","peer":"p{number}"}}"#,
            number / 500
        )
    };
    let lines: Vec<String> = (0..50_000).map(line).collect();
    fs::write(log_directory.join("n1.more.log"), lines.join("\n")).expect("a file");
    let output = trace_in(&log_directory, &[]);
    fs::remove_dir_all(&log_directory).expect("the directory exists");
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(
        text.lines().count(),
        20_001,
        "the request's line and the latest context lines"
    );
    assert!(text.contains("stream_cut") && text.contains("peer=p49999"));
    assert!(!text.contains("peer=p0,") && !text.contains("dependency_lost"));
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(error.contains("give a shorter --window-ms"), "{error}");
}

#[test]
fn a_pager_that_closes_early_is_not_an_error() {
    let log_directory = log_directory("pager");
    let request_line = r#"{"ts":"2026-01-01T10:00:01.300000000Z","instance":"n1","event":"served","request":"abc"}"#;
    fs::write(
        log_directory.join("n1.more.log"),
        format!("{request_line}\n").repeat(5_000),
    )
    .expect("a file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_rookferryctl"))
        .args(["trace", "abc"])
        .arg(&log_directory)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program runs");
    drop(child.stdout.take());
    let status = child.wait().expect("the program exits");
    fs::remove_dir_all(&log_directory).expect("the directory exists");
    assert!(status.success(), "{status}");
}

#[test]
fn a_missing_file_is_named_in_the_error() {
    let log_directory = log_directory("gone");
    let missing = log_directory.join("none.log");
    let output = trace_in(&missing, &[]);
    fs::remove_dir_all(&log_directory).expect("the directory exists");
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(error.contains("none.log"), "{error}");
}
