//! A request's timeline out of log lines.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

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
        .expect("it runs");
    fs::remove_file(&file).expect("the file is there");
    output
}

#[test]
fn a_timeline_has_the_request_and_what_explains_it_and_nothing_else() {
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
fn an_unknown_request_is_said_so() {
    let output = trace("unknown", "nobody");
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains("no line names nobody"), "{text}");
}
