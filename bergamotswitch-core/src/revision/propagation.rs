//! Provides the propagation of values between hosts.
//!
//! Each change is sent at once to the hosts that poll this one. Relays and
//! other readers usually have it already, so only its revision is announced to
//! them, with a delay, and they request the change if they lack it. A change
//! thus travels each link downstream, and only its mark upstream.

use std::time::Duration;

use super::replica::{CatchUp, RevisionReplica};
use super::{PublishedValue, Revision, RevisionAction, RevisionMark, RevisionMessage, ValueName};
use crate::clock::Moment;
use crate::host::HostName;

/// The time for a change to arrive by regular propagation before it is
/// requested.
const PROPAGATION_DELAY: Duration = Duration::from_millis(100);
/// The time to wait for an answer before the next peer is asked.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(500);
/// The largest value that is sent without a request. A larger one is fetched
/// from one peer; otherwise several relays would each send it.
const MAX_UNREQUESTED_LEN: usize = 8 * 1024;

impl RevisionReplica {
    pub(super) fn handle_message(
        &mut self,
        now: Moment,
        host: HostName,
        message: RevisionMessage,
        actions: &mut Vec<RevisionAction>,
    ) {
        match self.peers.get_mut(&host) {
            Some(peer) => peer.heard_at = Some(now),
            None => return,
        }
        match message {
            RevisionMessage::Marks(marks) => self.handle_marks(now, host, marks, actions),
            RevisionMessage::Change {
                name,
                from,
                to,
                checksum,
                patch,
            } => {
                self.record_revision(now, &host, &name, to);
                let body = match self.values.get(&name) {
                    Some(replica) if replica.seen() < to => replica.apply(from, &patch, checksum),
                    _ => return,
                };
                match body {
                    Some(body) => {
                        let value = PublishedValue {
                            name: name.clone(),
                            revision: to,
                            body,
                        };
                        let change = RevisionMessage::Change {
                            name,
                            from,
                            to,
                            checksum,
                            patch,
                        };
                        self.accept_change(now, value, Some((from, change)), actions);
                    }
                    // A gap in the revisions, or a different text under the
                    // same revision. The complete value resolves both.
                    None => self.request_whole(now, host, name, actions),
                }
            }
            RevisionMessage::Want(name) => self.send_whole(now, &host, &name, actions),
            RevisionMessage::QueryConfirmation { name, queried_at } => {
                self.answer_confirmation_query(now, host, name, queried_at, actions);
            }
            RevisionMessage::Confirmed {
                name,
                queried_at,
                revision,
                age_ms,
            } => {
                self.record_revision(now, &host, &name, revision);
                self.handle_confirmation(&name, queried_at, revision, age_ms);
            }
            RevisionMessage::Whole(value) => {
                self.record_revision(now, &host, &value.name, value.revision);
                self.accept_value(now, value, actions);
            }
        }
    }

    /// Accept a value from the service or a peer, if its revision is higher
    /// than the one held.
    pub(super) fn accept_value(
        &mut self,
        now: Moment,
        value: PublishedValue,
        actions: &mut Vec<RevisionAction>,
    ) {
        self.accept_change(now, value, None, actions);
    }

    /// Accept a value with the change that it results from, by the revision from which
    /// that leads. Peers get the same change: to compute it again takes longer than to
    /// apply it.
    fn accept_change(
        &mut self,
        now: Moment,
        value: PublishedValue,
        change: Option<(Revision, RevisionMessage)>,
        actions: &mut Vec<RevisionAction>,
    ) {
        let name = value.name.clone();
        let replica = match self.values.get_mut(&name) {
            Some(replica) => replica,
            None => return,
        };
        if !replica.take(value.clone(), self.opts.kept_bases) {
            return;
        }
        if let Some((from, change)) = change {
            replica.keep_change(from, change);
        }
        actions.push(RevisionAction::Validate(value));
        let (best, seen) = (self.best_known(&name), self.seen(&name));
        match self.catch_ups.get_mut(&name) {
            Some(_) if best <= seen => {
                self.catch_ups.remove(&name);
            }
            // The missing revision arrived; the lag is counted from now for the
            // next one.
            Some(plan) if plan.lacks <= seen => {
                plan.lacks = best;
                plan.since = now;
            }
            Some(_) | None => {}
        }
        self.announce_at = self.announce_at.min(now.plus(PROPAGATION_DELAY));
        let subscribers: Vec<HostName> = self
            .peers
            .iter()
            .filter(|(host, peer)| peer.subscribed_until > now && !self.links.contains_key(*host))
            .map(|(host, _)| host.clone())
            .collect();
        for host in subscribers {
            self.push(now, &host, &name, actions);
        }
    }

