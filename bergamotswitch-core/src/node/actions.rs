//! Provides the execution of the actions returned by a host's state machines: each is
//! either passed to another state machine of the same host or turned into a
//! [`NodeAction`].

use std::time::Duration;

use super::NodeAction;
use super::core::NodeCore;
use crate::clock::Moment;
use crate::entry::{AttemptEvent, EntryAction, EntryEvent, NotSentReason, PathChange};
use crate::host::HostName;
use crate::incident::Incident;
use crate::link::LinkMessage;
use crate::membership::MembershipAction;
use crate::permit::{OwnerReply, Permit};
use crate::pool::PoolShard;
use crate::pool_owner::size_ends::SizeView;
use crate::pool_owner::{OwnerAction, OwnerEvent};
use crate::request::AttemptId;
use crate::target::{NamedLimit, TargetName, TargetVersion};
use crate::target_path::TargetPath;

impl NodeCore {
    pub(super) fn perform_entry_action(&mut self, now: Moment, action: EntryAction) {
        match action {
            EntryAction::Send(host, message) if host == self.identity.host => {
                self.on_owner_message(now, host, message);
            }
            EntryAction::Send(host, message) => self.send_to_owner(&host, message),
            EntryAction::Start {
                attempt,
                permit,
                path,
                connect_within,
            } => self.start_attempt(now, attempt, &permit, (path, connect_within)),
            EntryAction::Abort { attempt, cancel } => {
                self.actions.push(NodeAction::Abort { attempt, cancel });
            }
            EntryAction::Conclude(id, conclusion) => {
                self.actions.push(NodeAction::Conclude(id, conclusion));
            }
            EntryAction::DropAnswer(id) => self.actions.push(NodeAction::DropAnswer(id)),
            EntryAction::Forward(id, holder) => self.actions.push(NodeAction::Forward(id, holder)),
            EntryAction::LogIncident(incident, id) => {
                let text = format!("request={id}");
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            EntryAction::LogStream(incident, id, version) => {
                let version = version.as_ref().map_or("unknown", TargetVersion::as_str);
                let text = format!("request={id} version={version}");
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            EntryAction::LogCrashes(incident, change) => {
                let text = format!(
                    "signature={} parts={} targets={}",
                    joined(&change.suspects),
                    joined(&change.parts),
                    joined(&change.targets),
                );
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            EntryAction::LogTargetLimit(target, limit) => self.log_limit(&target, limit),
            EntryAction::LogBrittle(target, refusals) => {
                let (incident, text) = match refusals {
                    Some(refusals) => (
                        Incident::TargetBrittle,
                        format!("target={target} refusals_per_second={refusals}"),
                    ),
                    None => (Incident::TargetSturdy, format!("target={target}")),
                };
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            EntryAction::LogRest(target, rest) => {
                let text = format!("target={target} rest_ms={}", rest.as_millis());
                let incident = Incident::TargetResting;
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            EntryAction::LogTargetNotice(incident, target) => {
                let text = format!("target={target}");
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            EntryAction::LogPathChange(change) => self.log_path_change(&change),
            EntryAction::CountRefusal(tier, reason) => {
                self.actions.push(NodeAction::CountRefusal(tier, reason));
            }
            EntryAction::CountWait(tier, span) => {
                self.actions.push(NodeAction::CountWait(tier, span));
            }
            EntryAction::CountRetry(reason) => self.actions.push(NodeAction::CountRetry(reason)),
            EntryAction::CountWaste(tier, cause, tokens) => {
                self.actions
                    .push(NodeAction::CountWaste(tier, cause, tokens));
            }
            EntryAction::CountEnd {
                tier,
                good,
                first_token,
            } => self.actions.push(NodeAction::CountEnd {
                tier,
                good,
                first_token,
            }),
            EntryAction::Stopped => self.actions.push(NodeAction::Stopped),
        }
    }

    fn log_limit(&mut self, target: &TargetName, limit: Option<NamedLimit>) {
        let (incident, text) = match limit {
            Some(NamedLimit::Rate(rate)) => (
                Incident::TargetLimited,
                format!("target={target} per_second={rate}"),
            ),
            Some(NamedLimit::Unreadable) => (
                Incident::TargetLimited,
                format!("target={target} per_second=unreadable"),
            ),
            None => (Incident::TargetUnlimited, format!("target={target}")),
        };
        self.actions.push(NodeAction::LogIncident(incident, text));
    }

    fn log_path_change(&mut self, change: &PathChange) {
        let (incident, text) = match change {
            PathChange::Lost(target, host) => {
                (Incident::PathLost, format!("target={target} tunnel={host}"))
            }
            PathChange::Regained(target) => (Incident::PathRegained, format!("target={target}")),
            PathChange::AllLost(host) => (Incident::AllPathsLost, format!("tunnel={host}")),
            PathChange::AllRegained => (Incident::AllPathsRegained, String::new()),
        };
        self.actions.push(NodeAction::LogIncident(incident, text));
    }

    fn start_attempt(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        permit: &Permit,
        (path, connect_within): (TargetPath, Option<Duration>),
    ) {
        match self.publication.pools.target_with_pool(&permit.target) {
            Some(entry) => self.actions.push(NodeAction::Start {
                attempt,
                target: Box::new(entry.target.clone()),
                kind: entry.pool.kind,
                path,
                connect_within,
            }),
            // The owner and this host may use different revisions of the target list.
            // Nothing was sent, so the request keeps waiting.
            None => {
                let event = AttemptEvent::NotSent(NotSentReason::TargetUnavailable);
                self.notify_entry(now, EntryEvent::Attempt(attempt, event));
            }
        }
    }

    pub(super) fn perform_owner_action(&mut self, now: Moment, action: OwnerAction) {
        match action {
            OwnerAction::Reply(host, reply) => {
                self.count_degraded(&reply);
                self.send_reply(now, host, reply);
            }
            OwnerAction::ReadCaches(shard, targets) => {
                let text = format!("shard={shard} targets={}", targets.len());
                let incident = Incident::CachesRead;
                self.actions.push(NodeAction::LogIncident(incident, text));
                self.actions.push(NodeAction::ReadCaches(targets));
            }
            OwnerAction::LogIncident(incident, shard, target, report) => {
                let target = target.map_or(String::new(), |target| format!(" target={target}"));
                let report = report.map_or(String::new(), |report| {
                    format!(" reported_by={} met={}", report.host, report.outcome)
                });
                let text = format!("shard={shard}{target}{report}");
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            OwnerAction::LogShare(shard, share) => {
                let text = format!(
                    "shard={shard} tier={} account={} share_ms={} used_ms={} weight={}",
                    share.tier.0, share.account, share.share_ms, share.used_ms, share.weight
                );
                let incident = Incident::AccountAboveShare;
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            OwnerAction::LogSize(shard, view) => {
                let text = format!("shard={shard} {}", size_text(&view));
                let incident = Incident::RequestSizes;
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
        }
    }

    pub(super) fn perform_membership_action(&mut self, now: Moment, action: MembershipAction) {
        match action {
            MembershipAction::Connect(host) => self.actions.push(NodeAction::Connect(host)),
            // Keep a link that the distribution of published values still needs.
            MembershipAction::Disconnect(host) if self.revisions.wants_link(&host) => {}
            MembershipAction::Disconnect(host) => self.actions.push(NodeAction::Disconnect(host)),
            MembershipAction::Send(host, heartbeat) => {
                let message = LinkMessage::Heartbeat(heartbeat);
                self.actions.push(NodeAction::Send(host, message));
            }
            MembershipAction::SendOwnership(host, terms) => {
                let message = LinkMessage::Ownership(terms);
                self.actions.push(NodeAction::Send(host, message));
            }
            MembershipAction::HeardAgain(host) => self.await_report(&host),
            MembershipAction::Contested(shard) => {
                self.key_guards.reset_shard(&shard);
                self.reports_changed.insert(shard);
            }
            MembershipAction::OwnerChanged(shard, owner) => self.on_owner_change(now, shard, owner),
            MembershipAction::Act(shard, act) => self.on_acting_change(now, shard, act),
            MembershipAction::HostTerminated(host, incarnation) => {
                let actions = self.shards.notify_all(now, |_| {
                    OwnerEvent::HostTerminated(host.clone(), incarnation)
                });
                self.queue_owner(actions);
                self.exposure.record_termination(now, &host);
            }
            MembershipAction::LogIncident(incident, host) => {
                let text = format!("peer={host}");
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            MembershipAction::LogContest(host, shard) => {
                let text = format!("peer={host} shard={shard}");
                let incident = Incident::OwnershipContested;
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            MembershipAction::LogDenial(host, shard) => {
                let text = format!("peer={host} shard={shard}");
                let incident = Incident::OwnershipDenied;
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
        }
    }

    /// Resend this host's permits, keys and pending permit requests to an owner whose
    /// link was re-established.
    ///
    /// Messages sent over the previous link may be lost, and a restarted owner has no
    /// state. Membership reports no change when the same host reconnects. Without the
    /// resend, slots of released permits would stay occupied until the owner's next
    /// permit audit, and a request resubmitted at another host could run twice after a
    /// quick restart of the owner.
    pub(super) fn resync_linked(&mut self, now: Moment, host: &HostName) {
        for shard in self.exposure.owned_by(host) {
            self.notify_entry(now, EntryEvent::OwnerChanged(shard, host.clone()));
        }
    }

    /// Apply a change of a shard's owner. If no candidate is reachable, this host
    /// admits requests itself, in degraded mode: with its fraction of the capacity and
    /// the same tier order.
    fn on_owner_change(&mut self, now: Moment, shard: PoolShard, owner: Option<HostName>) {
        let degraded = owner.is_none();
        if degraded {
            let text = format!("shard={shard}");
            self.actions
                .push(NodeAction::LogIncident(Incident::DegradedAdmission, text));
        }
        self.shards
            .set_degraded(now, &shard, degraded, &self.publication);
        let owner = owner.unwrap_or_else(|| self.identity.host.clone());
        if owner != self.identity.host {
            self.pass_kept_keys(now, &shard, &owner);
        }
        self.exposure.record_owner(now, &shard, &owner);
        self.notify_entry(now, EntryEvent::OwnerChanged(shard, owner));
        self.watch_targets();
    }

    fn on_acting_change(&mut self, now: Moment, shard: PoolShard, act: bool) {
        let incident = match act {
            true => Incident::OwnershipTaken,
            false => Incident::OwnershipReleased,
        };
        let text = format!("shard={shard}");
        self.actions.push(NodeAction::LogIncident(incident, text));
        // Notify the hosts with queued permit requests, so that they send them to the
        // next owner at once rather than after their retry interval of some seconds.
        let mut waiting = match act {
            true => Vec::new(),
            false => self.shards.waiting_hosts(&shard),
        };
        waiting.extend(self.update_guard(&shard, act));
        if !act {
            self.hand_over(now, &shard, 1.0);
        }
        self.shards.set_acting(now, &shard, act, &self.publication);
        if act {
            self.apply_failure_reports(now, &shard);
            let own_name = self.identity.host.clone();
            self.pass_kept_keys(now, &shard, &own_name);
            self.reports_changed.insert(shard.clone());
        }
        if act && let Some(event) = self.takeover_event(&shard) {
            if event == OwnerEvent::HandedOver {
                self.shards.record_handover(now, &shard);
            }
            self.review_silent_hosts(now);
            let actions = self.shards.notify_shard(now, &shard, event);
            self.queue_owner(actions);
        }
        if !act && self.stopping && self.membership.owner_of(&shard).is_none() {
            // Membership already reported that the shard has no other owner and does
            // not report it again. Fall back to degraded admission now, or pending
            // requests would wait for permits until their deadline.
            self.on_owner_change(now, shard.clone(), None);
        }
        for host in waiting {
            let shard = shard.clone();
            self.send_reply(now, host, OwnerReply::NotOwner { shard });
        }
        self.watch_targets();
    }

    /// Get the event for the takeover of a shard from an owner that is stopping or
    /// unreachable. `None` if this host knows no previous owner, as after its own
    /// start, or if that owner may still be active.
    fn takeover_event(&self, shard: &PoolShard) -> Option<OwnerEvent> {
        let former = self.exposure.last_owner(shard)?;
        if self.membership.is_stopping(former) {
            return Some(OwnerEvent::HandedOver);
        }
        let is_silent = self.membership.is_unreachable(former);
        is_silent.then_some(OwnerEvent::FailedOver)
    }

    pub(super) fn watch_targets(&mut self) {
        if let Some(targets) = self.shards.updated_watch_list(&self.publication) {
            self.actions.push(NodeAction::WatchTargets(targets));
        }
    }
}

fn joined<T: ToString>(items: &[T]) -> String {
    let texts: Vec<String> = items.iter().map(T::to_string).collect();
    texts.join(",")
}

/// Get the log text about the requests of one size.
fn size_text(view: &SizeView) -> String {
    let ends = &view.ends;
    format!(
        "tier={} output_from={} refused_at_once={} refused_later={} withdrawn={} granted={} \
         finished={} unfinished={} expected_output={} output={} mean_ms={} expected_ms={} \
         run_ms={} unfinished_ms={}",
        view.tier.0,
        view.size.least_output(),
        ends.refused_at_once,
        ends.refused_later,
        ends.withdrawn,
        ends.granted,
        ends.finished,
        ends.unfinished,
        ends.expected_output,
        ends.output,
        ends.mean_ms,
        ends.expected_ms,
        ends.run_ms,
        ends.unfinished_ms,
    )
}
