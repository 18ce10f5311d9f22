//! Runs the script of this case.

use std::process::Command;

// Guards against a second send of an attempt over the channel on which a second answer to
// its first send is still to come.
#[test]
fn a_late_second_answer_runs_no_stream_twice() {
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/run.sh");
    let status = Command::new(script).status().expect("the script");
    assert_eq!(status.code(), Some(0), "the script's exit status");
}
