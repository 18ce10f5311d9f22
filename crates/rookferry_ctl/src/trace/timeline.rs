//! Selects and orders the log lines of a request's timeline.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use memchr::memmem::Finder;
use rookferry_core::Selector;

use super::log_line::LogLine;
use super::logs::Logs;
use crate::error::CtlError;
use crate::output;

/// Maximum number of context lines, which bounds memory; the latest of the window are
/// shown. Readers need far fewer.
const MAX_CONTEXT_LINES: usize = 20_000;

/// Selection of the log lines of one request.
pub(crate) struct Timeline<'a> {
    request_id: &'a str,
    window_ms: u64,
    selector: &'a Selector,
}

/// Where the request's lines indicate that its context is.
struct TraceContext {
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
        let mut lines = self.request_lines(&logs)?;
        let Some(context) = self.context(&lines) else {
            let explanation = format!(
                "no line names {}; include the logs of all instances that ran at the time",
                self.request_id
            );
            return Err(CtlError::NoRecord { explanation });
        };
        lines.extend(self.context_lines(&logs, &context)?);
        lines.sort_by_key(LogLine::time_ms);
        output::print_lines(lines.iter().map(LogLine::format_entry))
    }

    fn request_lines(&self, logs: &Logs) -> Result<Vec<LogLine>, CtlError> {
        let id = Finder::new(self.request_id);
        let mut lines = Vec::new();
        logs.for_each_line(|bytes| {
            if id.find(bytes).is_none() {
                return;
            }
            let line = LogLine::parse(&decode(bytes));
            lines.extend(line.filter(|line| line.str_field("request") == Some(self.request_id)));
        })?;
        Ok(lines)
    }

    fn context(&self, request_lines: &[LogLine]) -> Option<TraceContext> {
        let times = || request_lines.iter().filter_map(LogLine::time_ms);
        let (first_ms, last_ms) = (times().min()?, times().max()?);
        let durations_ms = request_lines
            .iter()
            .filter_map(|line| line.u64_field("took_ms"));
        let before_ms = durations_ms.max().unwrap_or(0) + self.window_ms;
        let servers = request_lines.iter().flat_map(LogLine::servers);
        let instances = request_lines
            .iter()
            .filter_map(|line| line.str_field("instance"));
        Some(TraceContext {
            servers: servers.map(str::to_owned).collect(),
            instances: instances.map(str::to_owned).collect(),
            times_ms: first_ms.saturating_sub(before_ms)..=last_ms,
        })
    }

    /// Context lines from the request's instances, at most `MAX_CONTEXT_LINES`.
    fn context_lines(&self, logs: &Logs, context: &TraceContext) -> Result<Vec<LogLine>, CtlError> {
        let instance_finders: Vec<Finder<'_>> = context.instances.iter().map(Finder::new).collect();
        let mut lines = Vec::new();
        logs.for_each_line(|bytes| {
            if instance_finders
                .iter()
                .all(|finder| finder.find(bytes).is_none())
            {
                return;
            }
            let line = LogLine::parse(&decode(bytes));
            lines.extend(line.filter(|line| self.is_context(line, context)));
            if lines.len() >= 2 * MAX_CONTEXT_LINES {
                truncate_to_latest(&mut lines);
            }
        })?;
        if lines.len() > MAX_CONTEXT_LINES {
            truncate_to_latest(&mut lines);
            eprintln!(
                "rookferryctl: only the last {MAX_CONTEXT_LINES} context lines are shown; \
                 give a shorter --window-ms or a --select"
            );
        }
        Ok(lines)
    }

    fn is_context(&self, line: &LogLine, context: &TraceContext) -> bool {
        let is_from_instance = line
            .str_field("instance")
            .is_some_and(|name| context.instances.contains(name));
        let is_in_window = line
            .time_ms()
            .is_some_and(|time_ms| context.times_ms.contains(&time_ms));
        is_from_instance
            && is_in_window
            && line.is_context(&context.servers)
            && line.matches(self.selector)
    }
}

/// Removes all but the latest lines.
fn truncate_to_latest(lines: &mut Vec<LogLine>) {
    lines.sort_by_key(LogLine::time_ms);
    lines.drain(..lines.len().saturating_sub(MAX_CONTEXT_LINES));
}

/// Decodes UTF-8; invalid bytes are replaced.
fn decode(bytes: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}
