//! Provides the age of a host's knowledge that its revision of a value is the
//! newest.
//!
//! A revoked key must stop working on every host within a bound, even on a host
//! that is cut off. So each host keeps the time up to which it knows that
//! nothing newer was published, and stops relying on keys when that time lies
//! too far back. The time is always a lower bound: a read confirms the time at
//! which it was sent, and a peer's answer confirms the time of the query less
//! the age in the answer, whatever the latency.

use std::collections::BTreeMap;
use std::time::Duration;

use super::replica::RevisionReplica;
use super::{Revision, RevisionAction, RevisionMessage, ValueName};
use crate::clock::Moment;
use crate::host::HostName;

/// A `Confirmation` is the latest time at which a revision was known to be the
/// newest.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    at: ConfirmedAt,
    revision: Revision,
}

/// A `ConfirmedAt` is a time in microseconds relative to the start of this
/// process; it may be negative.
///
/// A host that has just started receives from its peers confirmations that date
/// from before its start. With [`Moment`], which cannot be negative, they would
/// count as confirmations at its start, and a key revoked long ago would work
/// there until the confirmation expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConfirmedAt(i64);

impl ConfirmedAt {
    fn new(at: Moment) -> Self {
        ConfirmedAt(i64::try_from(at.as_micros()).unwrap_or(i64::MAX))
    }

    fn before(self, age_ms: u32) -> Self {
        ConfirmedAt(self.0.saturating_sub(i64::from(age_ms) * 1_000))
    }

    fn age(self, now: Moment) -> Duration {
        let micros = ConfirmedAt::new(now).0.saturating_sub(self.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}

/// A `Confirmations` is the set of confirmations of all values.
#[derive(Debug)]
pub(super) struct Confirmations {
    values: BTreeMap<ValueName, Confirmation>,
    poll_at: Moment,
}

impl Default for Confirmations {
    fn default() -> Self {
        Confirmations {
            values: BTreeMap::new(),
            poll_at: Moment::NEVER,
        }
    }
}

impl Confirmations {
    /// Get when the relays are polled next.
    pub(super) fn next_poll(&self) -> Moment {
        self.poll_at
    }
}

impl RevisionReplica {
    /// Get how long ago the revision in force was known to be the newest;
    /// `None` if it never was.
    pub fn confirmed_age(&self, now: Moment, name: &ValueName) -> Option<Duration> {
        let confirmation = self.confirmations.values.get(name)?;
        let in_force = self.values.get(name)?.in_force()?;
        (in_force >= confirmation.revision).then(|| confirmation.at.age(now))
    }

    /// Record that the service answered the pending call for a value.
    pub(super) fn confirm_by_call(&mut self, name: &ValueName, revision: Revision) {
        if let Some(sent_at) = self.call_sent_at(name) {
            self.confirm(name, ConfirmedAt::new(sent_at), revision);
        }
    }

    /// Query the relays for their confirmations, if that is due.
    pub(super) fn poll_confirmed(&mut self, now: Moment, actions: &mut Vec<RevisionAction>) {
        let Some(interval) = self.opts.confirm_interval else {
            return;
        };
        let poll_at = self.confirmations.poll_at;
        if poll_at != Moment::NEVER && now < poll_at {
            return;
        }
        self.confirmations.poll_at = now.plus(interval);
        let Some(name) = self.opts.values.first().cloned() else {
            return;
        };
        for host in self.links.keys() {
            let message = RevisionMessage::QueryConfirmation {
                name: name.clone(),
                queried_at: now,
            };
            actions.push(RevisionAction::Send(host.clone(), message));
        }
    }

    /// Answer a peer's query with this host's own confirmation, if it has one.
    pub(super) fn answer_confirmation_query(
        &self,
        now: Moment,
        host: HostName,
        name: ValueName,
        queried_at: Moment,
        actions: &mut Vec<RevisionAction>,
    ) {
        let Some(age) = self.confirmed_age(now, &name) else {
            return;
        };
        let replica = self.values.get(&name);
        let Some(revision) = replica.and_then(|replica| replica.in_force()) else {
            return;
        };
        // Rounded up, since an age below the true one could keep a revoked key
        // working.
        let age_ms = u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX);
        let message = RevisionMessage::Confirmed {
            name,
            queried_at,
            revision,
            age_ms,
        };
        actions.push(RevisionAction::Send(host, message));
    }

    /// Record a peer's answer.
    pub(super) fn handle_confirmation(
        &mut self,
        name: &ValueName,
        queried_at: Moment,
        revision: Revision,
        age_ms: u32,
    ) {
        // A peer with a newer revision confirms nothing about the one held
        // here.
        if self.seen(name) < revision {
            return;
        }
        let confirmed_at = ConfirmedAt::new(queried_at).before(age_ms);
        self.confirm(name, confirmed_at, revision);
    }

    fn confirm(&mut self, name: &ValueName, at: ConfirmedAt, revision: Revision) {
        let known = self.confirmations.values.get(name);
        if known.is_none_or(|known| at > known.at) {
            let confirmation = Confirmation { at, revision };
            self.confirmations.values.insert(name.clone(), confirmation);
        }
    }
}
