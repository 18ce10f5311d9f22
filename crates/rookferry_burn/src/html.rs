//! Renders the report as one HTML page that loads no external resources.

use std::fmt::Write;

use crate::report::ObjectiveBurn;
use crate::report::Report;
use crate::report::percent;

/// Width of a plot, in pixels.
const WIDTH: f64 = 720.0;
/// Height of a plot, in pixels.
const HEIGHT: f64 = 160.0;
/// Minimum upper end of a plot's scale, as a burn rate, so that small variations below
/// a rate of 1 don't look like peaks.
const MIN_SCALE: f64 = 2.0;

const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:760px;margin:2em auto;color:#222}\
table{border-collapse:collapse;margin:.5em 0}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}\
td:first-child,th:first-child{text-align:left}svg{background:#fafafa;border:1px solid #ddd}\
.line{fill:none;stroke:#1565c0;stroke-width:2}.limit{stroke:#c62828;stroke-dasharray:4 4}";

/// Returns the whole page.
pub(crate) fn render_page(report: &Report) -> String {
    let mut html = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>{STYLE}</style></head><body><h1>Service-level burn</h1><p>{} instances over {} s. \
         A burn rate of 1 uses up the error budget exactly at the end of the objective's period.</p>",
        report.instances,
        (report.to_ms - report.from_ms) / 1_000
    );
    for objective in &report.objectives {
        write_objective(&mut html, objective);
    }
    html.push_str("</body></html>");
    html
}

fn write_objective(html: &mut String, objective: &ObjectiveBurn) {
    let left = objective
        .budget_left
        .map_or("no events".to_owned(), percent);
    let _ = write!(
        html,
        "<h2>{}</h2><p>Target {}, budget left {left}.</p>",
        escape(&objective.name),
        percent(objective.target)
    );
    write_plot(html, objective);
    html.push_str("<table><tr><th>window</th><th>burn rate</th><th>good</th><th>all</th></tr>");
    for window in &objective.windows {
        let rate = window
            .burn_rate
            .map_or("–".to_owned(), |rate| format!("{rate:.2}"));
        let _ = write!(
            html,
            "<tr><td>{} s</td><td>{rate}</td><td>{}</td><td>{}</td></tr>",
            window.window_s, window.good, window.total
        );
    }
    html.push_str("</table><table><tr><th>client account</th><th>bad</th><th>all</th><th>of all bad</th></tr>");
    for account in &objective.accounts {
        let _ = write!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            escape(&account.account),
            account.bad,
            account.total,
            percent(account.share_of_bad)
        );
    }
    html.push_str("</table>");
}

fn write_plot(html: &mut String, objective: &ObjectiveBurn) {
    let rates = objective.plot.iter().filter_map(|(_, rate)| *rate);
    let scale = rates.fold(MIN_SCALE, f64::max);
    let y = |rate: f64| HEIGHT - rate / scale * HEIGHT;
    let points = objective.plot.len().max(2) - 1;
    let mut line = String::new();
    for (index, (_, rate)) in objective.plot.iter().enumerate() {
        let x = index as f64 / points as f64 * WIDTH;
        let _ = write!(line, "{x:.1},{:.1} ", y(rate.unwrap_or(0.0)));
    }
    let limit = y(1.0);
    let _ = write!(
        html,
        "<svg width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\" aria-label=\"burn rate over time\">\
         <line class=\"limit\" x1=\"0\" y1=\"{limit:.1}\" x2=\"{WIDTH}\" y2=\"{limit:.1}\"/>\
         <polyline class=\"line\" points=\"{line}\"/>\
         <text x=\"4\" y=\"14\">burn rate, 0 to {scale:.1}; dashed: 1</text></svg>"
    );
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
