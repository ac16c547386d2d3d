//! Provides a host's calls to the configuration service, with their budget and
//! backoff.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Revision;
use super::options::RevisionOptions;
use crate::clock::Moment;
use crate::host::Incarnation;

/// The shortest interval between watches, if the service ends them at once.
const REWATCH_AFTER: Duration = Duration::from_millis(100);
/// The number of doublings after which the backoff stops growing.
const MAX_DOUBLINGS: u32 = 8;

/// A `Jitter` is a deterministic source of jitter, seeded by the incarnation of
/// a host.
#[derive(Clone, Debug)]
pub(super) struct Jitter {
    seed: u128,
    counter: u64,
}

impl Jitter {
    /// Create the source for an incarnation.
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Jitter {
            seed: incarnation.0,
            counter: 0,
        }
    }

    /// Get a duration below `span`.
    pub(super) fn part_of(&mut self, span: Duration) -> Duration {
        self.counter += 1;
        let mut bytes = self.seed.to_le_bytes().to_vec();
        bytes.extend_from_slice(&self.counter.to_le_bytes());
        let permille = xxh3_64(&bytes) % 1000;
        span * permille as u32 / 1000
    }
}

/// A `ReadBudget` is a token bucket, represented by the time at which it will
/// be full.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadBudget {
    full_at: Moment,
}

impl ReadBudget {
    /// Get when the next read is allowed.
    pub(super) fn allowed_at(&self, opts: &RevisionOptions) -> Moment {
        let spare = opts.read_interval * opts.read_burst.saturating_sub(1);
        Moment::START.plus(self.full_at.since(Moment::START.plus(spare)))
    }

    /// Consume one token.
    pub(super) fn spend(&mut self, now: Moment, opts: &RevisionOptions) {
        self.full_at = self.full_at.max(now).plus(opts.read_interval);
    }
}

/// A `ServiceCall` is the state of a host's calls for one value.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceCall {
    pub(super) pending_since: Option<Moment>,
    due_at: Moment,
    failures: u32,
    /// The revision held when the call was made; the call waits for a later
    /// one.
    pub(super) beyond: Revision,
}

impl ServiceCall {
    /// Get when the next call is due, or when the pending one counts as lost.
    pub(super) fn due_at(&self, opts: &RevisionOptions) -> Moment {
        match self.pending_since {
            Some(since) => since.plus(opts.call_timeout),
            None => self.due_at,
        }
    }

    /// Get the sort key among the calls that are due: failed ones first, then
    /// by due time.
    pub(super) fn priority(&self) -> (bool, Moment) {
        (self.failures == 0, self.due_at)
    }

    /// Record that a call was made.
    pub(super) fn begin(&mut self, now: Moment, beyond: Revision) {
        self.pending_since = Some(now);
        self.beyond = beyond;
    }

    /// Make the next call due now.
    pub(super) fn restart(&mut self, now: Moment) {
        self.pending_since = None;
        self.due_at = now;
    }

    /// Record that the service answered.
    pub(super) fn succeed(&mut self, now: Moment) {
        self.pending_since = None;
        self.failures = 0;
        self.due_at = now.plus(REWATCH_AFTER);
    }

    /// Record that the call failed or returned a stale revision. Get whether
    /// this is the first failure in a row.
    pub(super) fn fail(
        &mut self,
        now: Moment,
        opts: &RevisionOptions,
        jitter: &mut Jitter,
    ) -> bool {
        self.pending_since = None;
        // All readers detect an outage at the same time. Without jitter they
        // would also retry at the same time.
        let doubled = opts.min_backoff * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        let backoff = doubled.min(opts.max_backoff);
        let half = backoff / 2;
        self.due_at = now.plus(half).plus(jitter.part_of(half));
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }
}
