//! Provides the exchange of reports on crashing calls with other hosts.
//!
//! Each host reports what it sees to the owners of the shards that it uses. An owner
//! passes on to all connected hosts what concerns them, so that a call that crashed
//! targets from several hosts is refused by all.

use std::collections::BTreeSet;
use std::time::Duration;

use super::NodeAction;
use super::core::NodeCore;
use crate::clock::Moment;
use crate::host::HostName;
use crate::link::LinkMessage;
use crate::quarantine::CrashReport;

/// The interval at which an owner sends reports.
const OWNER_INTERVAL: Duration = Duration::from_millis(250);

impl NodeCore {
    /// Send the reports that changed since the last call. An owner collects those of all
    /// hosts for a while, as it sends each to all of them.
    pub(super) fn share_crash_reports(&mut self, now: Moment) {
        if now < self.crash_reports_at {
            return;
        }
        let pending = self.entry.take_crash_reports(now);
        if pending.is_empty() {
            return;
        }
        let reports = pending.iter().map(|pending| pending.report.clone());
        let reports: Vec<CrashReport> = reports.collect();
        let owners: BTreeSet<HostName> = self.entry.owner_hosts().cloned().collect();
        for owner in &owners {
            self.send_crashes(owner, reports.clone());
        }
        if self.membership.acting_shards().is_empty() {
            return;
        }
        self.crash_reports_at = now.plus(OWNER_INTERVAL);
        let for_all = pending.into_iter().filter(|pending| pending.is_for_all);
        let for_all: Vec<CrashReport> = for_all.map(|pending| pending.report).collect();
        let others: Vec<HostName> = self
            .membership
            .connected_hosts()
            .filter(|host| !owners.contains(*host))
            .cloned()
            .collect();
        for host in others {
            self.send_crashes(&host, for_all.clone());
        }
    }

    /// Send all reports to a newly connected host, which may have just started or
    /// may own a shard from now on.
    pub(super) fn send_crash_reports(&mut self, now: Moment, host: &HostName) {
        let reports = self.entry.crash_reports(now);
        self.send_crashes(host, reports);
    }

    fn send_crashes(&mut self, host: &HostName, reports: Vec<CrashReport>) {
        if reports.is_empty() || *host == self.identity.host {
            return;
        }
        let message = LinkMessage::Crashes(reports);
        self.actions.push(NodeAction::Send(host.clone(), message));
    }
}
