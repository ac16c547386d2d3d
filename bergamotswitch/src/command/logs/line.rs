//! Provides one line of a host's structured log.

use std::collections::BTreeMap;

use serde_json::Value;

/// The length of a time stamp up to its second.
const SECOND_LENGTH: usize = "2026-01-31 23:59:59".len();

/// A `LogLine` is an event that a host logged.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LogLine {
    /// The host, as far as the line or its file tells.
    pub(super) host: String,
    /// The time, in a form whose order as text is the order in time.
    pub(super) timestamp: String,
    /// The event's number.
    pub(super) event: u64,
    /// The event's text.
    pub(super) text: String,
    /// What the event is about.
    pub(super) fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Try to read a line; `None` where it is no event. What collects logs may
    /// put the host's name before the line: the last word there counts.
    pub(super) fn parse(bytes: &[u8], file_host: &str) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let (prefix, body) = text.split_at(text.find('{')?);
        let found: Value = serde_json::from_str(body.trim_end()).ok()?;
        let pairs = found.get("kv")?.as_object()?;
        let event = pairs.get("event")?.as_u64()?;
        let fields: BTreeMap<String, String> = pairs
            .iter()
            .map(|(name, value)| (name.clone(), plain_text(value)))
            .collect();
        let named = fields.get("host").map(String::as_str);
        let prefixed = prefix.split_whitespace().next_back();
        Some(LogLine {
            host: named.or(prefixed).unwrap_or(file_host).to_owned(),
            timestamp: found.get("timestamp")?.as_str()?.to_owned(),
            event,
            text: found.get("text").map(plain_text).unwrap_or_default(),
            fields,
        })
    }

    /// Get a field's text, empty where it is absent.
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Get a field's number.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }

    /// Get the second in which it was written.
    pub(super) fn second(&self) -> &str {
        self.timestamp
            .get(..SECOND_LENGTH)
            .unwrap_or(&self.timestamp)
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
