//! Throughput as a share of its upper bound, for the default routing policy and the
//! baseline policies, on the same site.

use rookferry_standin::LoadRun;
use rookferry_standin::LoadRunReport;
use rookferry_standin::Mix;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::testbed::ACCOUNT_SHARES;
use crate::testbed::Testbed;
use crate::testbed::engines;
use crate::testbed::token_rate_bound;

const ENGINES: usize = 38;
const ENTRIES: usize = 9;
/// Mean number of tokens of an answer.
const ANSWER_TOKENS: f64 = 32.0;
/// All routing policies; the default first, then the baselines.
pub(crate) const ALL_POLICIES: [&str; 4] = [
    "expected_finish",
    "least_outstanding",
    "round_robin",
    "random",
];

#[derive(Serialize)]
struct Figures {
    bound_tokens_per_s: u64,
    runs: Vec<RunFigures>,
}

#[derive(Serialize)]
struct RunFigures {
    policy: String,
    load_of_bound: f64,
    share_of_bound: f64,
    first_token_p95_ms: f64,
    between_tokens_p95_ms: f64,
    lookup_p99_ms: f64,
    sent: u64,
    correct: u64,
    wrong: u64,
    not_run: u64,
    unknown: u64,
    cut: u64,
    /// Lowest share of correct answers among the client accounts.
    least_account_share: f64,
}

pub(crate) fn run(
    seconds: u64,
    loads: &[f64],
    policies: &[String],
    overcommit: Option<f64>,
) -> Value {
    let testbed = Testbed::start(engines(ENGINES), ENTRIES);
    let bound = token_rate_bound(&testbed.engines);
    let mut runs = Vec::new();
    for load in loads {
        for policy in policies {
            let version = testbed.apply(&match overcommit {
                Some(overcommit) => json!({"chooser": policy, "overcommit": overcommit}),
                None => json!({"chooser": policy}),
            });
            testbed.wait_until_active(version);
            let figures = load_once(&testbed, policy, *load, bound, seconds);
            eprintln!("{}", serde_json::to_string(&figures).unwrap_or_default());
            runs.push(figures);
        }
    }
    let figures = Figures {
        bound_tokens_per_s: bound,
        runs,
    };
    serde_json::to_value(figures).unwrap_or_default()
}

fn load_once(testbed: &Testbed, policy: &str, load: f64, bound: u64, seconds: u64) -> RunFigures {
    let mix = Mix {
        streamed: 0.9,
        lookup: 0.1,
        ..Mix::default()
    };
    let rate_per_s = bound as f64 * load / ANSWER_TOKENS / mix.streamed;
    let plan = testbed.plan(rate_per_s, seconds, mix);
    let report = testbed.runtime.block_on(LoadRun::run(plan)).report;
    figures(policy, load, bound, &report)
}

fn figures(policy: &str, load: f64, bound: u64, report: &LoadRunReport) -> RunFigures {
    let sum =
        |pick: fn(&rookferry_standin::KindReport) -> u64| report.kinds.values().map(pick).sum();
    let streamed = report
        .kinds
        .get(&rookferry_standin::CallKind::Streamed)
        .cloned()
        .unwrap_or_default();
    let lookup = report
        .kinds
        .get(&rookferry_standin::CallKind::Lookup)
        .cloned()
        .unwrap_or_default();
    let shares = (0..ACCOUNT_SHARES.len()).map(|number| {
        let account = format!("account-{number}");
        let sent = report.sent_by_account.get(&account).copied().unwrap_or(0);
        let correct = report
            .correct_by_account
            .get(&account)
            .copied()
            .unwrap_or(0);
        correct as f64 / sent.max(1) as f64
    });
    RunFigures {
        policy: policy.to_owned(),
        load_of_bound: load,
        share_of_bound: report.tokens_per_s / bound as f64,
        first_token_p95_ms: streamed.first_token.p95_ms,
        between_tokens_p95_ms: streamed.gaps.p95_ms,
        lookup_p99_ms: lookup.whole.p99_ms,
        sent: sum(|kind| kind.sent),
        correct: sum(|kind| kind.correct),
        wrong: sum(|kind| kind.wrong),
        not_run: sum(|kind| kind.not_run),
        unknown: sum(|kind| kind.unknown),
        cut: sum(|kind| kind.cut),
        least_account_share: shares.fold(1.0, f64::min),
    }
}
