//! Runs `rookferry-burn report` on files of samples.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use serde_json::json;

struct Files {
    config: PathBuf,
    samples: PathBuf,
}

fn files(name: &str, samples: &[Value]) -> Files {
    let dir = std::env::temp_dir().join(format!("rookferry-burn-{}-{name}", std::process::id()));
    fs::create_dir_all(&dir).expect("a directory");
    let files = Files {
        config: dir.join("config.json"),
        samples: dir.join("samples"),
    };
    let config =
        json!({"objectives": [{"name": "answered", "kind": "availability", "target": 0.9}]});
    fs::write(&files.config, config.to_string()).expect("a configuration");
    let lines: Vec<String> = samples.iter().map(Value::to_string).collect();
    fs::write(&files.samples, lines.join("\n")).expect("samples");
    files
}

fn sample(at_s: u64, instance: &str, account: &str, good: u64, total: u64) -> Value {
    json!({"at_ms": at_s * 1_000, "instance": instance, "objectives":
        [{"objective": "answered", "account": account, "good": good, "total": total}]})
}

fn report(files: &Files, format: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_rookferry-burn"))
        .args([
            "report",
            "--windows-s",
            "60,600",
            "--format",
            format,
            "--config",
        ])
        .arg(&files.config)
        .arg("--samples")
        .arg(&files.samples)
        .output()
        .expect("the program runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Samples of two instances; the last minute has a larger share of bad events than the
/// ten minutes.
fn two_instances(name: &str) -> Files {
    files(
        name,
        &[
            sample(1_000, "one", "desk", 500, 500),
            sample(1_000, "two", "desk", 0, 0),
            sample(1_500, "one", "desk", 600, 600),
            sample(1_590, "one", "desk", 680, 700),
            sample(1_590, "two", "other", 10, 10),
        ],
    )
}

#[test]
fn burn_rates_are_per_window_and_attributed_to_accounts() {
    let report: Value =
        serde_json::from_str(&report(&two_instances("json"), "json")).expect("JSON");
    assert_eq!(report["instances"], 2);
    let objective = &report["objectives"][0];
    let rate = |window: usize| {
        objective["windows"][window]["burn_rate"]
            .as_f64()
            .expect("a rate")
    };
    assert!((rate(0) - 20.0 / 110.0 / 0.1).abs() < 1e-9);
    assert!((rate(1) - 20.0 / 210.0 / 0.1).abs() < 1e-9);
    assert_eq!(objective["accounts"][0]["account"], "desk");
    assert_eq!(objective["accounts"][0]["share_of_bad"], 1.0);
}

/// A counter that decreased was reset by a restart: all events since then count. Events
/// before an instance's first sample are left out.
#[test]
fn a_counter_reset_by_a_restart_counts_in_full() {
    let files = files(
        "restart",
        &[
            sample(10, "one", "desk", 900, 1_000),
            sample(20, "one", "desk", 5, 10),
        ],
    );
    let report: Value = serde_json::from_str(&report(&files, "json")).expect("JSON");
    assert_eq!(report["objectives"][0]["windows"][1]["total"], 10);
}

#[test]
fn text_shows_the_target_and_html_loads_no_external_resources() {
    let files = two_instances("page");
    let text = report(&files, "text");
    assert!(text.contains("answered: target 90.0 %"), "{text}");
    let page = report(&files, "html");
    assert!(page.starts_with("<!doctype html>") && page.ends_with("</html>\n"));
    assert!(
        page.contains("<polyline") && !page.contains("http"),
        "the page loads no external resources"
    );
}
