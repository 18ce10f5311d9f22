//! Parses the metrics of one instance.

use std::collections::BTreeMap;

use prometheus_parse::Sample;
use prometheus_parse::Scrape;
use prometheus_parse::Value;

/// The metrics of one instance that the summary uses.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct InstanceMetrics {
    /// Software version.
    pub(crate) software: String,
    /// Version of its active configuration; 0 if none.
    pub(crate) config_version: u64,
    /// Seconds since that version was last confirmed to be the newest.
    pub(crate) config_age_s: Option<f64>,
    /// Requests in progress.
    pub(crate) active_requests: u64,
    /// Instances that it knows, including itself.
    pub(crate) known_instances: u64,
    /// Servers that don't answer it.
    pub(crate) unresponsive_servers: u64,
    /// Whether it holds the lease to order engines.
    pub(crate) holds_lease: bool,
    /// Refused requests since its start, by cause.
    pub(crate) refusals: BTreeMap<String, u64>,
    /// Retries since its start, by outcome.
    pub(crate) retries: BTreeMap<String, u64>,
    /// Answered requests since its start.
    pub(crate) served: u64,
}

impl InstanceMetrics {
    /// Parses metrics in the Prometheus text format. An error if `text` can't be parsed
    /// or isn't from an entry instance.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let scrape = Scrape::parse(lines).map_err(|error| error.to_string())?;
        let samples = ScrapedSamples(scrape.samples);
        let build = samples.samples_of("rookferry_build_info").next();
        let software = build.and_then(|sample| sample.labels.get("version"));
        let software = software
            .ok_or("no rookferry_build_info; check that it is an instance's metrics address")?;
        Ok(Self {
            software: software.to_owned(),
            config_version: samples.count("rookferry_config_version"),
            config_age_s: samples.gauge("rookferry_config_age_seconds"),
            active_requests: samples.count("rookferry_requests_under_way"),
            known_instances: samples.count("rookferry_instances"),
            unresponsive_servers: samples.count("rookferry_servers_out"),
            holds_lease: samples.count("rookferry_holds_lease") > 0,
            refusals: samples.by_label("rookferry_refused_total", "cause"),
            retries: samples.by_label("rookferry_retries_total", "outcome"),
            served: samples
                .samples_of("rookferry_served_total")
                .map(count)
                .sum(),
        })
    }
}

/// All samples of one scrape.
struct ScrapedSamples(Vec<Sample>);

impl ScrapedSamples {
    fn samples_of<'a>(&'a self, metric: &'a str) -> impl Iterator<Item = &'a Sample> {
        let samples = self.0.iter();
        samples.filter(move |sample| sample.metric == metric)
    }

    fn gauge(&self, metric: &str) -> Option<f64> {
        self.samples_of(metric).next().map(number)
    }

    fn count(&self, metric: &str) -> u64 {
        self.samples_of(metric).next().map_or(0, count)
    }

    fn by_label(&self, metric: &str, label: &str) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for sample in self.samples_of(metric) {
            let key = sample.labels.get(label).unwrap_or_default();
            *sums.entry(key.to_owned()).or_default() += count(sample);
        }
        sums
    }
}

const fn number(sample: &Sample) -> f64 {
    match sample.value {
        Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => value,
        Value::Histogram(_) | Value::Summary(_) => 0.0,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are non-negative integers, and the cast saturates"
)]
const fn count(sample: &Sample) -> u64 {
    number(sample) as u64
}
