//! Provides the test oracle: a record of what targets ran and what callers were
//! answered, and one check for each guarantee.
#![allow(dead_code)] // Each test file uses only some of the items.

pub mod callers;

use std::collections::{BTreeMap, BTreeSet};

use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::permit::ReleaseOutcome;
use bergamotswitch_core::refusal::RunClaim;

use crate::entry_support::*;

/// A `Coverage` counts the situations that a simulation run reached. A run that
/// reaches none of them verifies nothing.
pub type Coverage = BTreeMap<&'static str, u64>;

pub fn add_counts(sum: &mut Coverage, other: &Coverage) {
    for (what, count) in other {
        *sum.entry(what).or_default() += count;
    }
}

/// A `Violation` names the guarantee that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    DispatchOnce,
    RunOnce,
    ConcludedOnce,
    ForeignAnswer,
    NotRun,
    DrainingTarget,
    StalePermit,
    InterruptedByStop,
    PermitLeak,
    /// A resubmission was answered "not run" although an earlier request of the
    /// same caller and key ran, or ran later.
    NotRunBefore,
    ShedOrder,
    RevisionReverted,
    RevisionLate,
}

/// A `CallerIdentity` identifies what the caller considers one request, across its
/// resubmissions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallerIdentity {
    Keyed(AccountName, CallerKey),
    Single(u64),
}

/// A `RequestRecord` is what is known of one accepted request.
#[derive(Debug)]
pub struct RequestRecord {
    pub identity: CallerIdentity,
    pub submission: Submission,
    pub conclusions: u32,
    claimed_not_run: bool,
    /// The number of dispatches that may have caused a run.
    dispatches: i32,
    runs: u32,
    finished: bool,
    /// Whether the request is exempt because the design allows a second run.
    exempt: bool,
}

impl RequestRecord {
    fn is_unstarted(&self) -> bool {
        self.runs == 0 && self.dispatches == 0
    }
}

/// A `PermitRecord` is what is known of one permit.
#[derive(Debug, Default)]
struct PermitRecord {
    reached_host: bool,
    released: bool,
    uses: u32,
}

/// An `Oracle` is the record that the guarantees are checked against.
#[derive(Debug, Default)]
pub struct Oracle {
    pub requests: BTreeMap<RequestId, RequestRecord>,
    permits: BTreeMap<PermitId, PermitRecord>,
    /// The earlier requests to which an answer "not run" to a resubmission refers.
    claimed_unrun: BTreeSet<RequestId>,
    /// The first violation that was recorded when it happened.
    recorded: Option<Violation>,
}

impl Oracle {
    pub fn record_violation(&mut self, violation: Violation) {
        self.recorded.get_or_insert(violation);
    }

    pub fn accepted(&mut self, id: RequestId, identity: CallerIdentity, submission: Submission) {
        let record = RequestRecord {
            identity,
            submission,
            conclusions: 0,
            claimed_not_run: false,
            dispatches: 0,
            runs: 0,
            finished: false,
            exempt: false,
        };
        if self.requests.insert(id, record).is_some() {
            self.record_violation(Violation::ForeignAnswer);
        }
    }

    /// Check that a caller attached to `id` gets the answer to its own request.
    pub fn attached(&mut self, id: RequestId, identity: &CallerIdentity, fingerprint: u128) {
        let own = self.requests.get(&id).is_some_and(|record| {
            record.identity == *identity && record.submission.fingerprint == fingerprint
        });
        if !own {
            self.record_violation(Violation::ForeignAnswer);
        }
    }

    pub fn dispatched(&mut self, id: RequestId) {
        self.change(id, |record| record.dispatches += 1);
    }

    pub fn proven_not_run(&mut self, id: RequestId) {
        self.change(id, |record| record.dispatches -= 1);
    }

    pub fn ran(&mut self, id: RequestId) {
        self.change(id, |record| record.runs += 1);
    }

    pub fn finished(&mut self, id: RequestId) {
        self.change(id, |record| record.finished = true);
    }

    pub fn forwarded(&mut self, id: RequestId) {
        self.change(id, |record| record.conclusions += 1);
    }

    pub fn concluded(&mut self, id: RequestId, conclusion: &Conclusion) {
        let mut own = true;
        let mut claimed = None;
        self.change(id, |record| {
            record.conclusions += 1;
            match conclusion {
                Conclusion::Answered => own = record.finished,
                Conclusion::TargetError => {}
                Conclusion::Refused(refusal) => {
                    let not_run = refusal.claim() == RunClaim::NotRun;
                    record.claimed_not_run |= not_run;
                    claimed = not_run.then(|| (record.identity.clone(), record.submission.clone()));
                }
            }
        });
        if let Some((identity, submission)) = claimed {
            self.claimed_not_run(&identity, &submission);
        }
        if !own {
            self.record_violation(Violation::ForeignAnswer);
        }
    }

    /// Get the other requests of the same caller and key that may have run.
    pub fn earlier_runs(&self, id: RequestId) -> Vec<RequestId> {
        let Some(own) = self.requests.get(&id) else {
            return Vec::new();
        };
        let others = self.requests.iter().filter(|(other, record)| {
            **other != id
                && record.identity == own.identity
                && !record.is_unstarted()
                && !record.exempt
        });
        others.map(|(id, _)| *id).collect()
    }

    /// Exempt a request from the checks for second runs.
    pub fn exempt(&mut self, id: RequestId) {
        self.change(id, |record| record.exempt = true);
    }

