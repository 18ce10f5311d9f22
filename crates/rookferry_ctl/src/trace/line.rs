//! One line of a log.

use std::collections::BTreeSet;

use rookferry_core::Selector;
use rookferry_wire::Labels;
use serde_json::Map;
use serde_json::Value;

/// Fields that stand at the start of a line of the timeline, or say nothing
/// beyond it.
const HEAD_FIELDS: [&str; 7] = ["ts", "instance", "event", "msg", "level", "request", "part"];
/// Events that change what an instance believes of its surroundings.
const SURROUNDINGS: [&str; 13] = [
    "config_adopted",
    "config_older",
    "dependency_lost",
    "dependency_regained",
    "lease_held",
    "lease_lost",
    "lines_dropped",
    "peer_lost",
    "servers_adopted",
    "stopping",
    "store_era_changed",
    "store_forgot",
    "store_watch_overdue",
];
/// Fields that name servers.
const SERVER_FIELDS: [&str; 4] = ["server", "addr", "path", "lost"];

/// A line of a log.
pub(super) struct Line {
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; whatever collects logs may have put something before the
    /// object. `None` if there is none.
    pub(super) fn read(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
            return None;
        };
        Some(Self { fields })
    }

    pub(super) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Milliseconds since midnight; enough to order the lines of one day.
    pub(super) fn time_ms(&self) -> Option<u64> {
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
    pub(super) fn servers(&self) -> impl Iterator<Item = &str> {
        let values = SERVER_FIELDS.iter().filter_map(|name| self.text(name));
        values
            .flat_map(|value| value.split(','))
            .map(|stage| stage.split('=').next().unwrap_or(stage))
    }

    /// Whether the line tells of servers, or of an instance's surroundings, and
    /// of no request.
    pub(super) fn explains(&self, servers: &BTreeSet<String>) -> bool {
        let is_about_servers = self.servers().any(|server| servers.contains(server));
        let is_about_surroundings = self
            .text("event")
            .is_some_and(|event| SURROUNDINGS.contains(&event));
        self.text("request").is_none() && (is_about_servers || is_about_surroundings)
    }

    /// Whether a selector matches the line's fields that are texts.
    pub(super) fn matches(&self, selector: &Selector) -> bool {
        let texts = self.fields.iter();
        let texts = texts.filter_map(|(name, value)| Some((name.clone(), value.as_str()?.into())));
        selector.matches(&texts.collect::<Labels>())
    }

    /// The line as the timeline shows it; `*` marks the request's own.
    pub(super) fn describe(&self) -> String {
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