    pub(super) fn seen(&self, name: &ValueName) -> Revision {
        match self.values.get(name) {
            Some(replica) => replica.seen(),
            None => Revision::default(),
        }
    }

    fn best_known(&self, name: &ValueName) -> Revision {
        let known = self.peers.values().filter_map(|peer| peer.known(name));
        known.max().unwrap_or_default()
    }

    fn record_revision(
        &mut self,
        now: Moment,
        host: &HostName,
        name: &ValueName,
        revision: Revision,
    ) {
        if !self.values.contains_key(name) {
            return;
        }
        let mark = RevisionMark {
            name: name.clone(),
            revision,
        };
        if let Some(peer) = self.peers.get_mut(host) {
            peer.record_mark(now, &mark);
        }
    }

    fn marks(&self) -> Vec<RevisionMark> {
        self.values
            .iter()
            .map(|(name, replica)| RevisionMark {
                name: name.clone(),
                revision: replica.seen(),
            })
            .collect()
    }

    fn handle_marks(
        &mut self,
        now: Moment,
        host: HostName,
        marks: Vec<RevisionMark>,
        actions: &mut Vec<RevisionAction>,
    ) {
        self.peer_confirmed = true;
        let is_poll = !marks.is_empty();
        for mark in marks {
            if !self.values.contains_key(&mark.name) {
                continue;
            }
            self.record_revision(now, &host, &mark.name, mark.revision);
            if mark.revision > self.seen(&mark.name) {
                let plan = CatchUp {
                    at: now.plus(PROPAGATION_DELAY),
                    tries: 0,
                    lacks: mark.revision,
                    since: now,
                };
                self.catch_ups.entry(mark.name).or_insert(plan);
            } else {
                self.push(now, &host, &mark.name, actions);
            }
        }
        if is_poll && !self.links.contains_key(&host) {
            self.answer(now, host, actions);
        }
    }

    /// Answer the poll of a peer. An answer without marks is not answered
    /// again, which would loop forever.
    fn answer(&mut self, now: Moment, host: HostName, actions: &mut Vec<RevisionAction>) {
        let all = self.marks();
        let peer = match self.peers.get_mut(&host) {
            Some(peer) => peer,
            None => return,
        };
        peer.subscribed_until = now.plus(self.opts.silent_after);
        let marks = match peer.sent_all {
            true => Vec::new(),
            false => all,
        };
        peer.sent_all = true;
        actions.push(RevisionAction::Send(host, RevisionMessage::Marks(marks)));
    }

    /// Send a peer that is behind the missing change in its shortest form.
    fn push(
        &mut self,
        now: Moment,
        host: &HostName,
        name: &ValueName,
        actions: &mut Vec<RevisionAction>,
    ) {
        let (replica, peer) = match (self.values.get_mut(name), self.peers.get_mut(host)) {
            (Some(replica), Some(peer)) => (replica, peer),
            _ => return,
        };
        let seen = replica.seen();
        let known = match peer.known(name) {
            Some(known) if known < seen => known,
            _ => return,
        };
        let change = replica.change_from(known);
        let value = match replica.value() {
            Some(value) => value,
            None => return,
        };
        let message = match change {
            Some(change) => change,
            None if value.body.len() <= MAX_UNREQUESTED_LEN => {
                RevisionMessage::Whole(value.clone())
            }
            None => {
                peer.announce(name, seen);
                let mark = RevisionMark {
                    name: name.clone(),
                    revision: seen,
                };
                let message = RevisionMessage::Marks(vec![mark]);
                actions.push(RevisionAction::Send(host.clone(), message));
                return;
            }
        };
        peer.record_sent(now, name, seen);
        actions.push(RevisionAction::Send(host.clone(), message));
    }

    fn request_whole(
        &mut self,
        now: Moment,
        host: HostName,
        name: ValueName,
        actions: &mut Vec<RevisionAction>,
    ) {
        let at = now.plus(CATCH_UP_INTERVAL);
        let pending = self.catch_ups.get(&name);
        // Several relays send the same change across the same gap; one complete
        // value is enough.
        if pending.is_some_and(|plan| plan.tries > 0 && now < plan.at) {
            return;
        }
        let plan = CatchUp {
            at,
            tries: 1,
            lacks: pending.map_or_else(|| self.best_known(&name), |plan| plan.lacks),
            since: pending.map_or(now, |plan| plan.since),
        };
        self.catch_ups.insert(name.clone(), plan);
        actions.push(RevisionAction::Send(host, RevisionMessage::Want(name)));
    }

