//! Provides the parser for a line of a host's structured log.

use std::collections::BTreeMap;

use serde_json::Value;

/// The length of a timestamp truncated to seconds.
const SECOND_LENGTH: usize = "2026-01-31 23:59:59".len();

/// A `LogLine` is a log event of a host.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LogLine {
    /// The host's name: from the event, else from the line's prefix, else from
    /// the file name.
    pub(super) host: String,
    /// The timestamp, in a form that sorts chronologically as text.
    pub(super) timestamp: String,
    /// The number of the event.
    pub(super) event: u64,
    /// The text of the event.
    pub(super) text: String,
    /// The key-value fields of the event.
    pub(super) fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Try to parse a line; `None` if it is not an event. A log collector may
    /// prefix the line; the last word of the prefix is taken as the host's name.
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

    /// Get the text of a field, empty if the field is absent.
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Get a field as a number; `None` if it is absent or not a number.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }

    /// Get the timestamp truncated to seconds.
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
