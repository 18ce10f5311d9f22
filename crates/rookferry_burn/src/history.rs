//! Event counts over time, computed from the samples of the instances.
//!
//! A sample has an instance's cumulative counters. The history stores their increments,
//! summed over instances when a window is read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use rookferry_core::ObjectiveSample;
use rookferry_core::WindowCount;
use rookferry_net::read_text;
use serde::Deserialize;
use serde::Serialize;

/// Cumulative counters of one instance at one time; one line of the file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct InstanceSample {
    /// Milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// Operators' address of the instance.
    pub(crate) instance: String,
    pub(crate) objectives: Vec<ObjectiveSample>,
}

/// Names of an objective and of a client account.
pub(crate) type Series = (String, String);

/// Increments of the counters of all instances, with the time of their samples.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Time of the first sample, in milliseconds since the Unix epoch; 0 if none.
    pub(crate) first_ms: u64,
    /// Time of the last sample, likewise.
    pub(crate) last_ms: u64,
    /// Number of instances with at least one sample.
    pub(crate) instances: usize,
    increments: BTreeMap<Series, Vec<(u64, WindowCount)>>,
}

impl History {
    /// Reads a file of samples. Fails if the file can't be read or a line can't be
    /// parsed; the error then names the line.
    pub(crate) fn read(file: &Path) -> Result<Self, String> {
        let text = read_text(file).map_err(|error| error.to_string())?;
        let mut samples = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let sample: InstanceSample = serde_json::from_str(line)
                .map_err(|error| format!("{}, line {}: {error}", file.display(), number + 1))?;
            samples.push(sample);
        }
        Ok(Self::from_samples(samples))
    }

    /// Computes the increments between the samples of each instance.
    pub(crate) fn from_samples(mut samples: Vec<InstanceSample>) -> Self {
        samples.sort_by_key(|sample| sample.at_ms);
        let mut history = Self {
            first_ms: samples.first().map_or(0, |sample| sample.at_ms),
            last_ms: samples.last().map_or(0, |sample| sample.at_ms),
            ..Self::default()
        };
        let mut previous: BTreeMap<(String, Series), WindowCount> = BTreeMap::new();
        let mut instances_seen: BTreeSet<String> = BTreeSet::new();
        for sample in samples {
            let is_first = instances_seen.insert(sample.instance.clone());
            for objective in sample.objectives {
                let series = (objective.objective, objective.account);
                let count = WindowCount {
                    good: objective.good,
                    total: objective.total,
                };
                let key = (sample.instance.clone(), series.clone());
                let previous_count = previous.insert(key, count);
                // It is unknown when events before an instance's first sample
                // occurred, so they are left out. A series that appears after the first
                // sample started at 0.
                let increment = match previous_count {
                    Some(previous_count) => WindowCount::between(previous_count, count),
                    None if is_first => continue,
                    None => count,
                };
                history
                    .increments
                    .entry(series)
                    .or_default()
                    .push((sample.at_ms, increment));
            }
        }
        history.instances = instances_seen.len();
        history
    }

    /// Client accounts with samples for an objective.
    pub(crate) fn accounts(&self, objective: &str) -> Vec<String> {
        let series = self.increments.keys().filter(|(name, _)| name == objective);
        series.map(|(_, account)| account.clone()).collect()
    }

    /// Events of an objective after `from_ms` and up to `to_ms`, for one client account
    /// or, with `None`, for all.
    pub(crate) fn between(
        &self,
        objective: &str,
        account: Option<&str>,
        from_ms: u64,
        to_ms: u64,
    ) -> WindowCount {
        let series = self
            .increments
            .iter()
            .filter(|((name, series_account), _)| {
                name == objective && account.is_none_or(|account| account == series_account)
            });
        let counts = series.flat_map(|(_, counts)| counts);
        let within = counts.filter(|(at_ms, _)| (from_ms + 1..=to_ms).contains(at_ms));
        within.fold(WindowCount::default(), |sum, (_, count)| sum.plus(*count))
    }
}
