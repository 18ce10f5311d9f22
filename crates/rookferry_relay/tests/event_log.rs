//! The sources log exactly the events in `EVENTS`, and docs/OPERATIONS.md describes each.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use rookferry_relay::EVENTS;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn append_sources(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).expect("a readable directory") {
        let path = entry.expect("a directory entry").path();
        if path.is_dir() {
            append_sources(&path, text);
        } else {
            text.push_str(&fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// The event names given as literals after `"event" =>` in the sources.
fn logged_events() -> BTreeSet<String> {
    let mut text = String::new();
    append_sources(
        &repository_root().join("crates/rookferry_relay/src"),
        &mut text,
    );
    append_sources(&repository_root().join("platform/src"), &mut text);
    let literals = text.split("\"event\" =>").skip(1);
    let names = literals.filter_map(|rest| rest.trim_start().strip_prefix('"'));
    names
        .filter_map(|rest| rest.split('"').next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn the_sources_log_exactly_the_listed_events() {
    let listed: BTreeSet<String> = EVENTS.iter().map(|name| (*name).to_owned()).collect();
    // Their names are chosen at run time, so the sources have no literal after the key.
    let computed = ["lease_held", "lease_lost"].map(str::to_owned);
    let logged: BTreeSet<String> = logged_events().into_iter().chain(computed).collect();
    assert_eq!(logged, listed);
}

#[test]
fn the_operations_page_describes_every_event() {
    let page = fs::read_to_string(repository_root().join("docs/OPERATIONS.md"))
        .expect("the operations page");
    for name in EVENTS {
        assert!(page.contains(&format!("`{name}`")), "{name}");
    }
}
