//! Provides the carrying out of what one machine of a host wants of another
//! one or of the world.

use super::NodeAction;
use super::core::NodeCore;
use crate::clock::Moment;
use crate::entry::{AttemptEvent, EntryAction, EntryEvent, NotSentReason};
use crate::host::HostName;
use crate::incident::Incident;
use crate::link::LinkMessage;
use crate::membership::MembershipAction;
use crate::permit::{OwnerReply, Permit};
use crate::pool::PoolShard;
use crate::pool_owner::{OwnerAction, OwnerEvent};
use crate::request::AttemptId;

impl NodeCore {
    pub(super) fn do_entry(&mut self, now: Moment, action: EntryAction) {
        match action {
            EntryAction::Send(host, message) if host == self.me.host => {
                self.on_owner_message(now, host, message);
            }
            EntryAction::Send(host, message) => self.send_to_owner(&host, message),
            EntryAction::Start { attempt, permit } => self.start_attempt(now, attempt, &permit),
            EntryAction::Abort { attempt, cancel } => {
                self.actions.push(NodeAction::Abort { attempt, cancel });
            }
            EntryAction::Conclude(id, conclusion) => {
                self.actions.push(NodeAction::Conclude(id, conclusion));
            }
            EntryAction::Forget(id) => self.actions.push(NodeAction::Forget(id)),
            EntryAction::Forward(id, holder) => self.actions.push(NodeAction::Forward(id, holder)),
            EntryAction::Note(incident, id) => {
                let text = format!("request={id}");
                self.actions.push(NodeAction::Note(incident, text));
            }
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

    fn start_attempt(&mut self, now: Moment, attempt: AttemptId, permit: &Permit) {
        match self.publication.pools.target_with_pool(&permit.target) {
            Some(placed) => self.actions.push(NodeAction::Start {
                attempt,
                target: Box::new(placed.target.clone()),
                kind: placed.pool.kind,
            }),
            // The owner has a newer or older list of targets than this host:
            // nothing was sent, the request waits on.
            None => {
                let event = AttemptEvent::NotSent(NotSentReason::TargetGone);
                self.tell_desk(now, EntryEvent::Attempt(attempt, event));
            }
        }
    }

    pub(super) fn do_owner(&mut self, now: Moment, action: OwnerAction) {
        match action {
            OwnerAction::Reply(host, reply) => {
                self.count_degraded(&reply);
                self.send_reply(now, host, reply);
            }
            OwnerAction::Note(incident, shard, target) => {
                let target = target.map_or(String::new(), |target| format!(" target={target}"));
                let text = format!("shard={shard}{target}");
                self.actions.push(NodeAction::Note(incident, text));
            }
        }
    }

    pub(super) fn do_membership(&mut self, now: Moment, action: MembershipAction) {
        match action {
            MembershipAction::Connect(host) => self.actions.push(NodeAction::Connect(host)),
            // The link may still spread published values.
            MembershipAction::Disconnect(host) if self.book.wants_link(&host) => {}
            MembershipAction::Disconnect(host) => self.actions.push(NodeAction::Disconnect(host)),
            MembershipAction::Send(host, beat) => {
                let message = LinkMessage::Heartbeat(beat);
                self.actions.push(NodeAction::Send(host, message));
            }
            MembershipAction::OwnerIs(shard, owner) => self.on_owner(now, shard, owner),
            MembershipAction::Act(shard, act) => self.on_act(now, shard, act),
            MembershipAction::HostGone(host, run) => {
                let actions = self
                    .shards
                    .on_all(now, |_| OwnerEvent::HostGone(host.clone(), run));
                self.queue_owner(actions);
                self.exposure.run_ended(now, &host);
            }
            MembershipAction::Note(incident, host) => {
                let text = format!("peer={host}");
                self.actions.push(NodeAction::Note(incident, text));
            }
        }
    }

    /// Tell an owner that is linked anew what this host holds, and ask again for
    /// what waits. To membership it is the same host, which announces no change,
    /// but what was sent over the former link may be lost, and a new run of it
    /// knows neither keys nor work. Without this, targets stand idle until the
    /// owner's audit of permits that were given back long ago, and a request
    /// sent again at another host could run twice after a quick restart.
    pub(super) fn retell_linked(&mut self, now: Moment, host: &HostName) {
        for shard in self.exposure.owned_by(host) {
            self.tell_desk(now, EntryEvent::OwnerIs(shard, host.clone()));
        }
    }

    /// Without a reachable candidate this host admits by itself, with its
    /// fraction of the capacity and the same order of tiers.
    fn on_owner(&mut self, now: Moment, shard: PoolShard, owner: Option<HostName>) {
        let degraded = owner.is_none();
        if degraded {
            let text = format!("shard={shard}");
            self.actions
                .push(NodeAction::Note(Incident::DegradedAdmission, text));
        }
        self.shards
            .set_degraded(now, &shard, degraded, &self.publication);
        let owner = owner.unwrap_or_else(|| self.me.host.clone());
        self.exposure.owner_is(now, &shard, &owner);
        self.tell_desk(now, EntryEvent::OwnerIs(shard, owner));
        self.watch_targets();
    }

    fn on_act(&mut self, now: Moment, shard: PoolShard, act: bool) {
        let incident = match act {
            true => Incident::OwnershipTaken,
            false => Incident::OwnershipReleased,
        };
        let text = format!("shard={shard}");
        self.actions.push(NodeAction::Note(incident, text));
        // Left to their re-ask interval, the requests that wait here would
        // stand still for seconds although another host may serve them.
        let mut asking = match act {
            true => Vec::new(),
            false => self.shards.asking_hosts(&shard),
        };
        asking.extend(self.guard_acting(now, &shard, act));
        if !act {
            self.hand_over(now, &shard, 1.0);
        }
        self.shards.set_acting(now, &shard, act, &self.publication);
        if act {
            self.take_in_reports(now, &shard);
        }
        if act && let Some(event) = self.succession(&shard) {
            let actions = self.shards.on_shard(now, &shard, event);
            self.queue_owner(actions);
        }
        if !act && self.stopping && self.membership.owner_of(&shard).is_none() {
            // That nobody else can own the shard was known before this host
            // ceased to, and is not told again. Without this its callers' work
            // would wait for permits until its deadline.
            self.on_owner(now, shard.clone(), None);
        }
        for host in asking {
            let shard = shard.clone();
            self.send_reply(now, host, OwnerReply::NotOwner { shard });
        }
        self.watch_targets();
    }

    /// Get how this host has followed another owner to its end: that one stops
    /// or is silent. A host that has just started knows of no owner, and may find
    /// one beside it.
    fn succession(&self, shard: &PoolShard) -> Option<OwnerEvent> {
        let former = self.exposure.last_owner(shard)?;
        if self.membership.is_stopping(former) {
            return Some(OwnerEvent::HandedOver);
        }
        let is_silent = self.membership.is_silent(former);
        is_silent.then_some(OwnerEvent::TakenOver)
    }

    pub(super) fn watch_targets(&mut self) {
        if let Some(targets) = self.shards.changed_watch(&self.publication) {
            self.actions.push(NodeAction::WatchTargets(targets));
        }
    }
}
