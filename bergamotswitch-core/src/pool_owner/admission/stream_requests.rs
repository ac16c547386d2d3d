//! Provides the handling of permit requests for resumable streams, which continue only at
//! targets of the version that began them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cached_streams::CachedStreams;
use crate::clock::Moment;
use crate::host::{HostName, Incarnation};
use crate::permit::{OwnerReply, PermitRequest};
use crate::pool_owner::OwnerAction;
use crate::pool_owner::order::queue::Placement;
use crate::pool_owner::order::wait_plan::WaitPlan;
use crate::pool_owner::owner::ShardOwner;
use crate::pool_owner::placement::routing::{allowed, in_domains};
use crate::refusal::RefusalReason;
use crate::request::{AttemptId, PrefixHash};
use crate::stream_table::{KnownVersion, StreamId, StreamOrigin, VersionStreams};
use crate::target::{PoolTarget, TargetName};

/// How long a new owner waits for the reports of the hosts before it refuses to resume a
/// stream that it does not know.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a new owner waits for the reports of the hosts before it asks the targets about
/// a stream that it does not know.
const CACHE_READ_DELAY: Duration = Duration::from_millis(300);

/// How long a stream waits while no target has its version: a target that crashed may
/// restart and register.
const VERSION_TIMEOUT: Duration = Duration::from_secs(2);

/// The retry-after time of a stream that nobody knows. Its caller may begin anew at once.
const UNKNOWN_STREAM_RETRY: Duration = Duration::from_millis(100);

/// A `HeldRequest` is a permit request to resume a stream that is not known yet.
#[derive(Debug)]
struct HeldRequest {
    host: HostName,
    request: PermitRequest,
    origin: StreamOrigin,
    since: Moment,
}

/// A `StreamRequests` is the permit requests for streams that are not queued yet.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct StreamRequests {
    /// What each host knows of the stream of its next permit request.
    announced: BTreeMap<HostName, (AttemptId, StreamOrigin)>,
    held: BTreeMap<AttemptId, HeldRequest>,
    cached: CachedStreams,
    /// The targets that take no new requests.
    departing: Vec<PoolTarget>,
}

impl StreamRequests {
    /// Take what a host announced of the stream of its permit request.
    pub(in crate::pool_owner) fn take(
        &mut self,
        host: &HostName,
        attempt: &AttemptId,
    ) -> Option<StreamOrigin> {
        let (announced, origin) = self.announced.remove(host)?;
        (announced == *attempt).then_some(origin)
    }

    /// Drop a held permit request.
    pub(in crate::pool_owner) fn withdraw(&mut self, attempt: &AttemptId) {
        self.held.remove(attempt);
    }

    /// Drop the permit requests of one incarnation of an entry host.
    pub(in crate::pool_owner) fn drop_incarnation(&mut self, incarnation: Incarnation) {
        self.announced
            .retain(|_, (attempt, _)| attempt.request.incarnation != incarnation);
        self.held
            .retain(|attempt, _| attempt.request.incarnation != incarnation);
    }

    /// Get whether no permit request is held.
    pub(in crate::pool_owner) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// Get the part of the prompt that is the stream's own, which its host names last.
fn own_part(request: &PermitRequest) -> Option<PrefixHash> {
    request.prefixes.last().copied()
}

impl ShardOwner {
    /// Record what a host knows of the stream of its next permit request, and reply with
    /// the version if only this owner knows it.
    pub(in crate::pool_owner) fn on_stream(
        &mut self,
        host: HostName,
        attempt: AttemptId,
        origin: StreamOrigin,
        actions: &mut Vec<OwnerAction>,
    ) {
        let resolved = self.resolve_origin(origin.clone(), None);
        if resolved != origin {
            self.reply_version(&host, attempt, &resolved, actions);
        }
        self.stream_requests
            .announced
            .insert(host, (attempt, resolved));
    }

    /// Complete the origin of a stream whose version this owner knows, or can tell by what
    /// targets hold of the request that resumes it and arrived at `since`.
    fn resolve_origin(
        &self,
        origin: StreamOrigin,
        resuming: Option<(&PermitRequest, Moment)>,
    ) -> StreamOrigin {
        let StreamOrigin::Unknown(id) = origin else {
            return origin;
        };
        let cached = || {
            let (request, since) = resuming?;
            let begun_after = self.begun_after_ms(request, since);
            let cached = &self.stream_requests.cached;
            cached.version_of(self.now, own_part(request)?, begun_after)
        };
        match self.streams.version_of(self.now, id) {
            KnownVersion::Version(version) => StreamOrigin::Begun(id, version),
            KnownVersion::Ambiguous => StreamOrigin::Unknown(id),
            KnownVersion::Unknown => match cached() {
                Some(version) => StreamOrigin::Begun(id, version.clone()),
                None => StreamOrigin::Unknown(id),
            },
        }
    }