    /// Record that a submission was answered "not run". If the submission names a
    /// host incarnation or is marked as a resubmission, this must be true of all
    /// earlier requests that it may refer to: those of the named incarnation, or of
    /// any.
    pub fn claimed_not_run(&mut self, identity: &CallerIdentity, submission: &Submission) {
        let harmless = submission.verdict.idempotent && !submission.verdict.dispatch_once;
        if !submission.resubmission && (submission.holder.is_none() || harmless) {
            return;
        }
        let named = submission.holder.as_ref().map(|run| run.incarnation);
        let meant = self.requests.iter().filter(|(id, record)| {
            record.identity == *identity
                && record.submission.fingerprint == submission.fingerprint
                && named.is_none_or(|run| run == id.incarnation)
        });
        self.claimed_unrun.extend(meant.map(|(id, _)| *id));
    }

    pub fn permit_arrived(&mut self, permit: PermitId) {
        self.permits.entry(permit).or_default().reached_host = true;
    }

    pub fn released(&mut self, permit: PermitId, outcome: &ReleaseOutcome) {
        let record = self.permits.entry(permit).or_default();
        record.released = true;
        if *outcome != ReleaseOutcome::Unused {
            record.uses += 1;
        }
    }

    /// Record that the host incarnation that held the permit has terminated.
    pub fn holder_terminated(&mut self, permit: PermitId) {
        self.permits.entry(permit).or_default().released = true;
    }

    fn change(&mut self, id: RequestId, change: impl FnOnce(&mut RequestRecord)) {
        match self.requests.get_mut(&id) {
            Some(record) => change(record),
            None => self.record_violation(Violation::ForeignAnswer),
        }
    }

    /// Check every guarantee that must hold at any time.
    pub fn check(&self) -> Result<(), Violation> {
        self.check_recorded()?;
        self.check_dispatch_once()?;
        self.check_run_once()?;
        self.check_not_run()?;
        self.check_not_run_before()?;
        self.check_at_most_one_conclusion()?;
        self.check_single_release()
    }

    /// Check also what must hold once no messages or requests are in flight.
    pub fn check_quiescent(&self, alive: &[Incarnation]) -> Result<(), Violation> {
        self.check()?;
        self.check_all_concluded(alive)?;
        self.check_permits_returned()
    }

    /// Check for violations that are recorded when they happen, such as the use of
    /// draining targets and stale permits, and answers that are cut off or foreign.
    fn check_recorded(&self) -> Result<(), Violation> {
        self.recorded.map_or(Ok(()), Err)
    }

    fn check_dispatch_once(&self) -> Result<(), Violation> {
        let once =
            |record: &&RequestRecord| record.submission.verdict.dispatch_once && !record.exempt;
        let mut sums: BTreeMap<&CallerIdentity, i32> = BTreeMap::new();
        for record in self.requests.values().filter(once) {
            *sums.entry(&record.identity).or_default() += record.dispatches;
        }
        require(sums.values().all(|sum| *sum <= 1), Violation::DispatchOnce)
    }

    fn check_run_once(&self) -> Result<(), Violation> {
        let once =
            |record: &&RequestRecord| !record.submission.verdict.idempotent && !record.exempt;
        let mut sums: BTreeMap<&CallerIdentity, u32> = BTreeMap::new();
        for record in self.requests.values().filter(once) {
            *sums.entry(&record.identity).or_default() += record.runs;
        }
        require(sums.values().all(|sum| *sum <= 1), Violation::RunOnce)
    }

    fn check_not_run(&self) -> Result<(), Violation> {
        let true_claim = |record: &RequestRecord| !record.claimed_not_run || record.is_unstarted();
        require(self.requests.values().all(true_claim), Violation::NotRun)
    }

    /// Check the answers "not run" to resubmissions.
    fn check_not_run_before(&self) -> Result<(), Violation> {
        let mut meant = self
            .claimed_unrun
            .iter()
            .filter_map(|id| self.requests.get(id));
        require(
            meant.all(RequestRecord::is_unstarted),
            Violation::NotRunBefore,
        )
    }

    fn check_at_most_one_conclusion(&self) -> Result<(), Violation> {
        let at_most_one = |record: &RequestRecord| record.conclusions <= 1;
        let held = self.requests.values().all(at_most_one);
        require(held, Violation::ConcludedOnce)
    }

    fn check_all_concluded(&self, alive: &[Incarnation]) -> Result<(), Violation> {
        let requests = self.requests.iter();
        let mut own = requests.filter(|(id, _)| alive.contains(&id.incarnation));
        let held = own.all(|(_, record)| record.conclusions == 1);
        require(held, Violation::ConcludedOnce)
    }

    fn check_single_release(&self) -> Result<(), Violation> {
        let held = self.permits.values().all(|record| record.uses <= 1);
        require(held, Violation::PermitLeak)
    }

    fn check_permits_returned(&self) -> Result<(), Violation> {
        let returned = |record: &PermitRecord| record.released || !record.reached_host;
        require(self.permits.values().all(returned), Violation::PermitLeak)
    }
}

fn require(held: bool, violation: Violation) -> Result<(), Violation> {
    match held {
        true => Ok(()),
        false => Err(violation),
    }
}

/// Get one of `items` by a random byte.
pub fn pick<T: Copy>(items: &[T], drawn: u8) -> Option<T> {
    let index = usize::from(drawn).checked_rem(items.len())?;
    items.get(index).copied()
}
