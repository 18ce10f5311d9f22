//! Fetches the metrics of a site's instances and prints the summary.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use indicatif::ProgressBar;
use rookferry_net::HttpClient;

use super::InstanceList;
use super::metrics::InstanceMetrics;
use super::overview::SiteOverview;
use crate::error::CtlError;
use crate::output;

/// Maximum number of concurrent calls: a site of hundreds takes a few rounds, and the
/// operator's machine needs few file descriptors.
const MAX_CONCURRENT_CALLS: usize = 32;
/// Path of an instance's metrics.
const METRICS_PATH: &str = "/metrics";

/// A query of all instances of a site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SiteQuery {
    timeout: Duration,
    is_json: bool,
}

impl SiteQuery {
    /// Queries each instance with this timeout and prints text.
    pub(crate) const fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            is_json: false,
        }
    }

    /// Prints JSON instead of text.
    #[must_use]
    pub(crate) const fn with_json(mut self, is_json: bool) -> Self {
        self.is_json = is_json;
        self
    }

    /// Fetches the metrics and prints the summary. Returns an error, after printing, if
    /// no instance answered.
    pub(crate) async fn run(self, client: &HttpClient, list: InstanceList) -> Result<(), CtlError> {
        let overview = self.overview(client, list).await;
        if self.is_json {
            let json = serde_json::to_string_pretty(&overview);
            output::print_lines([json.map_err(|source| CtlError::Json { source })?])?;
        } else {
            output::print_lines(overview.to_string().lines())?;
        }
        if overview.silent.len() == overview.asked {
            return Err(CtlError::NoAnswers {
                asked: overview.asked,
            });
        }
        Ok(())
    }

    async fn overview(self, client: &HttpClient, list: InstanceList) -> SiteOverview {
        // Hidden if standard error is not a terminal.
        let progress = ProgressBar::new(list.instances.len() as u64);
        let calls = list.instances.into_iter().map(async |instance| {
            let result = self.fetch_metrics(client, instance.addr).await;
            progress.inc(1);
            (instance.addr, result)
        });
        let responses = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_CALLS);
        let mut responses: Vec<_> = responses.collect().await;
        progress.finish_and_clear();
        responses.sort_by_key(|(addr, _)| *addr);
        let mut overview = SiteOverview::default();
        for (addr, result) in responses {
            overview.add_result(addr, result);
        }
        overview
    }

    async fn fetch_metrics(
        self,
        client: &HttpClient,
        addr: SocketAddr,
    ) -> Result<InstanceMetrics, String> {
        let text = client.get_text(addr, METRICS_PATH, self.timeout).await;
        let text = text.map_err(|error| error.to_string())?;
        InstanceMetrics::parse(&text)
    }
}
