//! Provides what keeps an owner from running a call twice that another owner of
//! the same shard knows: whether it may be sure to be the only one that knows
//! the keys.
//!
//! Two hosts may order one shard for some seconds: one was paused or cut off,
//! came back, or was suspected wrongly. For most work that overshoots a limit at
//! worst. A call of a plain service that must not run twice, and that its caller
//! sends to two hosts with the same key, would run under each of them, and one
//! would see two crews where one was called. So such calls wait until a
//! majority of the shard's candidates has followed this owner for a while: each
//! host follows one owner at a time, hence no second owner can have a majority.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::core::NodeCore;
use crate::clock::Moment;
use crate::host::HostName;
use crate::membership::KeyWitnesses;
use crate::permit::{Ask, OwnerMessage, OwnerReply};
use crate::pool::{PoolKind, PoolShard};
use crate::request::AttemptId;

/// How many heartbeats long the word of a host that it follows is relied on: two
/// questions may be lost or late on a busy machine.
const VALID_BEATS: u32 = 4;

/// How many heartbeats long a majority has to follow without a break: by then
/// the word that its hosts gave to an earlier owner is relied on no longer.
const SETTLE_BEATS: u32 = VALID_BEATS + 1;

/// How many heartbeats long a host is waited for that neither tells its keys nor
/// counts as unreachable: after ten the last stand-in has given way, and four
/// more are left for it to tell.
const EXCUSE_BEATS: u32 = 14;

/// A `HeldAsk` is an ask that waits for the owner to be sure.
#[derive(Debug)]
struct HeldAsk {
    host: HostName,
    ask: Ask,
    since: Moment,
}

/// A `KeyGuard` is what the owner of one shard knows of who follows it.
#[derive(Debug)]
pub(super) struct KeyGuard {
    began: Moment,
    /// The number of the last question, and when this owner asked it.
    round: u64,
    round_began: Option<Moment>,
    /// The hosts that follow, by the time of the question that they answered.
    followers: BTreeMap<HostName, Moment>,
    /// The hosts that have told their keys since this owner began.
    told: BTreeSet<HostName>,
    /// Since when a majority has followed without a break.
    whole_since: Option<Moment>,
    held: BTreeMap<AttemptId, HeldAsk>,
}

impl KeyGuard {
    fn new(now: Moment) -> Self {
        KeyGuard {
            began: now,
            round: 0,
            round_began: None,
            followers: BTreeMap::new(),
            told: BTreeSet::new(),
            whole_since: None,
            held: BTreeMap::new(),
        }
    }

    /// Begin anew, after a pause in which another host may have taken over.
    fn restart(&mut self, now: Moment) {
        let held = std::mem::take(&mut self.held);
        *self = KeyGuard {
            round: self.round,
            held,
            ..KeyGuard::new(now)
        };
    }

    /// Take note that a host follows, as it answered to a question.
    fn note_follower(&mut self, host: &HostName, round: u64) {
        if let Some(began) = self.round_began
            && round == self.round
        {
            self.followers.insert(host.clone(), began);
        }
    }

    /// Begin the next question, where it is due; get its number.
    fn next_round(&mut self, now: Moment, beat: Duration) -> Option<u64> {
        let is_due = self.round_began.is_none_or(|began| now >= began.plus(beat));
        if !is_due {
            return None;
        }
        self.round += 1;
        self.round_began = Some(now);
        Some(self.round)
    }

    /// Look at who follows now.
    fn review(&mut self, now: Moment, beat: Duration, me: &HostName, witnesses: &KeyWitnesses) {
        let valid = beat * VALID_BEATS;
        self.followers.retain(|_, at| now < at.plus(valid));
        let follows = |host: &&HostName| *host == me || self.followers.contains_key(*host);
        let following = witnesses.candidates.iter().filter(follows).count();
        let majority = following * 2 > witnesses.candidates.len();
        let excused = now >= self.began.plus(beat * EXCUSE_BEATS);
        let mut others = witnesses.awaited.iter().filter(|host| *host != me);
        let told = excused || others.all(|host| self.told.contains(host));
        match majority && told {
            true => {
                self.whole_since.get_or_insert(now);
            }
            false => self.whole_since = None,
        }
    }

    fn is_sure(&self, now: Moment, beat: Duration) -> bool {
        let settled = self
            .whole_since
            .map(|since| since.plus(beat * SETTLE_BEATS));
        settled.is_some_and(|settled| now >= settled)
    }

    /// Take out the asks that waited, as they would be sent now.
    fn release(&mut self, now: Moment) -> Vec<(HostName, Ask)> {
        let held = std::mem::take(&mut self.held);
        let fresh = held.into_values().filter_map(|held| held.aged(now));
        fresh.collect()
    }
}

impl HeldAsk {
    /// Get the ask with the time taken off that it has waited; `None` where its
    /// deadline has passed: its entry host has told its caller.
    fn aged(self, now: Moment) -> Option<(HostName, Ask)> {
        let waited = u32::try_from(now.since(self.since).as_millis()).unwrap_or(u32::MAX);
        let left = self.ask.deadline_ms.checked_sub(waited)?;
        let ask = Ask {
            deadline_ms: left,
            waited_ms: self.ask.waited_ms.saturating_add(waited),
            ..self.ask
        };
        Some((self.host, ask))
    }
}

