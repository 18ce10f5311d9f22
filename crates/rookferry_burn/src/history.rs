//! Samples over time, and the counts between them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use rookferry_core::ObjectiveSample;
use rookferry_core::WindowCount;
use rookferry_net::read_text;
use serde::Deserialize;
use serde::Serialize;

/// One instance's counts at one time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct InstanceSample {
    pub(crate) at_ms: u64,
    pub(crate) instance: String,
    pub(crate) objectives: Vec<ObjectiveSample>,
}

/// An objective of an account.
pub(crate) type Series = (String, String);

/// Counts added up over instances, by the time they were counted in.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) first_ms: u64,
    pub(crate) last_ms: u64,
    pub(crate) instances: usize,
    increments: BTreeMap<Series, Vec<(u64, WindowCount)>>,
}

impl History {
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

    pub(crate) fn from_samples(mut samples: Vec<InstanceSample>) -> Self {
        samples.sort_by_key(|sample| sample.at_ms);
        let mut history = Self {
            first_ms: samples.first().map_or(0, |sample| sample.at_ms),
            last_ms: samples.last().map_or(0, |sample| sample.at_ms),
            ..Self::default()
        };
        let mut former: BTreeMap<(String, Series), WindowCount> = BTreeMap::new();
        let mut seen: BTreeSet<String> = BTreeSet::new();
        for sample in samples {
            let is_first = seen.insert(sample.instance.clone());
            for objective in sample.objectives {
                let series = (objective.objective, objective.account);
                let count = WindowCount {
                    good: objective.good,
                    total: objective.total,
                };
                let key = (sample.instance.clone(), series.clone());
                let before = former.insert(key, count);
                // What an instance had counted before it was first seen has
                // no time.
                let increment = match before {
                    Some(before) => WindowCount::between(before, count),
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
        history.instances = seen.len();
        history
    }

    /// Accounts for which an objective was counted.
    pub(crate) fn accounts(&self, objective: &str) -> Vec<String> {
        let series = self.increments.keys().filter(|(name, _)| name == objective);
        series.map(|(_, account)| account.clone()).collect()
    }

    /// Counts of an objective between two times, of one account or all.
    pub(crate) fn between(
        &self,
        objective: &str,
        account: Option<&str>,
        from_ms: u64,
        to_ms: u64,
    ) -> WindowCount {
        let series = self.increments.iter().filter(|((name, of), _)| {
            name == objective && account.is_none_or(|account| account == of)
        });
        let counts = series.flat_map(|(_, counts)| counts);
        let within = counts.filter(|(at_ms, _)| (from_ms + 1..=to_ms).contains(at_ms));
        within.fold(WindowCount::default(), |sum, (_, count)| sum.plus(*count))
    }
}
