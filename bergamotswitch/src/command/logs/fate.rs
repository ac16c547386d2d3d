//! Provides what became of requests, counted under keys.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::line::LogLine;
use crate::command::table::TextTable;

/// The most keys of one table, such as seconds or targets; what comes beyond is
/// counted under one key more. A day has 86,400 seconds.
const MAX_KEYS: usize = 100_000;
const OTHERS: &str = "others";

/// A `RequestFate` is what became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestFate {
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

impl RequestFate {
    const ALL: [RequestFate; 5] = [
        RequestFate::InTime,
        RequestFate::Late,
        RequestFate::TargetError,
        RequestFate::Broken,
        RequestFate::Untried,
    ];

    /// Get the fate of a request by the line about its end.
    pub(super) fn of(line: &LogLine) -> Self {
        let tried = !line.field("targets").is_empty();
        match line.field("outcome") {
            "answered" => match (line.number("first_ms"), line.number("aim_ms")) {
                (Some(first), Some(aim)) if first > aim => RequestFate::Late,
                _ => RequestFate::InTime,
            },
            "target-error" => RequestFate::TargetError,
            _ if tried => RequestFate::Broken,
            _ => RequestFate::Untried,
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            RequestFate::InTime => "in time",
            RequestFate::Late => "late",
            RequestFate::TargetError => "target error",
            RequestFate::Broken => "broken",
            RequestFate::Untried => "untried",
        }
    }
}

/// A `FateCount` is requests by fate, and what they cost.
#[derive(Clone, Copy, Debug, Default)]
struct FateCount {
    counts: [u64; RequestFate::ALL.len()],
    /// The milliseconds of targets' places by fate.
    place_ms: [u64; RequestFate::ALL.len()],
}

impl FateCount {
    fn add(&mut self, fate: RequestFate, place_ms: u64) {
        self.counts[fate as usize] += 1;
        self.place_ms[fate as usize] += place_ms;
    }

    fn cells(&self) -> Vec<String> {
        let counts = self.counts.iter().map(u64::to_string);
        let places = self.place_ms.iter().take(RequestFate::Untried as usize);
        let places = places.map(|millis| seconds_text(*millis));
        counts.chain(places).collect()
    }

    fn json(&self) -> Value {
        let pairs = RequestFate::ALL.iter().map(|fate| {
            let at = *fate as usize;
            let cost = json!({"requests": self.counts[at], "place_ms": self.place_ms[at]});
            (fate.as_str().to_owned(), cost)
        });
        Value::Object(pairs.collect())
    }
}

fn seconds_text(millis: u64) -> String {
    format!("{:.1}", millis as f64 / 1_000.0)
}

/// A `FateTable` is requests by fate under some keys.
#[derive(Debug, Default)]
pub(super) struct FateTable(BTreeMap<String, FateCount>);

impl FateTable {
    /// Count a request under a key, and the milliseconds that it held a place.
    pub(super) fn add(&mut self, key: &str, fate: RequestFate, place_ms: u64) {
        let known = self.0.len() < MAX_KEYS || self.0.contains_key(key);
        let key = if known { key } else { OTHERS };
        match self.0.get_mut(key) {
            Some(count) => count.add(fate, place_ms),
            None => {
                let mut count = FateCount::default();
                count.add(fate, place_ms);
                self.0.insert(key.to_owned(), count);
            }
        }
    }

    /// Get the table as text, its keys under a head.
    pub(super) fn text(&self, name: &str) -> String {
        let mut head = vec![name];
        head.extend(RequestFate::ALL.iter().map(|fate| fate.as_str()));
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
