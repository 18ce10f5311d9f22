//! Time from when the platform accepts a configuration until it is active on all
//! instances, and how often an instance reports an older version than before.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::bench::Bench;
use crate::bench::config;
use crate::bench::engines;

const ENTRIES: usize = 9;
const LOOK: Duration = Duration::from_millis(1);

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
    let bench = Bench::start_cut(engines(3), ENTRIES, with_platform);
    let mut times: Vec<Duration> = Vec::new();
    let mut reversals = 0;
    for number in 0..applies {
        let (time, went_back) = bench.runtime.block_on(apply_once(&bench, number));
        times.push(time);
        reversals += went_back;
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
async fn apply_once(bench: &Bench, number: u64) -> (Duration, u64) {
    let mut value = config(&json!({}));
    value["routes"][0]["name"] = json!(format!("route-{number}"));
    let version = bench.put(value).await;
    let accepted_at = Instant::now();
    let mut reversals = 0;
    let mut seen = vec![0; bench.entries.len()];
    while seen.iter().any(|seen| *seen < version) {
        for (entry, seen) in bench.entries.iter().zip(&mut seen) {
            let now = bench.version_at(entry).await;
            reversals += u64::from(now < *seen);
            *seen = now;
        }
        tokio::time::sleep(LOOK).await;
    }
    (accepted_at.elapsed(), reversals)
}
