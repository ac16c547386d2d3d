//! Provides the handling of momentary paces that targets name in their answers.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::RunningAttempt;
use crate::entry::request_table::RequestRecord;
use crate::incident::Incident;
use crate::permit::{OwnerMessage, TargetPace};
use crate::target::NamedPace;

impl EntryDispatcher {
    /// Report the pace that a target named to the owner of the shard, if that is of use
    /// there.
    pub(super) fn pace_named(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
        pace: NamedPace,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(slow_moment) = self.options.slow_moment else {
            return;
        };
        let target = &running.permit.target;
        let NamedPace::Pace(pace) = pace else {
            if self.paces.record_malformed(now) {
                let incident = Incident::PaceMalformed;
                actions.push(EntryAction::LogTargetNotice(incident, target.clone()));
            }
            return;
        };
        let owner = self.owners.get(&record.shard);
        let owner = owner.unwrap_or(&running.granted_by);
        let is_remote = *owner != self.identity.host;
        let limits = (is_remote, slow_moment);
        if self.paces.record(now, target, pace, owner, limits) {
            let message = OwnerMessage::TargetPaces {
                shard: record.shard.clone(),
                targets: vec![TargetPace {
                    target: target.clone(),
                    pace,
                    age_ms: 0,
                }],
            };
            actions.push(EntryAction::Send(owner.clone(), message));
        }
    }

    /// Drop the paces of targets that are no longer published.
    pub(super) fn prune_paces(&mut self) {
        let pools = &self.pools;
        self.paces.retain(|target| pools.has_target(target));
    }
}
