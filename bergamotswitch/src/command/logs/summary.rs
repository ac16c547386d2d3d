//! Provides `logs summary`: request outcomes by reason, tier, target and other
//! keys, with the time that targets spent on them.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::{Value, json};

use super::line::LogLine;
use super::outcome::{OutcomeTable, RequestOutcome};
use super::reader::{ReadCount, read_lines};
use super::share_table::ShareTable;
use crate::command::error::CommandError;
use crate::command::table::TextTable;

/// The number of the `request ended` event.
const REQUEST_ENDED: u64 = 206;

/// A `LogSummary` holds the outcome tables of all requests in the logs.
#[derive(Debug, Default)]
struct LogSummary {
    all: OutcomeTable,
    reasons: OutcomeTable,
    tiers: OutcomeTable,
    routes: OutcomeTable,
    accounts: OutcomeTable,
    targets: OutcomeTable,
    seconds: OutcomeTable,
    shares: ShareTable,
    /// The waiting times of requests that were never dispatched, by reason.
    waits: BTreeMap<String, WaitCount>,
    /// The number of lines of each event, by event number and text.
    events: BTreeMap<(u64, String), u64>,
}

/// A `WaitCount` is the number of requests that ended without being dispatched,
/// by whether they had waited.
#[derive(Clone, Copy, Debug, Default)]
struct WaitCount {
    immediate: u64,
    waited: u64,
    waited_ms: u64,
}

/// The milliseconds within which a refusal counts as immediate. The limit allows
/// for a round trip to another host.
const IMMEDIATE_MS: u64 = 20;

impl LogSummary {
    fn add(&mut self, line: &LogLine) {
        let event = (line.event, line.text.clone());
        *self.events.entry(event).or_default() += 1;
        if line.event != REQUEST_ENDED {
            return;
        }
        let outcome = RequestOutcome::of(line);
        let waited = line.number("waited_ms").unwrap_or(0);
        let took = line.number("took_ms").unwrap_or(0);
        let slot_ms = match outcome {
            RequestOutcome::Untried => 0,
            _ => took.saturating_sub(waited),
        };
        let reason = match line.field("reason") {
            "" => line.field("outcome"),
            reason => reason,
        };
        self.all.add("all", outcome, slot_ms);
        self.reasons.add(reason, outcome, slot_ms);
        self.tiers.add(line.field("tier"), outcome, slot_ms);
        self.routes.add(line.field("route"), outcome, slot_ms);
        self.accounts.add(line.field("account"), outcome, slot_ms);
        self.seconds.add(line.second(), outcome, slot_ms);
        self.shares.add(line, outcome);
        // The slot time is attributed to the last target; earlier attempts have
        // released their slots.
        if let Some(target) = line.field("targets").rsplit(',').next()
            && !target.is_empty()
        {
            self.targets.add(target, outcome, slot_ms);
        }
        if outcome == RequestOutcome::Untried {
            self.add_wait(reason, took);
        }
    }

    fn add_wait(&mut self, reason: &str, took: u64) {
        let wait = self.waits.entry(reason.to_owned()).or_default();
        match took < IMMEDIATE_MS {
            true => wait.immediate += 1,
            false => {
                wait.waited += 1;
                wait.waited_ms += took;
            }
        }
    }

    fn tables(&self) -> [(&'static str, &OutcomeTable); 7] {
        [
            ("requests", &self.all),
            ("reason", &self.reasons),
            ("rank", &self.tiers),
            ("route", &self.routes),
            ("account", &self.accounts),
            ("target", &self.targets),
            ("second", &self.seconds),
        ]
    }

    fn wait_table(&self) -> TextTable {
        let mut table = TextTable::new(&["refused untried", "at once", "waited", "mean ms"]);
        for (reason, wait) in &self.waits {
            let mean = wait.waited_ms.checked_div(wait.waited);
            table.add(vec![
                reason.clone(),
                wait.immediate.to_string(),
                wait.waited.to_string(),
                mean.map_or("-".to_owned(), |mean| mean.to_string()),
            ]);
        }
        table
    }

    fn event_table(&self) -> TextTable {
        let mut table = TextTable::new(&["event", "lines", "text"]);
        for ((number, text), count) in &self.events {
            table.add(vec![number.to_string(), count.to_string(), text.clone()]);
        }
        table
    }

    fn text(&self, count: ReadCount) -> String {
        let mut text = String::new();
        for (name, table) in self.tables() {
            text += &table.text(name);
            text.push('\n');
        }
        text += &format!("{}\n", self.shares.text());
        text += &format!("{}\n{}\n", self.wait_table(), self.event_table());
        text + &format!(
            "{} events, {} unreadable lines\n",
            count.events, count.unreadable
        )
    }

    fn json(&self, count: ReadCount) -> Value {
        let tables = self.tables().into_iter();
        let mut found: serde_json::Map<String, Value> = tables
            .map(|(name, table)| (name.to_owned(), table.json()))
            .collect();
        let waits = self.waits.iter().map(|(reason, wait)| {
            let mean = wait.waited_ms.checked_div(wait.waited);
            let wait = json!({"at_once": wait.immediate, "waited": wait.waited, "mean_ms": mean});
            (reason.clone(), wait)
        });
        let events = self.events.iter();
        let events = events.map(|((number, _), count)| (number.to_string(), json!(count)));
        found.insert("refused_untried".into(), Value::Object(waits.collect()));
        found.insert("account_shares".into(), self.shares.json());
        found.insert("events".into(), Value::Object(events.collect()));
        found.insert("read".into(), json!(count.events));
        found.insert("unreadable".into(), json!(count.unreadable));
        Value::Object(found)
    }
}

/// Get the summary of all requests, and whether there were any.
///
/// # Errors
///
/// Returns [`CommandError::Read`] if a file cannot be read.
pub(super) fn summary(files: &[PathBuf], json: bool) -> Result<(String, bool), CommandError> {
    let mut summary = LogSummary::default();
    let count = read_lines(files, |line| summary.add(&line))?;
    let text = match json {
        true => format!("{:#}\n", summary.json(count)),
        false => summary.text(count),
    };
    Ok((text, !summary.all.is_empty()))
}