    fn send_whole(
        &mut self,
        now: Moment,
        host: &HostName,
        name: &ValueName,
        actions: &mut Vec<RevisionAction>,
    ) {
        let value = match self.values.get(name).and_then(|replica| replica.value()) {
            Some(value) => value.clone(),
            None => return,
        };
        if let Some(peer) = self.peers.get_mut(host) {
            peer.record_sent(now, name, value.revision);
        }
        let message = RevisionMessage::Whole(value);
        actions.push(RevisionAction::Send(host.clone(), message));
    }

    /// Poll the relays: first with the marks of all values, then with one mark
    /// at a time.
    pub(super) fn poll_relays(&mut self, now: Moment, actions: &mut Vec<RevisionAction>) {
        let marks = self.marks();
        for host in self.links.keys() {
            let peer = match self.peers.get_mut(host) {
                Some(peer) if peer.poll_at <= now => peer,
                _ => continue,
            };
            peer.poll_at = now.plus(self.opts.keepalive);
            // Messages to a silent peer may have been lost, so the marks of all
            // values are sent until it answers.
            let polled = match peer.is_heard(now, self.opts.silent_after) {
                false => marks.clone(),
                true => {
                    peer.polled_index = (peer.polled_index + 1) % marks.len().max(1);
                    marks.get(peer.polled_index).cloned().into_iter().collect()
                }
            };
            let message = RevisionMessage::Marks(polled);
            actions.push(RevisionAction::Send(host.clone(), message));
        }
    }

    /// Announce to relays and other readers the revisions that they may lack.
    pub(super) fn announce(&mut self, now: Moment, actions: &mut Vec<RevisionAction>) {
        if now < self.announce_at {
            return;
        }
        self.announce_at = Moment::NEVER;
        let marks = self.marks();
        for host in self.links.keys() {
            let peer = match self.peers.get_mut(host) {
                Some(peer) => peer,
                None => continue,
            };
            let mut updates = marks.clone();
            updates.retain(|mark| peer.announce(&mark.name, mark.revision));
            if !updates.is_empty() {
                let message = RevisionMessage::Marks(updates);
                actions.push(RevisionAction::Send(host.clone(), message));
            }
        }
    }

    /// Request missing values from peers that are ahead: first by sending this
    /// host's mark, which is answered with a patch, then by requesting the
    /// complete value.
    pub(super) fn catch_up(&mut self, now: Moment, actions: &mut Vec<RevisionAction>) {
        let due: Vec<(ValueName, CatchUp)> = self
            .catch_ups
            .iter()
            .filter(|(_, plan)| plan.at <= now)
            .map(|(name, plan)| (name.clone(), *plan))
            .collect();
        for (name, plan) in due {
            let tries = plan.tries;
            let seen = self.seen(&name);
            let ahead: Vec<HostName> = self
                .peers
                .iter()
                .filter(|(_, peer)| peer.known(&name) > Some(seen))
                .map(|(host, _)| host.clone())
                .collect();
            if ahead.is_empty() {
                self.catch_ups.remove(&name);
                continue;
            }
            let host = ahead[tries / 2 % ahead.len()].clone();
            let message = match tries {
                0 => RevisionMessage::Marks(vec![RevisionMark {
                    name: name.clone(),
                    revision: seen,
                }]),
                _ => RevisionMessage::Want(name.clone()),
            };
            actions.push(RevisionAction::Send(host, message));
            let next = CatchUp {
                at: now.plus(CATCH_UP_INTERVAL),
                tries: tries + 1,
                ..plan
            };
            self.catch_ups.insert(name, next);
        }
    }

    /// Get when the next message to a peer is due.
    pub(super) fn next_send(&self) -> Moment {
        let polls = self
            .links
            .keys()
            .filter_map(|host| self.peers.get(host))
            .map(|peer| peer.poll_at);
        let catch_ups = self.catch_ups.values().map(|plan| plan.at);
        let next = polls.chain(catch_ups).min().unwrap_or(Moment::NEVER);
        next.min(self.announce_at)
    }
}