/// A `KeyGuards` is the guards of the shards that this host owns.
#[derive(Debug, Default)]
pub(super) struct KeyGuards {
    guards: BTreeMap<PoolShard, KeyGuard>,
}

impl KeyGuards {
    /// Begin or end to guard a shard; get the hosts whose asks waited.
    pub(super) fn set_acting(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        act: bool,
    ) -> Vec<HostName> {
        let former = match act {
            true => self.guards.insert(shard.clone(), KeyGuard::new(now)),
            false => self.guards.remove(shard),
        };
        let held = former.map(|former| former.held).unwrap_or_default();
        held.into_values().map(|held| held.host).collect()
    }

    /// Begin all guards anew.
    pub(super) fn restart(&mut self, now: Moment) {
        for guard in self.guards.values_mut() {
            guard.restart(now);
        }
    }

    /// Take note of an owner's message; get it back where it goes on to the
    /// owner now.
    fn pass(
        &mut self,
        now: Moment,
        host: &HostName,
        message: OwnerMessage,
        beat: Duration,
    ) -> Option<OwnerMessage> {
        let Some(guard) = self.guards.get_mut(message.shard()) else {
            return Some(message);
        };
        match message {
            OwnerMessage::Ask(ask) if ask.claim.is_some() && !guard.is_sure(now, beat) => {
                let held = HeldAsk {
                    host: host.clone(),
                    since: now,
                    ask: *ask,
                };
                guard.held.insert(held.ask.attempt, held);
                return None;
            }
            OwnerMessage::OwnerConfirmed { round, .. } => {
                guard.note_follower(host, round);
                return None;
            }
            OwnerMessage::Withdraw { attempt, .. } => {
                guard.held.remove(&attempt);
            }
            OwnerMessage::Resync { .. } => {
                guard.told.insert(host.clone());
            }
            _ => {}
        }
        Some(message)
    }
}

impl NodeCore {
    /// Take in a message to the owner of a shard that this host orders.
    pub(super) fn guard_message(
        &mut self,
        now: Moment,
        host: &HostName,
        message: OwnerMessage,
    ) -> Option<OwnerMessage> {
        let guarded = matches!(&message, OwnerMessage::Ask(ask) if ask.claim.is_some())
            && self.is_guarded(message.shard());
        // A host that admits by its own fraction knows its own keys alone, as
        // does each other one that does so. The call waits for an owner; it is
        // asked for again, and refused truly as not run at its deadline.
        if guarded && self.shards.is_degraded_shard(message.shard()) {
            return None;
        }
        let beat = self.membership.heartbeat();
        self.key_guards.pass(now, host, message, beat)
    }

    /// Get whether a shard's keyed work waits for an owner that is sure. Calls
    /// of plain services do: an alert is out at once and cannot be taken back.
    /// A report that an engine generates goes on in each part of a parted fleet,
    /// and its key guards it inside the part. At the gateway no caller has keys.
    fn is_guarded(&self, shard: &PoolShard) -> bool {
        let pool = self.publication.pools.pool(&shard.pool);
        !self.publication.uses_routes && pool.is_some_and(|pool| pool.kind == PoolKind::Plain)
    }

    /// Begin or end to guard a shard that this host begins or ceases to order;
    /// get the hosts whose asks waited.
    pub(super) fn guard_acting(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        act: bool,
    ) -> Vec<HostName> {
        let guarded = act && self.is_guarded(shard);
        self.key_guards.set_acting(now, shard, guarded)
    }

    /// Ask the candidates who follows, where that is due, and let those asks go
    /// on whose owner is sure by now.
    pub(super) fn review_guards(&mut self, now: Moment) {
        let beat = self.membership.heartbeat();
        let shards: Vec<PoolShard> = self.key_guards.guards.keys().cloned().collect();
        for shard in shards {
            let witnesses = self.membership.key_witnesses(&shard);
            let Some(guard) = self.key_guards.guards.get_mut(&shard) else {
                continue;
            };
            guard.review(now, beat, &self.me.host, &witnesses);
            if let Some(round) = guard.next_round(now, beat) {
                self.ask_followers(now, &shard, round, witnesses);
            }
            self.release_held(now, &shard, beat);
        }
    }

    fn ask_followers(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        round: u64,
        witnesses: KeyWitnesses,
    ) {
        let me = self.me.host.clone();
        let asked = witnesses.candidates.into_iter().filter(|host| *host != me);
        for host in asked {
            let shard = shard.clone();
            self.send_reply(now, host, OwnerReply::ConfirmOwner { shard, round });
        }
    }

    fn release_held(&mut self, now: Moment, shard: &PoolShard, beat: Duration) {
        let guard = self.key_guards.guards.get_mut(shard);
        let Some(guard) = guard.filter(|guard| guard.is_sure(now, beat)) else {
            return;
        };
        for (host, ask) in guard.release(now) {
            self.on_owner_message(now, host, OwnerMessage::Ask(Box::new(ask)));
        }
    }
}
