//! Every event that is written is listed and described.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use rookferry_relay::EVENTS;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn sources(folder: &Path, found: &mut String) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push_str(&fs::read_to_string(&path).expect("a source"));
        }
    }
}

/// The names behind `"event" =>` in the sources.
fn written() -> BTreeSet<String> {
    let mut text = String::new();
    sources(&root().join("crates/rookferry_relay/src"), &mut text);
    sources(&root().join("platform/src"), &mut text);
    let literals = text.split("\"event\" =>").skip(1);
    let names = literals.filter_map(|rest| rest.trim_start().strip_prefix('"'));
    names
        .filter_map(|rest| rest.split('"').next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_event_that_is_written_is_listed() {
    let listed: BTreeSet<String> = EVENTS.iter().map(|name| (*name).to_owned()).collect();
    // These two are chosen between where they are written.
    let chosen = ["lease_held", "lease_lost"].map(str::to_owned);
    let written: BTreeSet<String> = written().into_iter().chain(chosen).collect();
    assert_eq!(written, listed);
}

#[test]
fn every_event_is_described_for_operators() {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("a page");
    for name in EVENTS {
        assert!(page.contains(&format!("`{name}`")), "{name}");
    }
}
