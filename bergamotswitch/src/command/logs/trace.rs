//! Provides `logs trace`: all log lines about one request, from all hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use serde_json::{Value, json};

use super::line::LogLine;
use super::reader::read_lines;
use crate::command::error::CommandError;

/// The number of the `host started` event.
const HOST_STARTED: u64 = 100;
/// The number of the `request ended` event.
const REQUEST_ENDED: u64 = 206;

/// The maximum number of lines held in memory, since callers may reuse an id
/// for many requests.
const MAX_LINES: usize = 10_000;

/// An `InternalId` is the id under which hosts know a request: the incarnation
/// of the host that accepted it, and a sequence number.
type InternalId = String;

/// An `IdSearch` collects the internal ids of all requests with a given
/// caller-supplied id.
#[derive(Debug, Default)]
struct IdSearch {
    /// The current incarnation of each host at this point of the logs.
    incarnations: BTreeMap<String, String>,
    ids: BTreeSet<InternalId>,
}

impl IdSearch {
    fn add(&mut self, id: &str, line: &LogLine) {
        if line.event == HOST_STARTED
            && let Some((_, incarnation)) = line.field("about").split_once('~')
        {
            self.incarnations
                .insert(line.host.clone(), incarnation.to_owned());
        }
        if line.event != REQUEST_ENDED || line.field("request") != id {
            return;
        }
        let number = line.field("number");
        if let Some(incarnation) = self.incarnations.get(&line.host)
            && !number.is_empty()
            && self.ids.len() < MAX_LINES
        {
            self.ids.insert(format!("{incarnation}-{number}"));
        }
    }
}

/// Get whether a line contains one of the internal ids, or has the
/// caller-supplied id as a field.
fn concerns_request(line: &LogLine, id: &str, ids: &BTreeSet<InternalId>) -> bool {
    let mut texts = line.fields.values();
    texts.any(|text| text == id || ids.iter().any(|internal_id| contains_id(text, internal_id)))
}

/// Get whether a text contains an internal id that is not a prefix of a longer
/// one.
fn contains_id(text: &str, internal_id: &str) -> bool {
    let mut found = text.match_indices(internal_id);
    found.any(|(at, _)| {
        let next = text[at + internal_id.len()..].chars().next();
        next.is_none_or(|next| !next.is_ascii_alphanumeric())
    })
}

/// Get the lines about a request in chronological order, and whether there are
/// any.
///
/// # Errors
///
/// Returns [`CommandError::Read`] if a file cannot be read.
pub(super) fn trace(
    id: &str,
    files: &[PathBuf],
    json: bool,
) -> Result<(String, bool), CommandError> {
    // The line that maps the caller's id to the internal id is the last line
    // about a request, so the logs are read twice.
    let mut search = IdSearch::default();
    read_lines(files, |line| search.add(id, &line))?;
    let mut lines = Vec::new();
    let mut omitted = 0_u64;
    let count = read_lines(files, |line| {
        if !concerns_request(&line, id, &search.ids) {
            return;
        }
        match lines.len() < MAX_LINES {
            true => lines.push(line),
            false => omitted += 1,
        }
    })?;
    lines.sort_by(|a: &LogLine, b| a.timestamp.cmp(&b.timestamp));
    let found = !lines.is_empty();
    let text = match json {
        true => format!("{:#}\n", format_json(&lines, count.unreadable, omitted)),
        false => format_text(&lines, count.unreadable, omitted),
    };
    Ok((text, found))
}

fn format_text(lines: &[LogLine], unreadable: u64, omitted: u64) -> String {
    let mut text = String::new();
    for line in lines {
        let pairs = line.fields.iter().filter(|(name, value)| {
            !value.is_empty() && name.as_str() != "event" && name.as_str() != "host"
        });
        let pairs: Vec<String> = pairs
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let (at, host, event) = (&line.timestamp, &line.host, line.event);
        text += &format!("{at}  {host}  {event} {}: {}\n", line.text, pairs.join(" "));
    }
    text += &format!("{} lines, {unreadable} unreadable lines", lines.len());
    match omitted {
        0 => text + "\n",
        _ => text + &format!(", {omitted} more lines omitted\n"),
    }
}

fn format_json(lines: &[LogLine], unreadable: u64, omitted: u64) -> Value {
    let lines: Vec<Value> = lines
        .iter()
        .map(|line| {
            json!({"at": line.timestamp, "host": line.host, "event": line.event, "text": line.text,
                   "fields": line.fields})
        })
        .collect();
    json!({"lines": lines, "unreadable": unreadable, "left_out": omitted})
}
