//! Provides the handling of permit requests for resumable streams, which continue only at
//! targets of the version that began them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::host::{HostName, Incarnation};
use crate::permit::{OwnerReply, PermitRequest};
use crate::pool_owner::OwnerAction;
use crate::pool_owner::order::queue::Placement;
use crate::pool_owner::order::wait_plan::WaitPlan;
use crate::pool_owner::owner::ShardOwner;
use crate::pool_owner::placement::routing::{allowed, in_domains};
use crate::refusal::RefusalReason;
use crate::request::AttemptId;
use crate::stream_table::{KnownVersion, StreamId, StreamOrigin, VersionStreams};
use crate::target::TargetName;

/// How long a new owner waits for the reports of the hosts before it refuses to resume a
/// stream that it does not know.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

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
        let resolved = self.resolve_origin(origin.clone());
        if resolved != origin {
            self.reply_version(&host, attempt, &resolved, actions);
        }
        self.stream_requests
            .announced
            .insert(host, (attempt, resolved));
    }

    /// Complete the origin of a stream whose version this owner knows.
    fn resolve_origin(&self, origin: StreamOrigin) -> StreamOrigin {
        match origin {
            StreamOrigin::Unknown(id) => match self.streams.version_of(id) {
                KnownVersion::Version(version) => StreamOrigin::Begun(id, version),
                _ => StreamOrigin::Unknown(id),
            },
            known => known,
        }
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

    /// Hold a permit request to resume an unknown stream while hosts may still report it,
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
        if is_ambiguous || id.is_none() || now >= self.reports_until() {
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
            let origin = self.resolve_origin(held.origin.clone());
            let is_known = origin != held.origin;
            if !is_known && now < self.reports_until() {
                self.stream_requests.held.insert(attempt, held);
                continue;
            }
            let Some(request) = held.request.after_wait(now.since(held.since)) else {
                continue;
            };
            self.reply_version(&held.host, attempt, &origin, actions);
            self.place_stream(now, held.host, request, origin, actions);
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
        match self.resolve_origin(origin) {
            StreamOrigin::Unknown(id) => self.hold_or_refuse(now, host, request, id, actions),
            origin => self.enqueue(now, host, request, Some(origin), actions),
        }
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
        match self.streams.sole_version() {
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
