//! Provides the entry dispatcher, which manages the requests that this
//! incarnation of the host accepted. No other component may dispatch them.

mod aborting;
mod completion;
mod paths;
mod permit_requests;
mod progress;
mod quarantine;
mod replacement;
mod replies;
mod retries;
mod stopping;
mod streams;
mod submission;
mod takeover;
mod target_limits;
mod target_notices;
mod target_paces;

use std::collections::{BTreeMap, BTreeSet};

use super::answer_cache::AnswerCache;
use super::attempt::AttemptStage;
use super::key_store::{KeyId, KeyStore};
use super::options::{EntryOptions, Fault};
use super::path_table::PathTable;
use super::placement::PoolMap;
use super::quota_use::QuotaUse;
use super::request_table::RequestTable;
use super::run_durations::RunDurations;
use super::target_limits::TargetLimits;
use super::target_notices::TargetNotices;
use super::target_paces::PaceReports;
use super::view::EntryView;
use super::{EntryAction, EntryEvent, OutcomeQuery, OutcomeView, Submission, SubmitOutcome};
use crate::clock::Moment;
use crate::host::{HostIncarnation, HostName};
use crate::pool::{PoolName, PoolShard};
use crate::quarantine::CrashTable;
use crate::refusal::RefusalReason;
use crate::request::RequestId;
use crate::retry::RetryBudget;
use crate::stream_table::StreamTable;

pub use stopping::STOPPING_RETRY_AFTER;
use stopping::StopBound;

/// An `EntryDispatcher` manages the requests that this incarnation of the host
/// accepted, from submission to their final outcome.
#[derive(Debug)]
pub struct EntryDispatcher {
    identity: HostIncarnation,
    options: EntryOptions,
    requests: RequestTable,
    keys: KeyStore,
    answers: AnswerCache,
    pools: PoolMap,
    owners: BTreeMap<PoolShard, HostName>,
    budgets: BTreeMap<PoolName, RetryBudget>,
    quota_use: QuotaUse,
    crashes: CrashTable,
    limits: TargetLimits,
    paths: PathTable,
    notices: TargetNotices,
    paces: PaceReports,
    streams: BTreeMap<PoolName, StreamTable>,
    /// The maximum number of hosts seen by this incarnation.
    host_count: usize,
    counts: DispatcherCounts,
    last_event_at: Moment,
    durations: RunDurations,
    stopping: bool,
    bound: StopBound,
    stop_reported: bool,
}

#[derive(Debug, Default)]
struct DispatcherCounts {
    accepted: u64,
    dispatched: u64,
    retried: u64,
}

impl EntryDispatcher {
    /// Create a dispatcher without requests for this incarnation of the host.
    pub fn new(identity: HostIncarnation, opts: EntryOptions) -> Self {
        EntryDispatcher {
            identity,
            requests: RequestTable::new(opts.permit_resend_interval),
            keys: KeyStore::new(opts.key_retention, opts.max_keys),
            answers: AnswerCache::default(),
            pools: PoolMap::new(opts.domain.clone()),
            owners: BTreeMap::new(),
            budgets: BTreeMap::new(),
            quota_use: QuotaUse::default(),
            crashes: CrashTable::default(),
            limits: TargetLimits::default(),
            paths: PathTable::default(),
            notices: TargetNotices::default(),
            paces: PaceReports::default(),
            streams: BTreeMap::new(),
            host_count: 1,
            counts: DispatcherCounts::default(),
            last_event_at: Moment::START,
            durations: RunDurations::default(),
            stopping: false,
            bound: StopBound::default(),
            stop_reported: false,
            options: opts,
        }
    }

    /// Replace the options. Whatever exceeds the new limits is dropped with the
    /// next event.
    pub fn set_opts(&mut self, opts: EntryOptions) {
        for budget in self.budgets.values_mut() {
            budget.set_rate(opts.retry_rate);
        }
        self.options = opts;
    }

