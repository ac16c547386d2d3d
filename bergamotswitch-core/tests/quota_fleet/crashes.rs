//! Provides targets that crash under some of the work that they run.

use std::collections::BTreeSet;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::AttemptId;

use super::setup::usage;
use super::{Delivery, QuotaFleet};

/// The time after which all hosts have to act on what one of them learned.
pub(super) const CONTACT: Duration = Duration::from_secs(3);

/// The time from the arrival of crashing work to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(100);

/// The time from a crash until the target accepts connections again.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// A `CrashRecord` is the crash of a target.
#[derive(Clone, Debug)]
pub struct CrashRecord {
    pub at: Moment,
    pub target: String,
    /// The work that caused the crash.
    pub work: u128,
}

impl QuotaFleet {
    /// Get how often the work reached a target later than the contact time after
    /// its third crash.
    pub fn late_arrivals(&self, work: u128) -> usize {
        let mut crashes = self.crashes.iter().filter(|crash| crash.work == work);
        let Some(third) = crashes.nth(2) else {
            return 0;
        };
        let bound = third.at.plus(CONTACT);
        let late = self.arrivals.iter();
        late.filter(|(at, arrived)| *arrived == work && *at > bound)
            .count()
    }

    /// Get the number of crashes that the work caused.
    pub fn crashes_of(&self, work: u128) -> usize {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| crash.work == work).count()
    }

    /// Get the works of which a call was refused as quarantined.
    pub fn quarantined_works(&self) -> BTreeSet<u128> {
        let early = self.early_refusals.iter();
        let early = early.filter(|(_, _, refusal)| refusal.reason() == RefusalReason::Quarantined);
        let accepted = self.calls.values();
        let accepted = accepted.filter(|call| call.refusal == Some(RefusalReason::Quarantined));
        let early = early.map(|(_, work, _)| *work);
        early.chain(accepted.map(|call| call.work)).collect()
    }

    /// Get the accounts of which a call was refused as quarantined.
    pub fn quarantined_accounts(&self) -> BTreeSet<&'static str> {
        let works = self.quarantined_works();
        let accounts = works.iter().filter_map(|work| self.accounts.get(work));
        accounts.copied().collect()
    }

    /// Get the number of calls of a work that were refused as quarantined.
    pub fn quarantined(&self, work: u128) -> usize {
        let early = self.early_refusals.iter();
        let early = early.filter(|(_, refused, _)| *refused == work).count();
        let accepted = self.calls.values();
        let accepted = accepted
            .filter(|call| call.work == work && call.refusal == Some(RefusalReason::Quarantined));
        early + accepted.count()
    }

    /// Get whether this many calls of a work were sent and all of them refused.
    pub fn has_failed(&self, work: u128, sent: u32) -> bool {
        let calls = self.calls.values().filter(|call| call.work == work);
        calls.filter(|call| call.refusal.is_some()).count() == sent as usize
    }

    /// Get the number of calls of a work that were answered.
    pub fn answered(&self, work: u128) -> usize {
        let calls = self.calls.values();
        calls
            .filter(|call| call.work == work && call.answered)
            .count()
    }

    /// Get the parts of a work's prompt that other works share.
    pub fn parts_of(&self, work: u128) -> &[u128] {
        self.parts.get(&work).map_or(&[], Vec::as_slice)
    }

    /// Get whether a work crashes the targets that run it.
    pub fn is_crashing(&self, work: u128) -> bool {
        let parts = self.parts_of(work);
        self.crashing.contains(&work) || parts.iter().any(|part| self.crashing_parts.contains(part))
    }

    /// Get the times of the crashes under works with this part.
    pub fn part_crashes(&self, part: u128) -> Vec<Moment> {
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|crash| self.parts_of(crash.work).contains(&part));
        crashes.map(|crash| crash.at).collect()
    }

    /// Get how often works with this part reached a target later than the contact time
    /// after the fifth crash under it.
    pub fn late_part_arrivals(&self, part: u128) -> usize {
        let Some(fifth) = self.part_crashes(part).get(4).copied() else {
            return 0;
        };
        let bound = fifth.plus(CONTACT);
        let late = self.arrivals.iter().filter(|(at, _)| *at > bound);
        late.filter(|(_, work)| self.parts_of(*work).contains(&part))
            .count()
    }

    /// Get the share of an account's calls that were answered among those that were sent
    /// between two moments, have a part and crash nothing, and the number of the latter.
    pub fn answered_share(
        &self,
        account: &str,
        part: Option<u128>,
        from: Moment,
        to: Moment,
    ) -> (f64, usize) {
        let is_counted = |work: u128| {
            let has_part = part.is_none_or(|part| self.parts_of(work).contains(&part));
            let is_of_account = self
                .accounts
                .get(&work)
                .is_some_and(|known| *known == account);
            has_part && is_of_account && !self.is_crashing(work)
        };
        let calls = self.calls.values();
        let calls = calls.filter(|call| (from..to).contains(&call.sent_at));
        let calls = calls.filter(|call| is_counted(call.work));
        let sent: Vec<bool> = calls.map(|call| call.answered).collect();
        let refused = self.early_refusals.iter();
        let refused = refused.filter(|(at, work, _)| (from..to).contains(at) && is_counted(*work));
        let count = sent.len() + refused.count();
        let answered = sent.iter().filter(|answered| **answered).count();
        (answered as f64 / count.max(1) as f64, count)
    }

    pub(super) fn is_unreachable(&self, target: &str) -> bool {
        let down_until = self.down_until.get(target);
        self.unreachable.contains(target) || down_until.is_some_and(|until| self.now < *until)
    }

    pub(super) fn record_arrival(&mut self, index: usize, attempt: AttemptId, target: &str) {
        let work = self.calls.get(&attempt.request).map_or(0, |call| call.work);
        let in_flight = self.in_flight.entry(target.to_owned()).or_default();
        in_flight.insert((index, attempt));
        if self.is_crashing(work) {
            self.arrivals.push((self.now, work));
            self.count += 1;
            let due = (self.now.plus(CRASH_DELAY), self.count);
            self.due_crashes.insert(due, (target.to_owned(), work));
        }
    }

    pub(super) fn crash_due_targets(&mut self) {
        while let Some(entry) = self.due_crashes.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (target, work) = entry.remove();
            self.crash_target(&target, work);
        }
    }

    /// Crash a target: its runs break, and it is down for a while.
    pub fn crash_target(&mut self, target: &str, work: u128) {
        if self.is_unreachable(target) {
            return;
        }
        let until = self.now.plus(DOWN_TIME);
        self.down_until.insert(target.to_owned(), until);
        self.crashes.push(CrashRecord {
            at: self.now,
            target: target.to_owned(),
            work,
        });
        for (index, attempt) in self.in_flight.remove(target).unwrap_or_default() {
            self.lost_runs.insert((index, attempt));
            let event = match self.silent_crashes {
                true => AttemptEvent::Stalled,
                false => AttemptEvent::Broken(usage(CRASH_DELAY)),
            };
            let end = Delivery::Attempt(index, attempt, event);
            self.post(index, Duration::ZERO, end);
        }
    }

    pub(super) fn record_attempt_event(
        &mut self,
        index: usize,
        attempt: AttemptId,
        event: &AttemptEvent,
    ) {
        match event {
            AttemptEvent::LimitNamed(_) => return self.record_told(index, attempt),
            AttemptEvent::Stalled => return,
            _ => {}
        }
        for runs in self.in_flight.values_mut() {
            runs.remove(&(index, attempt));
        }
    }
}
