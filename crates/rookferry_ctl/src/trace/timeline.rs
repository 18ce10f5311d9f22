//! Selects and orders the log lines of a request's timeline.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use memchr::memmem::Finder;
use rookferry_core::Selector;

use super::line::Line;
use super::logs::Logs;
use crate::error::CtlError;
use crate::output;

/// Maximum number of context lines, which bounds memory; the latest of the window are
/// shown. Readers need far fewer.
const MOST_EXPLAINING: usize = 20_000;

/// Selection of the log lines of one request.
pub(crate) struct Timeline<'a> {
    request_id: &'a str,
    window_ms: u64,
    selector: &'a Selector,
}

/// Where the request's lines indicate that its context is.
struct Scene {
    servers: BTreeSet<String>,
    instances: BTreeSet<String>,
    /// Milliseconds since midnight.
    times_ms: RangeInclusive<u64>,
}

impl<'a> Timeline<'a> {
    /// Includes context lines from `window_ms` before the request on, if `selector`
    /// matches their fields.
    pub(crate) const fn new(request_id: &'a str, window_ms: u64, selector: &'a Selector) -> Self {
        Self {
            request_id,
            window_ms,
            selector,
        }
    }

    /// Prints the timeline from log files and directories; `-` is standard input.
    pub(crate) fn show(&self, paths: &[PathBuf]) -> Result<(), CtlError> {
        let logs = Logs::open(paths)?;
        let mut lines = self.own_lines(&logs)?;
        let Some(scene) = self.scene(&lines) else {
            let explanation = format!(
                "no line names {}; include the logs of all instances that ran at the time",
                self.request_id
            );
            return Err(CtlError::NoRecord { explanation });
        };
        lines.extend(self.explaining_lines(&logs, &scene)?);
        lines.sort_by_key(Line::time_ms);
        output::print(lines.iter().map(Line::describe))
    }

    fn own_lines(&self, logs: &Logs) -> Result<Vec<Line>, CtlError> {
        let id = Finder::new(self.request_id);
        let mut lines = Vec::new();
        logs.each_line(|bytes| {
            if id.find(bytes).is_none() {
                return;
            }
            let line = Line::read(&text(bytes));
            lines.extend(line.filter(|line| line.text("request") == Some(self.request_id)));
        })?;
        Ok(lines)
    }

    fn scene(&self, own: &[Line]) -> Option<Scene> {
        let times = || own.iter().filter_map(Line::time_ms);
        let (first_ms, last_ms) = (times().min()?, times().max()?);
        let took = own.iter().filter_map(|line| line.number("took_ms"));
        let before_ms = took.max().unwrap_or(0) + self.window_ms;
        let servers = own.iter().flat_map(Line::servers);
        let instances = own.iter().filter_map(|line| line.text("instance"));
        Some(Scene {
            servers: servers.map(str::to_owned).collect(),
            instances: instances.map(str::to_owned).collect(),
            times_ms: first_ms.saturating_sub(before_ms)..=last_ms,
        })
    }

    /// Context lines from the request's instances, at most `MOST_EXPLAINING`.
    fn explaining_lines(&self, logs: &Logs, scene: &Scene) -> Result<Vec<Line>, CtlError> {
        let names: Vec<Finder<'_>> = scene.instances.iter().map(Finder::new).collect();
        let mut lines = Vec::new();
        logs.each_line(|bytes| {
            if names.iter().all(|name| name.find(bytes).is_none()) {
                return;
            }
            let line = Line::read(&text(bytes));
            lines.extend(line.filter(|line| self.explains(line, scene)));
            if lines.len() >= 2 * MOST_EXPLAINING {
                keep_last(&mut lines);
            }
        })?;
        if lines.len() > MOST_EXPLAINING {
            keep_last(&mut lines);
            eprintln!(
                "rookferryctl: only the last {MOST_EXPLAINING} context lines are shown; \
                 give a shorter --window-ms or a --select"
            );
        }
        Ok(lines)
    }

    fn explains(&self, line: &Line, scene: &Scene) -> bool {
        let is_here = line
            .text("instance")
            .is_some_and(|name| scene.instances.contains(name));
        let is_then = line
            .time_ms()
            .is_some_and(|at_ms| scene.times_ms.contains(&at_ms));
        is_here && is_then && line.explains(&scene.servers) && line.matches(self.selector)
    }
}

/// Removes all but the latest lines.
fn keep_last(lines: &mut Vec<Line>) {
    lines.sort_by_key(Line::time_ms);
    lines.drain(..lines.len().saturating_sub(MOST_EXPLAINING));
}

/// Decodes UTF-8; invalid bytes are replaced.
fn text(bytes: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}
