//! Provides what became of requests, counted under keys.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::line::LogLine;
use crate::command::table::TextTable;

/// The most keys of one table, such as seconds or targets; what comes beyond is
/// counted under one key more. A day has 86,400 seconds.
const MAX_KEYS: usize = 100_000;
const OTHER_KEYS: &str = "others";

/// A `RequestOutcome` is what became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestOutcome {
    /// Answered within its aim, or where none is told.
    InTime,
    /// Answered after its aim.
    Late,
    /// Its target answered with an error.
    TargetError,
    /// Ended without a whole answer after it had reached a target.
    Broken,
    /// Ended without having reached a target.
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

    /// Get the fate of a request by the line about its end.
    pub(super) fn of(line: &LogLine) -> Self {
        let dispatched = !line.field("targets").is_empty();
        match line.field("outcome") {
            "answered" => match (line.number("first_ms"), line.number("aim_ms")) {
                (Some(first), Some(aim)) if first > aim => RequestOutcome::Late,
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

/// A `OutcomeCount` is requests by fate, and what they cost.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCount {
    counts: [u64; RequestOutcome::ALL.len()],
    /// The milliseconds of targets' places by fate.
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

/// A `OutcomeTable` is requests by fate under some keys.
#[derive(Debug, Default)]
pub(super) struct OutcomeTable(BTreeMap<String, OutcomeCount>);

impl OutcomeTable {
    /// Count a request under a key, and the milliseconds that it held a place.
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

    /// Get the table as text, its keys under a head.
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

    /// Get whether nothing was counted.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Get the table as JSON.
    pub(super) fn json(&self) -> Value {
        let pairs = self
            .0
            .iter()
            .map(|(key, count)| (key.clone(), count.json()));
        Value::Object(pairs.collect())
    }
}