    /// Get the earliest time at which a stream that nobody has recorded can have begun, in
    /// Unix milliseconds; `None` if this host does not know the time. Its caller has been
    /// served for no longer than its route allows, and this host was not there.
    fn begun_after_ms(&self, request: &PermitRequest, since: Moment) -> Option<u64> {
        let started_at = self.process_start_ms?;
        let left = u64::from(request.deadline_ms);
        let served = self.longest_call_ms.saturating_sub(left);
        let arrived_at = started_at + since.as_micros() / 1_000;
        let before_start = started_at.saturating_sub(VERSION_TIMEOUT.as_millis() as u64);
        Some(arrived_at.saturating_sub(served).min(before_start))
    }

    /// Set the start of this host's process in Unix milliseconds, and the longest time that
    /// a call to the shard's pool may take.
    pub fn set_call_times(&mut self, process_start_ms: Option<u64>, longest_call_ms: u64) {
        self.process_start_ms = process_start_ms;
        self.longest_call_ms = longest_call_ms;
    }

    /// Set the targets that take no new requests but still hold what they ran.
    pub(in crate::pool_owner) fn on_departing(&mut self, targets: Vec<PoolTarget>) {
        self.stream_requests.departing = targets;
    }

    /// Update the targets whose caches tell which streams they ran.
    pub(in crate::pool_owner) fn update_cached_targets(&mut self, now: Moment) {
        let requests = &mut self.stream_requests;
        let published = self.targets.values().filter(|load| !load.is_draining());
        let published = published.map(|load| load.target());
        let targets = published.chain(&requests.departing);
        requests.cached.publish(now, targets);
    }

    /// Record the parts of prompts that a target holds; `None` if it cannot tell.
    pub(in crate::pool_owner) fn on_cache_read(
        &mut self,
        target: &TargetName,
        parts: Option<&[PrefixHash]>,
    ) {
        self.stream_requests.cached.record(target, parts);
    }

    /// Ask the targets which parts of prompts they hold, if they were not asked lately.
    fn read_caches(&mut self, now: Moment, actions: &mut Vec<OwnerAction>) {
        let is_early = now < self.acting_since.plus(CACHE_READ_DELAY);
        let requests = &mut self.stream_requests;
        if is_early || !requests.cached.wants_read(now) {
            return;
        }
        let names = requests.cached.begin_read(now);
        let published = self.targets.values().map(|load| load.target());
        let targets = published.chain(&requests.departing);
        let targets = targets.filter(|target| names.contains(&target.name));
        let targets: Vec<PoolTarget> = targets.cloned().collect();
        if !targets.is_empty() {
            actions.push(OwnerAction::ReadCaches(self.shard.clone(), targets));
        }
    }

    /// Get when an owner that may have missed the start of streams asks targets of several
    /// versions what they hold: before a stream is resumed, since they may end until then.
    pub(in crate::pool_owner) fn first_cache_read(&self) -> Option<Moment> {
        let is_unread = self.stream_requests.cached.is_unread();
        let is_mixed = !self.targets.is_empty() && self.streams.only_version().is_none();
        let read_at = self.acting_since.plus(CACHE_READ_DELAY);
        let is_due = self.now < self.reports_until() && !self.streams.is_complete(self.now);
        (is_unread && is_mixed && is_due).then_some(read_at)
    }

    /// Read the caches for the first time, once that is due.
    pub(in crate::pool_owner) fn read_first_caches(
        &mut self,
        now: Moment,
        actions: &mut Vec<OwnerAction>,
    ) {
        if self.first_cache_read().is_some_and(|at| now >= at) {
            self.read_caches(now, actions);
        }
    }

    /// Get whether the version of a stream may become known soon: hosts may still report it,
    /// or targets that they hold its own part of the prompt.
    fn may_resolve(&self, now: Moment, id: Option<StreamId>, own_part: Option<PrefixHash>) -> bool {
        let is_reported = id.is_some() && now < self.reports_until();
        let is_asked = now < self.acting_since.plus(CACHE_READ_DELAY)
            || self.stream_requests.cached.is_reading(now);
        is_reported || (own_part.is_some() && is_asked)
    }

    fn reply_version(
        &self,
        host: &HostName,
        attempt: AttemptId,
        origin: &StreamOrigin,
        actions: &mut Vec<OwnerAction>,
    ) {
        if let StreamOrigin::Begun(_, version) = origin {
            let version = version.clone();
            let reply = OwnerReply::StreamVersion { attempt, version };
            actions.push(OwnerAction::Reply(host.clone(), reply));
        }
    }

