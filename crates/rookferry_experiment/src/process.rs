//! CPU time by thread name and resident memory of this process, from `/proc`.

use std::fs;
use std::time::Duration;

/// Clock ticks per second (`USER_HZ`) in `/proc`.
const TICKS_PER_S: u64 = 100;
const PAGE_BYTES: u64 = 4_096;

/// CPU time of all threads whose name starts with `prefix`.
pub(crate) fn cpu_time(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let ticks = tasks.flatten().filter_map(|task| {
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        parse_ticks(&stat, prefix)
    });
    Duration::from_millis(ticks.sum::<u64>() * 1_000 / TICKS_PER_S)
}

/// Resident memory of this process; 0 if `/proc` can't be read.
pub(crate) fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// User and system ticks in a thread's `stat`, if its name starts with `prefix`.
fn parse_ticks(stat: &str, prefix: &str) -> Option<u64> {
    // Position of `utime` among the fields after the thread name.
    const USER_FIELD: usize = 11;
    let (_, rest) = stat.split_once('(')?;
    let (name, rest) = rest.rsplit_once(')')?;
    if !name.starts_with(prefix) {
        return None;
    }
    let mut fields = rest.split_whitespace().skip(USER_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}
