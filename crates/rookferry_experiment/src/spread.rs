//! Time from when the platform accepts a configuration until it is active on all
//! instances, and how often an instance reports an older version than before.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::testbed::Testbed;
use crate::testbed::engines;
use crate::testbed::site_config;

const ENTRIES: usize = 9;
const POLL_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Serialize)]
struct RunFigures {
    site: &'static str,
    applies: u64,
    median_ms: f64,
    worst_ms: f64,
    /// Reads in which an instance reported an older version than before.
    reversals: u64,
}

pub(crate) fn run(applies: u64) -> Value {
    let runs = [
        measure("platform up", 0, applies),
        measure(
            "all but one instance a domain cut from the platform",
            1,
            applies,
        ),
    ];
    serde_json::to_value(runs).unwrap_or_default()
}

fn measure(site: &'static str, with_platform: usize, applies: u64) -> RunFigures {
    let testbed = Testbed::start_partitioned(engines(3), ENTRIES, with_platform);
    let mut times: Vec<Duration> = Vec::new();
    let mut reversals = 0;
    for number in 0..applies {
        let (time, new_reversals) = testbed.runtime.block_on(apply_once(&testbed, number));
        times.push(time);
        reversals += new_reversals;
    }
    times.sort();
    let ms = |time: Option<&Duration>| time.map_or(0.0, |time| time.as_secs_f64() * 1_000.0);
    RunFigures {
        site,
        applies,
        median_ms: ms(times.get(times.len() / 2)),
        worst_ms: ms(times.last()),
        reversals,
    }
}

/// Applies a configuration; returns the time until it is active everywhere, and the
/// number of reversals.
async fn apply_once(testbed: &Testbed, number: u64) -> (Duration, u64) {
    let mut value = site_config(&json!({}));
    value["routes"][0]["name"] = json!(format!("route-{number}"));
    let version = testbed.write_config(value).await;
    let accepted_at = Instant::now();
    let mut reversals = 0;
    let mut last_versions = vec![0; testbed.entries.len()];
    while last_versions
        .iter()
        .any(|last_version| *last_version < version)
    {
        for (entry, last_version) in testbed.entries.iter().zip(&mut last_versions) {
            let reported_version = testbed.active_version(entry).await;
            reversals += u64::from(reported_version < *last_version);
            *last_version = reported_version;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    (accepted_at.elapsed(), reversals)
}