    /// Hold a permit request to resume an unknown stream while its version may become known,
    /// and refuse it otherwise.
    pub(in crate::pool_owner) fn hold_or_refuse(
        &mut self,
        now: Moment,
        host: HostName,
        request: PermitRequest,
        id: Option<StreamId>,
        actions: &mut Vec<OwnerAction>,
    ) {
        let is_ambiguous =
            id.is_some_and(|id| self.streams.recorded_version(id) == KnownVersion::Ambiguous);
        let own_part = own_part(&request);
        if !is_ambiguous && own_part.is_some() {
            self.read_caches(now, actions);
        }
        if is_ambiguous || !self.may_resolve(now, id, own_part) {
            let reason = RefusalReason::StreamUnknown;
            return self.refuse(host, request.attempt, reason, UNKNOWN_STREAM_RETRY, actions);
        }
        let held = HeldRequest {
            host,
            origin: StreamOrigin::Unknown(id),
            since: now,
            request,
        };
        self.stream_requests.held.insert(held.request.attempt, held);
    }

    fn reports_until(&self) -> Moment {
        self.acting_since.plus(REPORT_TIMEOUT)
    }

    /// Queue or refuse the held permit requests that can be decided now.
    pub(in crate::pool_owner) fn review_held_streams(
        &mut self,
        now: Moment,
        actions: &mut Vec<OwnerAction>,
    ) {
        if self.stream_requests.is_empty() {
            return;
        }
        let held = std::mem::take(&mut self.stream_requests.held);
        for (attempt, held) in held {
            let own_part = own_part(&held.request);
            let resuming = Some((&held.request, held.since));
            let origin = self.resolve_origin(held.origin.clone(), resuming);
            let is_known = origin != held.origin;
            if !is_known && own_part.is_some() {
                self.read_caches(now, actions);
            }
            if !is_known && self.may_resolve(now, held.origin.id(), own_part) {
                self.stream_requests.held.insert(attempt, held);
                continue;
            }
            let Some(request) = held.request.after_wait(now.since(held.since)) else {
                continue;
            };
            self.place_stream(now, held.host, request, held.origin, actions);
        }
    }

    /// Queue a permit request for a stream.
    pub(in crate::pool_owner) fn place_stream(
        &mut self,
        now: Moment,
        host: HostName,
        request: PermitRequest,
        origin: StreamOrigin,
        actions: &mut Vec<OwnerAction>,
    ) {
        let resolved = self.resolve_origin(origin.clone(), Some((&request, now)));
        if let StreamOrigin::Unknown(id) = resolved {
            return self.hold_or_refuse(now, host, request, id, actions);
        }
        if resolved != origin {
            self.reply_version(&host, request.attempt, &resolved, actions);
        }
        self.enqueue(now, host, request, Some(resolved), actions);
    }

    /// Record the version at which a stream begins or continues.
    pub(in crate::pool_owner) fn record_stream(
        &mut self,
        now: Moment,
        origin: &StreamOrigin,
        target: &TargetName,
        deadline_in: Duration,
    ) {
        let (id, is_begun) = match origin {
            StreamOrigin::Unbegun(id) => (*id, false),
            StreamOrigin::Begun(Some(id), _) => (*id, true),
            StreamOrigin::Begun(None, _) | StreamOrigin::Unknown(_) => return,
        };
        let version = self
            .targets
            .get(target)
            .map(|load| load.target().version.clone());
        self.streams.record(now, id, version, is_begun, deadline_in);
        self.unshared_streams.push(id);
    }

    /// Get all known streams in parts for one message each, to report them to another host.
    pub fn stream_report(&self, now: Moment) -> Vec<Vec<VersionStreams>> {
        self.streams.report(now)
    }

    /// Get the streams recorded since the last call; `None` if one version alone may have
    /// streams, so that nothing has to be recorded elsewhere.
    pub fn take_unshared_streams(&mut self, now: Moment) -> Option<Vec<VersionStreams>> {
        let unshared = std::mem::take(&mut self.unshared_streams);
        match self.streams.only_version() {
            Some(_) => None,
            None => Some(self.streams.report_of(now, &unshared)),
        }
    }

    /// Get whether no target serves a request, now or soon. The targets of a version may
    /// be absent for a while only.
    pub(in crate::pool_owner) fn is_unplaceable(&self, placement: &Placement) -> bool {
        match placement.version {
            Some(_) => {
                let any_version = placement.clone().with_version(None);
                in_domains(&self.targets, &any_version).next().is_none()
            }
            None => allowed(&self.targets, placement).is_empty(),
        }
    }

    /// Get whether no target has the version that a request needs.
    pub(in crate::pool_owner) fn lacks_version(&self, placement: &Placement) -> bool {
        placement.version.is_some() && in_domains(&self.targets, placement).next().is_none()
    }

    /// Limit the wait of a request whose version no target has.
    pub(in crate::pool_owner) fn with_version_timeout(
        &self,
        now: Moment,
        plan: WaitPlan,
        placement: &Placement,
    ) -> WaitPlan {
        match self.lacks_version(placement) {
            true => WaitPlan {
                give_up_at: plan.give_up_at.min(now.plus(VERSION_TIMEOUT)),
                ..plan
            },
            false => plan,
        }
    }
}
