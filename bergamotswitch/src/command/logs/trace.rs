//! Provides what logs tell of one request, over all hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use serde_json::{Value, json};

use super::line::LogLine;
use super::reader::read_lines;
use crate::command::error::CommandError;

const HOST_STARTED: u64 = 100;
const REQUEST_ENDED: u64 = 206;

/// The most lines of one request that are kept. One has a handful; an id that
/// callers use again and again may have many.
const MAX_LINES: usize = 10_000;

/// A `InternalId` is what hosts call a request among themselves: the run of
/// the host that accepted it, and a number.
type InternalId = String;

/// A `IdSearch` finds the names of the requests with a caller's id.
#[derive(Debug, Default)]
struct IdSearch {
    /// Each host's run at this point of the logs.
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

/// Get whether a line is about one of the named requests, or has the caller's
/// id itself.
fn concerns_request(line: &LogLine, id: &str, ids: &BTreeSet<InternalId>) -> bool {
    let mut texts = line.fields.values();
    texts.any(|text| text == id || ids.iter().any(|internal_id| contains_id(text, internal_id)))
}

/// Get whether a text holds a name that is not the beginning of a longer one.
fn contains_id(text: &str, internal_id: &str) -> bool {
    let mut found = text.match_indices(internal_id);
    found.any(|(at, _)| {
        let next = text[at + internal_id.len()..].chars().next();
        next.is_none_or(|next| !next.is_ascii_alphanumeric())
    })
}

/// Get the lines about a request in the order of their times, and whether there
/// are any.
///
/// # Errors
///
/// Returns [`CommandError::Read`] where a file cannot be read.
pub(super) fn trace(
    id: &str,
    files: &[PathBuf],
    json: bool,
) -> Result<(String, bool), CommandError> {
    // The line that ties the id to the hosts' name for it comes last.
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
        _ => text + &format!(", {omitted} more left out\n"),
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
