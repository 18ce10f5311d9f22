//! A request's way from the log lines of instances, without asking them.
//!
//! Lines that name the request come first to mind, but the cause is often in
//! one that doesn't: a server that was lost, a store that went away. So the
//! timeline also has the instances' lines about the servers on the request's
//! way, and about their own dependencies, from a while before it to its end.

use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;
use snafu::ResultExt;

use crate::error::CtlError;
use crate::error::FileSnafu;

/// Fields that stand at the start of a line of the timeline, or say nothing
/// beyond it.
const HEAD_FIELDS: [&str; 7] = ["ts", "instance", "event", "msg", "level", "request", "part"];
/// Events that change what an instance believes of its surroundings.
const SURROUNDINGS: [&str; 8] = [
    "config_adopted",
    "dependency_lost",
    "dependency_regained",
    "lease_held",
    "lease_lost",
    "lines_dropped",
    "peer_lost",
    "stopping",
];
/// Fields that name servers.
const SERVER_FIELDS: [&str; 4] = ["server", "addr", "path", "lost"];

/// A line of a log.
struct Line {
    fields: Map<String, Value>,
}

/// Prints a request's timeline out of log files; `-` is standard input.
pub(crate) fn show(files: &[PathBuf], request_id: &str, window_ms: u64) -> Result<(), CtlError> {
    let mut lines = Vec::new();
    for file in files {
        read_into(file, &mut lines)?;
    }
    let timeline = timeline(&lines, request_id, window_ms);
    if timeline.is_empty() {
        let explanation =
            format!("no line names {request_id}; give the logs of every instance that ran then");
        return Err(CtlError::NoRecord { explanation });
    }
    for line in timeline {
        println!("{}", line.describe());
    }
    Ok(())
}

fn read_into(file: &Path, lines: &mut Vec<Line>) -> Result<(), CtlError> {
    let reader: Box<dyn BufRead> = if file.as_os_str() == "-" {
        Box::new(BufReader::new(io::stdin()))
    } else {
        Box::new(BufReader::new(
            File::open(file).context(FileSnafu { path: file })?,
        ))
    };
    for text in reader.lines() {
        let text = text.context(FileSnafu { path: file })?;
        // Whatever collects logs may have put something before the object.
        let Some(start) = text.find('{') else {
            continue;
        };
        if let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) {
            lines.push(Line { fields });
        }
    }
    Ok(())
}

/// The request's lines and those that explain them, in order of time.
fn timeline<'a>(lines: &'a [Line], request_id: &str, window_ms: u64) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.text("request") == Some(request_id))
        .collect();
    let servers: BTreeSet<&str> = own.iter().flat_map(|line| line.servers()).collect();
    let instances: BTreeSet<&str> = own
        .iter()
        .filter_map(|line| line.text("instance"))
        .collect();
    let times = || own.iter().filter_map(|line| line.time_ms());
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let took = own.iter().filter_map(|line| line.number("took_ms"));
    let began = first.saturating_sub(took.max().unwrap_or(0) + window_ms);
    let explains = |line: &Line| {
        line.text("request").is_none()
            && line
                .time_ms()
                .is_some_and(|at| (began..=last).contains(&at))
            && line.explains(&servers, &instances)
    };
    let mut timeline: Vec<&Line> = lines.iter().filter(|line| explains(line)).collect();
    timeline.extend(own);
    timeline.sort_by_key(|line| line.time_ms());
    timeline
}

impl Line {
    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Milliseconds since midnight; enough to order the lines of one day.
    fn time_ms(&self) -> Option<u64> {
        let (_, time) = self.text("ts")?.split_once('T')?;
        let mut parts = time.trim_end_matches('Z').split(':');
        let hours: u64 = parts.next()?.parse().ok()?;
        let minutes: u64 = parts.next()?.parse().ok()?;
        let (seconds, fraction) = parts.next()?.split_once('.')?;
        let seconds: u64 = seconds.parse().ok()?;
        let millis: u64 = fraction.get(..3)?.parse().ok()?;
        Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
    }

    /// The servers that the line names; of a path, each of its stages.
    fn servers(&self) -> impl Iterator<Item = &str> {
        let values = SERVER_FIELDS.iter().filter_map(|name| self.text(name));
        values
            .flat_map(|value| value.split(','))
            .map(|stage| stage.split('=').next().unwrap_or(stage))
    }

    fn explains(&self, servers: &BTreeSet<&str>, instances: &BTreeSet<&str>) -> bool {
        let is_here = self
            .text("instance")
            .is_some_and(|name| instances.contains(name));
        let is_about_servers = self.servers().any(|server| servers.contains(server));
        let is_about_surroundings = self
            .text("event")
            .is_some_and(|event| SURROUNDINGS.contains(&event));
        is_here && (is_about_servers || is_about_surroundings)
    }

    fn describe(&self) -> String {
        let rest = self.fields.iter();
        let rest: Vec<String> = rest
            .filter(|(name, _)| !HEAD_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let head = |name| self.text(name).unwrap_or("-");
        let mark = if self.fields.contains_key("request") {
            "*"
        } else {
            " "
        };
        format!(
            "{mark} {} {} {}: {}; {}",
            head("ts"),
            head("instance"),
            head("event"),
            head("msg"),
            rest.join(", ")
        )
    }
}
