//! Fetches the metrics of a site's instances and prints the summary.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use indicatif::ProgressBar;
use rookferry_net::HttpClient;

use super::Roster;
use super::figures::InstanceFigures;
use super::overview::SiteOverview;
use crate::error::CtlError;
use crate::output;

/// Maximum number of concurrent calls: a site of hundreds takes a few rounds, and the
/// operator's machine needs few file descriptors.
const ASKED_AT_ONCE: usize = 32;
/// Path of an instance's metrics.
const METRICS_PATH: &str = "/metrics";

/// A query of all instances of a site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SiteQuestion {
    wait: Duration,
    is_json: bool,
}

impl SiteQuestion {
    /// `wait` is the timeout for each instance.
    pub(crate) const fn new(wait: Duration) -> Self {
        Self {
            wait,
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
    pub(crate) async fn ask(self, client: &HttpClient, roster: Roster) -> Result<(), CtlError> {
        let overview = self.overview(client, roster).await;
        if self.is_json {
            let json = serde_json::to_string_pretty(&overview);
            output::print([json.map_err(|source| CtlError::Json { source })?])?;
        } else {
            output::print(overview.to_string().lines())?;
        }
        if overview.silent.len() == overview.asked {
            return Err(CtlError::NobodyAnswers {
                asked: overview.asked,
            });
        }
        Ok(())
    }

    async fn overview(self, client: &HttpClient, roster: Roster) -> SiteOverview {
        // Hidden if standard error is not a terminal.
        let progress = ProgressBar::new(roster.instances.len() as u64);
        let asked = roster.instances.into_iter().map(async |listed| {
            let answer = self.figures(client, listed.addr).await;
            progress.inc(1);
            (listed.addr, answer)
        });
        let answers = stream::iter(asked).buffer_unordered(ASKED_AT_ONCE);
        let mut answers: Vec<_> = answers.collect().await;
        progress.finish_and_clear();
        answers.sort_by_key(|(addr, _)| *addr);
        let mut overview = SiteOverview::default();
        for (addr, answer) in answers {
            overview.take(addr, answer);
        }
        overview
    }

    async fn figures(
        self,
        client: &HttpClient,
        addr: SocketAddr,
    ) -> Result<InstanceFigures, String> {
        let text = client.get_text(addr, METRICS_PATH, self.wait).await;
        let text = text.map_err(|error| error.to_string())?;
        InstanceFigures::read(&text)
    }
}
