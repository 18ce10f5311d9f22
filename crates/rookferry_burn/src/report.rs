//! Computes the report from the history and renders it as text and JSON.

use std::fmt::Write;

use rookferry_core::Objective;
use rookferry_core::SiteConfig;
use rookferry_core::WindowCount;
use serde::Serialize;

use crate::history::History;

/// Number of points in a plot.
const PLOT_POINTS: u64 = 60;

/// Events and burn rate within one window that ends at the last sample.
#[derive(Debug, Serialize)]
pub(crate) struct WindowBurn {
    pub(crate) window_s: u64,
    pub(crate) good: u64,
    pub(crate) total: u64,
    /// A rate of 1 uses up the budget exactly at the end of the objective's period;
    /// `None` without events.
    pub(crate) burn_rate: Option<f64>,
}

/// A client account's share in the use of an error budget.
#[derive(Debug, Serialize)]
pub(crate) struct AccountBurn {
    pub(crate) account: String,
    pub(crate) bad: u64,
    pub(crate) total: u64,
    /// Its bad events divided by those of all accounts.
    pub(crate) share_of_bad: f64,
}

/// Report on one objective.
#[derive(Debug, Serialize)]
pub(crate) struct ObjectiveBurn {
    pub(crate) name: String,
    /// Required share of good events.
    pub(crate) target: f64,
    pub(crate) windows: Vec<WindowBurn>,
    /// Remaining share of the budget over the whole history, negative if it is
    /// exceeded; `None` without events.
    pub(crate) budget_left: Option<f64>,
    pub(crate) accounts: Vec<AccountBurn>,
    /// Times in milliseconds since the Unix epoch and the burn rate up to each.
    pub(crate) plot: Vec<(u64, Option<f64>)>,
}

/// Report on all objectives of a configuration.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) instances: usize,
    pub(crate) objectives: Vec<ObjectiveBurn>,
}

impl Report {
    /// Computes the report; `windows_s` are the window lengths in seconds.
    pub(crate) fn new(config: &SiteConfig, history: &History, windows_s: &[u64]) -> Self {
        let objectives = config.objectives.iter();
        Self {
            from_ms: history.first_ms,
            to_ms: history.last_ms,
            instances: history.instances,
            objectives: objectives
                .map(|objective| objective_burn(objective, history, windows_s))
                .collect(),
        }
    }

    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        let span_s = (self.to_ms - self.from_ms) / 1_000;
        let _ = writeln!(text, "{} instances over {span_s} s", self.instances);
        for objective in &self.objectives {
            let left = objective
                .budget_left
                .map_or("no events".to_owned(), percent);
            let _ = writeln!(
                text,
                "\n{}: target {}, budget left {left}",
                objective.name,
                percent(objective.target)
            );
            for window in &objective.windows {
                let rate = window
                    .burn_rate
                    .map_or("-".to_owned(), |rate| format!("{rate:.2}"));
                let _ = writeln!(
                    text,
                    "  last {:>7} s: burn rate {rate:>7}, {} of {} good",
                    window.window_s, window.good, window.total
                );
            }
            for account in &objective.accounts {
                let _ = writeln!(
                    text,
                    "  {}: {} of {} bad, {} of all bad",
                    account.account,
                    account.bad,
                    account.total,
                    percent(account.share_of_bad)
                );
            }
        }
        text
    }
}

/// Formats a share as a percentage with one decimal.
pub(crate) fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}

fn objective_burn(objective: &Objective, history: &History, windows_s: &[u64]) -> ObjectiveBurn {
    let to_ms = history.last_ms;
    let name = &objective.name;
    let events_in_last =
        |window_ms: u64| history.between(name, None, to_ms.saturating_sub(window_ms), to_ms);
    let windows = windows_s.iter().map(|window_s| {
        let count = events_in_last(window_s * 1_000);
        WindowBurn {
            window_s: *window_s,
            good: count.good,
            total: count.total,
            burn_rate: count.burn_rate(objective.target),
        }
    });
    let all = history.between(name, None, 0, to_ms);
    ObjectiveBurn {
        name: name.clone(),
        target: objective.target,
        windows: windows.collect(),
        budget_left: all.burn_rate(objective.target).map(|used| 1.0 - used),
        accounts: account_burns(name, history, all),
        plot: plot(objective, history),
    }
}

/// Client accounts by number of bad events, largest first.
fn account_burns(objective: &str, history: &History, all: WindowCount) -> Vec<AccountBurn> {
    let accounts = history.accounts(objective).into_iter();
    let mut burns: Vec<AccountBurn> = accounts
        .map(|account| {
            let count = history.between(objective, Some(&account), 0, history.last_ms);
            AccountBurn {
                account,
                bad: count.bad(),
                total: count.total,
                share_of_bad: count.bad() as f64 / all.bad().max(1) as f64,
            }
        })
        .collect();
    burns.sort_by_key(|burn| std::cmp::Reverse(burn.bad));
    burns
}

/// Burn rates of `PLOT_POINTS` consecutive intervals over the whole history.
fn plot(objective: &Objective, history: &History) -> Vec<(u64, Option<f64>)> {
    let step_ms = ((history.last_ms - history.first_ms) / PLOT_POINTS).max(1);
    let points = 1..=PLOT_POINTS;
    points
        .map(|point| {
            let to_ms = history.first_ms + point * step_ms;
            let count = history.between(&objective.name, None, to_ms - step_ms, to_ms);
            (to_ms, count.burn_rate(objective.target))
        })
        .collect()
}
