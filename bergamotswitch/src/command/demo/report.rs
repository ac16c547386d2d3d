//! Provides the reports that the demo prints.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::calls::{CallOutcome, DemoCall};
use super::counters::FleetCounters;
use crate::command::table::TextTable;

/// The number of spaces before each line of a table.
const INDENT: usize = 2;

/// The prefixes of the metrics that the demo prints for each host.
const SHOWN_METRICS: [&str; 5] = [
    "bergamot_refusals",
    "bergamot_retries",
    "bergamot_wasted",
    "bergamot_goodput",
    // The incidents about requests have the numbers 2xx.
    "bergamot_incidents_total{number=\"2",
];

/// A `WorkReport` holds the outcomes of the calls of one kind of work.
#[derive(Debug, Default)]
struct WorkReport {
    sent: usize,
    answered: usize,
    refused: BTreeMap<String, usize>,
    slowest: Duration,
}

/// A `WorkRow` is the key of a report row, ordered by tier, then kind of work.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorkRow {
    tier: u8,
    work: &'static str,
}

/// A `DemoReport` holds the outcomes of the demo's regular calls.
#[derive(Debug, Default)]
pub(super) struct DemoReport {
    rows: BTreeMap<WorkRow, WorkReport>,
}

impl DemoReport {
    pub(super) fn add(&mut self, call: &DemoCall, outcome: CallOutcome) {
        let row = WorkRow {
            tier: call.tier,
            work: call.work,
        };
        let report = self.rows.entry(row).or_default();
        report.sent += 1;
        report.slowest = report.slowest.max(outcome.elapsed);
        if outcome.complete {
            report.answered += 1;
            return;
        }
        let reason = reason(&outcome);
        *report.refused.entry(reason).or_default() += 1;
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = ["tier", "work", "sent", "answered", "slowest ms", "refused"];
        let mut table = TextTable::new(&head).with_indent(INDENT);
        for (row, report) in &self.rows {
            table.add(vec![
                row.tier.to_string(),
                row.work.to_owned(),
                report.sent.to_string(),
                report.answered.to_string(),
                report.slowest.as_millis().to_string(),
                format_counts(&report.refused),
            ]);
        }
        write!(f, "{table}")
    }
}

/// A `ScenarioReport` holds the outcomes of the failure scenarios.
#[derive(Debug)]
pub(super) struct ScenarioReport {
    table: TextTable,
}

impl Default for ScenarioReport {
    fn default() -> Self {
        let head = [
            "tier", "provoked", "sent", "answered", "retried", "resumed", "attached", "refused",
        ];
        ScenarioReport {
            table: TextTable::new(&head).with_indent(INDENT),
        }
    }
}

impl ScenarioReport {
    /// Add the outcomes of one scenario and the change of the hosts' counters
    /// during it.
    pub(super) fn add(
        &mut self,
        title: &str,
        tier: Option<u8>,
        outcomes: &[CallOutcome],
        change: FleetCounters,
    ) {
        let answered = outcomes.iter().filter(|outcome| outcome.complete).count();
        let mut refused = BTreeMap::new();
        for outcome in outcomes.iter().filter(|outcome| !outcome.complete) {
            *refused.entry(reason(outcome)).or_default() += 1;
        }
        self.table.add(vec![
            tier.map_or_else(|| "-".to_owned(), |tier| tier.to_string()),
            title.to_owned(),
            outcomes.len().to_string(),
            answered.to_string(),
            change.retried.to_string(),
            change.resumed.to_string(),
            change.attached.to_string(),
            format_counts(&refused),
        ]);
    }
}

impl fmt::Display for ScenarioReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.table)
    }
}

/// Format the status and the reason code of a call that was not answered.
fn reason(outcome: &CallOutcome) -> String {
    let status = outcome.status.as_u16();
    match &outcome.refusal {
        Some(code) => format!("{status} {code}"),
        None => format!("{status}"),
    }
}

fn format_counts(reasons: &BTreeMap<String, usize>) -> String {
    let reasons: Vec<String> = reasons
        .iter()
        .map(|(reason, count)| format!("{reason} x{count}"))
        .collect();
    reasons.join(", ")
}

/// Print a host's nonzero metrics that match [`SHOWN_METRICS`].
pub(super) fn print_counters(page: &str, host: SocketAddr) {
    println!("  counters of {host}");
    for line in page.lines() {
        let shown = SHOWN_METRICS.iter().any(|name| line.starts_with(name));
        if shown && !line.ends_with(" 0") {
            println!("    {line}");
        }
    }
}
