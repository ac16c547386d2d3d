//! Provides what logs tell of one request, over all hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use serde_json::{Value, json};

use super::line::LogLine;
use super::reader::read_all;
use crate::command::error::CommandError;

const HOST_STARTED: u64 = 100;
const REQUEST_ENDED: u64 = 206;

/// The most lines of one request that are kept. One has a handful; an id that
/// callers use again and again may have many.
const MAX_LINES: usize = 10_000;

/// A `RequestName` is what hosts call a request among themselves: the run of
/// the host that accepted it, and a number.
type RequestName = String;

/// A `NameSearch` finds the names of the requests with a caller's id.
#[derive(Debug, Default)]
struct NameSearch {
    /// Each host's run at this point of the logs.
    runs: BTreeMap<String, String>,
    names: BTreeSet<RequestName>,
}

impl NameSearch {
    fn take(&mut self, id: &str, line: &LogLine) {
        if line.event == HOST_STARTED
            && let Some((_, run)) = line.field("about").split_once('~')
        {
            self.runs.insert(line.host.clone(), run.to_owned());
        }
        if line.event != REQUEST_ENDED || line.field("request") != id {
            return;
        }
        let number = line.field("number");
        if let Some(run) = self.runs.get(&line.host)
            && !number.is_empty()
            && self.names.len() < MAX_LINES
        {
            self.names.insert(format!("{run}-{number}"));
        }
    }
}

/// Get whether a line is about one of the named requests, or has the caller's
/// id itself.
fn is_about(line: &LogLine, id: &str, names: &BTreeSet<RequestName>) -> bool {
    let mut texts = line.fields.values();
    texts.any(|text| text == id || names.iter().any(|name| holds_name(text, name)))
}

/// Get whether a text holds a name that is not the beginning of a longer one.
fn holds_name(text: &str, name: &str) -> bool {
    let mut found = text.match_indices(name);
    found.any(|(at, _)| {
        let next = text[at + name.len()..].chars().next();
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
    let mut search = NameSearch::default();
    read_all(files, |line| search.take(id, &line))?;
    let mut lines = Vec::new();
    let mut left_out = 0_u64;
    let count = read_all(files, |line| {
        if !is_about(&line, id, &search.names) {
            return;
        }
        match lines.len() < MAX_LINES {
            true => lines.push(line),
            false => left_out += 1,
        }
    })?;
    lines.sort_by(|a: &LogLine, b| a.at.cmp(&b.at));
    let found = !lines.is_empty();
    let text = match json {
        true => format!("{:#}\n", json_of(&lines, count.unreadable, left_out)),
        false => text_of(&lines, count.unreadable, left_out),
    };
    Ok((text, found))
}

fn text_of(lines: &[LogLine], unreadable: u64, left_out: u64) -> String {
    let mut text = String::new();
    for line in lines {
        let pairs = line.fields.iter().filter(|(name, value)| {
            !value.is_empty() && name.as_str() != "event" && name.as_str() != "host"
        });
        let pairs: Vec<String> = pairs
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let (at, host, event) = (&line.at, &line.host, line.event);
        text += &format!("{at}  {host}  {event} {}: {}\n", line.text, pairs.join(" "));
    }
    text += &format!("{} lines, {unreadable} unreadable lines", lines.len());
    match left_out {
        0 => text + "\n",
        _ => text + &format!(", {left_out} more left out\n"),
    }
}

fn json_of(lines: &[LogLine], unreadable: u64, left_out: u64) -> Value {
    let lines: Vec<Value> = lines
        .iter()
        .map(|line| {
            json!({"at": line.at, "host": line.host, "event": line.event, "text": line.text,
                   "fields": line.fields})
        })
        .collect();
    json!({"lines": lines, "unreadable": unreadable, "left_out": left_out})
}
