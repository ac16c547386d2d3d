//! Provides what entry hosts have recently reported of one target.

use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostName;

/// How long a report counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// A `HostReport` is the latest report of one host.
#[derive(Clone, Debug)]
struct HostReport {
    host: HostName,
    at: Moment,
}

/// A `HostReports` is the recent reports of different hosts about one target. A failure
/// that one host alone meets may lie between that host and the target.
#[derive(Clone, Debug, Default)]
pub(in crate::pool_owner) struct HostReports {
    /// The latest success, and the latest one of another host.
    successes: [Option<HostReport>; 2],
    /// The latest failure since the last success, and the latest one of another host.
    failures: [Option<HostReport>; 2],
}

impl HostReports {
    /// Record that a host finished a run.
    pub(in crate::pool_owner) fn record_success(&mut self, now: Moment, host: &HostName) {
        record(&mut self.successes, now, host);
        self.failures = [None, None];
    }

    /// Record that a host met a failure. Get whether it shows that the target failed:
    /// no other host has recently finished a run there, or another one met a failure too.
    pub(in crate::pool_owner) fn record_failure(&mut self, now: Moment, host: &HostName) -> bool {
        record(&mut self.failures, now, host);
        !has_other(&self.successes, now, host) || has_other(&self.failures, now, host)
    }
}

fn record(reports: &mut [Option<HostReport>; 2], now: Moment, host: &HostName) {
    let [latest, other] = reports;
    if latest.as_ref().is_some_and(|latest| latest.host != *host) {
        *other = latest.take();
    }
    *latest = Some(HostReport {
        host: host.clone(),
        at: now,
    });
}

/// Get whether a report of another host still counts.
fn has_other(reports: &[Option<HostReport>; 2], now: Moment, host: &HostName) -> bool {
    let mut reports = reports.iter().flatten();
    reports.any(|report| report.host != *host && now.since(report.at) < REPORT_LIFETIME)
}
