//! Request metrics, and the objective counts behind the burn report.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use metrics::counter;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use rookferry_core::Objective;
use rookferry_core::ObjectiveKind;
use rookferry_core::ObjectiveSample;
use rookferry_core::SiteConfig;
use rookferry_core::WindowCount;
use rookferry_core::objective_applies;

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of the process on the first call; returns its
/// handle.
pub(crate) fn install_recorder() -> PrometheusHandle {
    RECORDER
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // Fails only if the embedding program has installed its own recorder,
            // which then gets the metrics.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}

/// Result of a request, as counted for objectives.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServeOutcome {
    /// The route.
    pub(crate) route: String,
    /// The account.
    pub(crate) account: String,
    /// Whether it got a complete answer.
    pub(crate) is_answered: bool,
    /// Whether the caller caused the refusal; then it counts for no objective.
    pub(crate) is_caller_error: bool,
    /// Time to the first token, `None` without tokens.
    pub(crate) first_token: Option<Duration>,
    /// Gaps between tokens.
    pub(crate) gaps: Vec<Duration>,
}

/// Good and total counts, by objective and account.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    objectives: Mutex<BTreeMap<(String, String), WindowCount>>,
}

impl Counters {
    /// Counts a request.
    pub(crate) fn count_request(&self, config: &SiteConfig, served: &ServeOutcome) {
        let result = if served.is_answered {
            "answered"
        } else {
            "failed"
        };
        counter!("rookferry_requests_total", "route" => served.route.clone(), "result" => result)
            .increment(1);
        if let Some(first_token) = served.first_token {
            histogram!("rookferry_first_token_seconds").record(first_token.as_secs_f64());
        }
        for gap in &served.gaps {
            histogram!("rookferry_between_tokens_seconds").record(gap.as_secs_f64());
        }
        if served.is_caller_error {
            return;
        }
        let applying = config.objectives.iter();
        let applying = applying
            .filter(|objective| objective_applies(objective, &served.route, &served.account));
        for objective in applying {
            let count = count(objective, served);
            let mut objectives = self
                .objectives
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let key = (objective.name.clone(), served.account.clone());
            let total = objectives.entry(key).or_default();
            *total = total.plus(count);
        }
    }

    /// All counts since the start of the process.
    pub(crate) fn objectives(&self) -> Vec<ObjectiveSample> {
        let objectives = self
            .objectives
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let samples = objectives
            .iter()
            .map(|((objective, account), count)| ObjectiveSample {
                objective: objective.clone(),
                account: account.clone(),
                good: count.good,
                total: count.total,
            });
        samples.collect()
    }
}

fn count(objective: &Objective, served: &ServeOutcome) -> WindowCount {
    let limit = Duration::from_millis(objective.limit_ms);
    let times: &[Duration] = match objective.kind {
        ObjectiveKind::Availability => {
            return WindowCount {
                good: u64::from(served.is_answered),
                total: 1,
            };
        }
        ObjectiveKind::FirstToken => served.first_token.as_slice(),
        ObjectiveKind::BetweenTokens => &served.gaps,
    };
    let good = times.iter().filter(|time| **time <= limit).count();
    WindowCount {
        good: good as u64,
        total: times.len() as u64,
    }
}
