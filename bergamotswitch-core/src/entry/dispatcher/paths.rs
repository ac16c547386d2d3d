//! Provides the choice of the path on which an attempt reaches its target.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::RunningAttempt;
use crate::entry::path_table::{DIRECT_TIMEOUT, TUNNEL_TIMEOUT};
use crate::entry::request_table::RequestRecord;
use crate::host::EntryHost;
use crate::permit::{ReleaseOutcome, Usage};
use crate::target_path::TargetPath;

impl EntryDispatcher {
    pub(super) fn set_tunnel_hosts(&mut self, hosts: &[EntryHost]) {
        let own = &self.identity.host;
        self.paths
            .set_hosts(own, self.options.domain.as_ref(), hosts);
    }

    /// Get the action that starts an attempt on the last of its paths.
    pub(super) fn start_action(&self, running: &RunningAttempt) -> EntryAction {
        let path = running.paths.last().unwrap_or(&TargetPath::Direct).clone();
        let connect_within = match &path {
            TargetPath::Tunnel(_) => Some(TUNNEL_TIMEOUT),
            TargetPath::Direct | TargetPath::Probe => {
                self.paths.has_tunnels().then_some(DIRECT_TIMEOUT)
            }
        };
        EntryAction::Start {
            attempt: running.permit.attempt,
            permit: running.permit.clone(),
            path,
            connect_within,
        }
    }

    /// Start an attempt that could not connect again on another path, under the same
    /// permit.
    ///
    /// # Errors
    ///
    /// Returns the request and the attempt if no path reaches the target, or if the
    /// host stops before the run would end.
    pub(super) fn try_next_path(
        &mut self,
        now: Moment,
        record: RequestRecord,
        mut running: RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) -> Result<(), Box<(RequestRecord, RunningAttempt)>> {
        let may_run = self.may_run(now, &record, running.state.run_claim());
        let path = match may_run && now < record.deadline {
            true => self.paths.choose_next(now, &running.paths),
            false => None,
        };
        let Some(path) = path else {
            return Err(Box::new((record, running)));
        };
        running.paths.push(path);
        actions.push(self.start_action(&running));
        self.put_back(record, running);
        Ok(())
    }

    /// Record that an attempt has connected to its target.
    pub(super) fn record_connected(
        &mut self,
        now: Moment,
        running: &RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let target = &running.permit.target;
        let started_at = running.started_at;
        let changes = self
            .paths
            .record_connected(now, target, started_at, &running.paths);
        actions.extend(changes.into_iter().map(EntryAction::LogPathChange));
    }

    /// Record that a target has answered an attempt.
    pub(super) fn record_path_answer(&mut self, running: &RunningAttempt) {
        if running.tunnel_host().is_none() {
            self.paths.record_answer(running.started_at);
        }
    }

    /// Get the outcome of an attempt that broke off. It says nothing about the target
    /// if this host has lost its path to it.
    pub(super) fn broken_outcome(&self, running: &RunningAttempt, usage: Usage) -> ReleaseOutcome {
        match self.is_path_lost(running) {
            true => ReleaseOutcome::Stopped(usage),
            false => ReleaseOutcome::Failed(usage),
        }
    }

    /// Get whether an attempt uses a direct path that counts as lost.
    pub(super) fn is_path_lost(&self, running: &RunningAttempt) -> bool {
        running.tunnel_host().is_none() && self.paths.is_lost(&running.permit.target)
    }
}
