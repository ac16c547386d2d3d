//! Provides tables that count request outcomes by key, such as target or second.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::line::LogLine;
use crate::command::table::TextTable;

/// The maximum number of keys in a table, enough for each second of a day.
/// Further keys are counted under [`OTHER_KEYS`].
const MAX_KEYS: usize = 100_000;
const OTHER_KEYS: &str = "others";

/// A `RequestOutcome` is the class of a request's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestOutcome {
    /// The answer started within the latency goal, or the request has none.
    InTime,
    /// The answer started after the latency goal.
    Late,
    /// The target returned an error.
    TargetError,
    /// The request was dispatched to a target but not answered completely.
    Broken,
    /// The request ended without being dispatched to a target.
    Untried,
}

impl RequestOutcome {
    const ALL: [RequestOutcome; 5] = [
        RequestOutcome::InTime,
        RequestOutcome::Late,
        RequestOutcome::TargetError,
        RequestOutcome::Broken,
        RequestOutcome::Untried,
    ];

    /// Get the outcome of a request from its `request ended` event.
    pub(super) fn of(line: &LogLine) -> Self {
        let dispatched = !line.field("targets").is_empty();
        match line.field("outcome") {
            "answered" => match (line.number("first_ms"), line.number("aim_ms")) {
                (Some(first), Some(goal)) if first > goal => RequestOutcome::Late,
                _ => RequestOutcome::InTime,
            },
            "target-error" => RequestOutcome::TargetError,
            _ if dispatched => RequestOutcome::Broken,
            _ => RequestOutcome::Untried,
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            RequestOutcome::InTime => "in time",
            RequestOutcome::Late => "late",
            RequestOutcome::TargetError => "target error",
            RequestOutcome::Broken => "broken",
            RequestOutcome::Untried => "untried",
        }
    }
}

/// An `OutcomeCount` is the number of requests and their slot time, by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCount {
    counts: [u64; RequestOutcome::ALL.len()],
    /// The milliseconds that the requests occupied a slot on a target.
    slot_ms: [u64; RequestOutcome::ALL.len()],
}

impl OutcomeCount {
    fn add(&mut self, outcome: RequestOutcome, slot_ms: u64) {
        self.counts[outcome as usize] += 1;
        self.slot_ms[outcome as usize] += slot_ms;
    }

    fn cells(&self) -> Vec<String> {
        let counts = self.counts.iter().map(u64::to_string);
        let slot_times = self.slot_ms.iter().take(RequestOutcome::Untried as usize);
        let slot_times = slot_times.map(|millis| format_seconds(*millis));
        counts.chain(slot_times).collect()
    }

    fn json(&self) -> Value {
        let pairs = RequestOutcome::ALL.iter().map(|outcome| {
            let at = *outcome as usize;
            let cost = json!({"requests": self.counts[at], "place_ms": self.slot_ms[at]});
            (outcome.as_str().to_owned(), cost)
        });
        Value::Object(pairs.collect())
    }
}

fn format_seconds(millis: u64) -> String {
    format!("{:.1}", millis as f64 / 1_000.0)
}

/// An `OutcomeTable` holds the outcome counts of requests, by key.
#[derive(Debug, Default)]
pub(super) struct OutcomeTable(BTreeMap<String, OutcomeCount>);

impl OutcomeTable {
    /// Count a request under a key, with the milliseconds that it occupied a
    /// slot on a target.
    pub(super) fn add(&mut self, key: &str, outcome: RequestOutcome, slot_ms: u64) {
        let known = self.0.len() < MAX_KEYS || self.0.contains_key(key);
        let key = if known { key } else { OTHER_KEYS };
        match self.0.get_mut(key) {
            Some(count) => count.add(outcome, slot_ms),
            None => {
                let mut count = OutcomeCount::default();
                count.add(outcome, slot_ms);
                self.0.insert(key.to_owned(), count);
            }
        }
    }

    /// Format the table as text, with `name` as the header of the key column.
    pub(super) fn text(&self, name: &str) -> String {
        let mut head = vec![name];
        head.extend(RequestOutcome::ALL.iter().map(|outcome| outcome.as_str()));
        head.extend(["in time s", "late s", "error s", "broken s"]);
        let mut table = TextTable::new(&head);
        for (key, count) in &self.0 {
            let mut row = vec![key.clone()];
            row.extend(count.cells());
            table.add(row);
        }
        table.to_string()
    }

    /// Get whether no request was counted.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Convert the table to JSON.
    pub(super) fn json(&self) -> Value {
        let pairs = self
            .0
            .iter()
            .map(|(key, count)| (key.clone(), count.json()));
        Value::Object(pairs.collect())
    }
}
