//! A parsed log line.

use std::collections::BTreeSet;

use rookferry_core::Selector;
use rookferry_wire::Labels;
use serde_json::Map;
use serde_json::Value;

/// Fields that are printed at the start of a timeline line, or that add nothing to it.
const PREFIX_FIELDS: [&str; 7] = ["ts", "instance", "event", "msg", "level", "request", "part"];
/// Events that change an instance's state or its view of its dependencies and peers.
const CONTEXT_EVENTS: [&str; 15] = [
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
    "store_call_failed",
    "store_forgot",
    "store_reader_changed",
    "store_watch_overdue",
];
/// Fields with server addresses.
const ADDRESS_FIELDS: [&str; 4] = ["server", "addr", "path", "lost"];

/// A log line: a JSON object.
pub(super) struct LogLine {
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. A log collector may have put a prefix before the object. `None`
    /// if the line has no JSON object.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
            return None;
        };
        Some(Self { fields })
    }

    pub(super) fn str_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    pub(super) fn u64_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Time in milliseconds since midnight, which orders the lines of one day.
    pub(super) fn time_ms(&self) -> Option<u64> {
        let (_, time) = self.str_field("ts")?.split_once('T')?;
        let mut parts = time.trim_end_matches('Z').split(':');
        let hours: u64 = parts.next()?.parse().ok()?;
        let minutes: u64 = parts.next()?.parse().ok()?;
        let (seconds, fraction) = parts.next()?.split_once('.')?;
        let seconds: u64 = seconds.parse().ok()?;
        let millis: u64 = fraction.get(..3)?.parse().ok()?;
        Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
    }

    /// Addresses of the servers that the line names, including each stage of a path.
    pub(super) fn servers(&self) -> impl Iterator<Item = &str> {
        let values = ADDRESS_FIELDS
            .iter()
            .filter_map(|name| self.str_field(name));
        values
            .flat_map(|value| value.split(','))
            .map(|stage| stage.split('=').next().unwrap_or(stage))
    }

    /// Whether the line belongs to no request, and names one of `servers` or has an event
    /// of `CONTEXT_EVENTS`.
    pub(super) fn is_context(&self, servers: &BTreeSet<String>) -> bool {
        let names_server = self.servers().any(|server| servers.contains(server));
        let is_context_event = self
            .str_field("event")
            .is_some_and(|event| CONTEXT_EVENTS.contains(&event));
        self.str_field("request").is_none() && (names_server || is_context_event)
    }

    /// Whether a selector matches the line's string fields.
    pub(super) fn matches(&self, selector: &Selector) -> bool {
        let texts = self.fields.iter();
        let texts = texts.filter_map(|(name, value)| Some((name.clone(), value.as_str()?.into())));
        selector.matches(&texts.collect::<Labels>())
    }

    /// Formats the line for the timeline; `*` marks the request's own lines.
    pub(super) fn format_entry(&self) -> String {
        let rest = self.fields.iter();
        let rest: Vec<String> = rest
            .filter(|(name, _)| !PREFIX_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let head = |name| self.str_field(name).unwrap_or("-");
        let marker = if self.fields.contains_key("request") {
            "*"
        } else {
            " "
        };
        format!(
            "{marker} {} {} {}: {}; {}",
            head("ts"),
            head("instance"),
            head("event"),
            head("msg"),
            rest.join(", ")
        )
    }
}