    /// Divide the retry budgets among the maximum number of hosts seen so far.
    /// A host that the others cannot reach may still retry, so its share is not
    /// redistributed.
    fn set_host_count(&mut self, hosts: usize) {
        self.host_count = self.host_count.max(hosts);
        for budget in self.budgets.values_mut() {
            budget.set_hosts(self.host_count);
        }
    }

    /// Submit a caller's request.
    pub fn submit(
        &mut self,
        now: Moment,
        submission: Submission,
    ) -> (SubmitOutcome, Vec<EntryAction>) {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        let outcome = self.receive(now, submission, &mut actions);
        self.run_due(now, &mut actions);
        (outcome, actions)
    }

    /// Handle an event.
    pub fn handle(&mut self, now: Moment, event: EntryEvent) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        match event {
            EntryEvent::ProcessResumed(_) => self.renew_permit_requests(now, &mut actions),
            _ => self.detect_pause(now, &mut actions),
        }
        match event {
            EntryEvent::CallerDisconnected(id) => {
                self.on_caller_disconnected(now, id, &mut actions)
            }
            EntryEvent::Reply(host, reply) => self.owner_replied(now, host, reply, &mut actions),
            EntryEvent::OwnerChanged(shard, host) => {
                self.owner_changed(now, shard, host, &mut actions)
            }
            EntryEvent::Attempt(attempt, event) => {
                self.handle_attempt_event(now, attempt, event, &mut actions);
            }
            EntryEvent::Pools(pools) => {
                self.pools.set_pools(pools);
                self.prune_limits();
                self.prune_paces();
                self.review_notices(now);
                let pools = &self.pools;
                self.paths.retain(|target| pools.has_target(target));
                self.review_streams(now, &mut actions);
                self.reassign_waiting(now, &mut actions);
            }
            EntryEvent::Streams(pool, reports) => self.keep_streams(now, &pool, &reports),
            EntryEvent::TargetDraining(target, draining) => {
                self.pools.set_draining(target, draining)
            }
            EntryEvent::AnswerTooLong(id) => self.abort_too_long(now, id, &mut actions),
            EntryEvent::AnswerSize(id, bytes) => self.answers.set_bytes(id, bytes),
            EntryEvent::Stop => self.stopping = true,
            EntryEvent::AnswerDeadline(at) => self.set_answer_deadline(now, at, &mut actions),
            EntryEvent::AdmissionClosed => self.bound.is_closed = true,
            EntryEvent::HostsAvailableAt(at) => self.bound.hosts_available_at = at,
            EntryEvent::Crashes(reports) => self.merge_crashes(now, &reports),
            EntryEvent::Hosts(count) => self.set_host_count(count),
            EntryEvent::TunnelHosts(hosts) => self.set_tunnel_hosts(&hosts),
            EntryEvent::Quotas(rates) => self.quota_use.set_rates(now, rates),
            EntryEvent::GraceExpired => self.terminate(now, &mut actions),
            EntryEvent::Tick | EntryEvent::ProcessResumed(_) => {
                self.expire_streams(now);
                self.refuse_unfinishable(now, &mut actions)
            }
        }
        self.run_due(now, &mut actions);
        actions
    }

    /// Get the time at which the dispatcher needs the next tick.
    pub fn next_wake(&self) -> Moment {
        let pulse = match self.requests.has_waiting() {
            true => self.last_event_at.plus(self.options.max_permit_age),
            false => Moment::NEVER,
        };
        self.requests
            .next_due()
            .min(pulse)
            .min(self.answers.next_due(&self.options))
            .min(self.keys.next_due())
    }

    /// Get the known outcome of a request. An id of another incarnation yields
    /// `lost`, so query the live peers' incarnations first.
    pub fn outcome(&self, query: &OutcomeQuery) -> OutcomeView {
        match query {
            OutcomeQuery::Id(id) if id.incarnation != self.identity.incarnation => {
                OutcomeView::Unknown(RefusalReason::Lost)
            }
            OutcomeQuery::Id(id) => self.outcome_of(*id),
            OutcomeQuery::Key(account, key) => {
                let key = KeyId {
                    account: account.clone(),
                    key: key.clone(),
                };
                match self.keys.get(&key) {
                    Some(record) => self.outcome_of(record.request),
                    None => OutcomeView::Unknown(RefusalReason::OutcomeUnknown),
                }
            }
        }
    }

    /// Get whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.requests.iter().next().is_none()
    }

    /// Get the shards whose owner this host has to know: those with live
    /// requests, and those of pools with keys that must not run twice. If this
    /// host stopped tracking the owner after its last request, it would not
    /// report its keys to the next owner, and an unmarked resubmission at
    /// another host would run a second time.
    pub fn used_shards(&self) -> Vec<PoolShard> {
        let live = self.requests.shards().cloned();
        let run_once = self.keys.run_once_pools();
        let run_once = run_once.flat_map(|pool| self.pools.shards_of(pool));
        let used: BTreeSet<PoolShard> = live.chain(run_once).collect();
        used.into_iter().collect()
    }

    /// Get the current status for operators.
    pub fn view(&self) -> EntryView {
        let mut view = EntryView {
            kept_answers: self.answers.len(),
            kept_answer_bytes: self.answers.bytes(),
            known_keys: self.keys.len(),
            crashed_calls: self.crashes.len(),
            limited_targets: self.limits.len(),
            malformed_paces: self.paces.malformed(),
            unsent_paces: self.paces.unsent(),
            resting_targets: self.notices.rest_count(self.last_event_at),
            lost_paths: self.paths.lost_count(),
            cut_off: self.paths.is_cut_off(),
            quarantined_calls: self.crashes.quarantined(),
            accepted: self.counts.accepted,
            dispatched: self.counts.dispatched,
            retried: self.counts.retried,
            stopping: self.stopping,
            ..EntryView::default()
        };
        for entry in self.requests.iter() {
            let tier = entry.record.submission.verdict.tier;
            match entry.stage {
                AttemptStage::Waiting(_) => view.count_waiting(tier),
                AttemptStage::Running(_) => view.count_running(tier),
            }
        }
        view
    }

    fn outcome_of(&self, id: RequestId) -> OutcomeView {
        if let Some(entry) = self.requests.get(id) {
            return match entry.stage {
                AttemptStage::Waiting(_) => OutcomeView::Waiting(id),
                AttemptStage::Running(_) => OutcomeView::Running(id),
            };
        }
        match self.answers.view(id) {
            Some(view) => view,
            None => OutcomeView::Unknown(RefusalReason::OutcomeUnknown),
        }
    }

    /// Process expired timers and cache entries, and report when a planned stop is
    /// complete.
    fn run_due(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        self.last_event_at = now;
        self.review_quarantine(now, actions);
        while let Some(entry) = self.requests.take_due(now) {
            self.handle_due(now, entry, actions);
        }
        while let Some(dropped) = self.answers.evict(now, &self.options) {
            if let Some(key) = &dropped.key {
                self.keys.drop_answer(key, dropped.id, now);
            }
            actions.push(EntryAction::DropAnswer(dropped.id));
        }
        self.keys.expire(now);
        let complete = self.stopping && self.requests.is_empty();
        if complete && !self.stop_reported {
            actions.push(EntryAction::Stopped);
        }
        self.stop_reported = complete;
    }

    /// Detect a pause of the process and replace the pending permit requests.
    /// Permits that were read after a pause may have expired, and their slots
    /// may have been granted to other requests. If no pause was reported, a
    /// late tick shows it: the dispatcher requests ticks at short intervals
    /// while requests wait.
    fn detect_pause(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        let bound = self.options.max_permit_age.saturating_mul(2);
        if self.requests.has_waiting() && now.since(self.last_event_at) > bound {
            self.renew_permit_requests(now, actions);
        }
    }

    fn may_use_permits_after_pause(&self) -> bool {
        self.options.has_fault(Fault::PermitAfterPause)
    }
}
