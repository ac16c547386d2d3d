//! Provides the handling of resumable streams, which continue only at targets of the
//! version that began them.

use super::EntryDispatcher;
use super::retries::has_streamed;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::{AttemptStage, RunningAttempt};
use crate::entry::request_table::RequestRecord;
use crate::host::HostName;
use crate::incident::Incident;
use crate::permit::OwnerMessage;
use crate::pool::{PoolName, PoolShard};
use crate::refusal::RefusalReason;
use crate::request::{AttemptId, RequestId};
use crate::stream_table::{StreamOrigin, StreamStart, StreamTable, VersionStreams};
use crate::target::{TargetName, TargetVersion};

impl EntryDispatcher {
    /// Get what this host knows of the version that began a stream.
    pub(super) fn stream_origin(&self, pool: &PoolName, start: StreamStart) -> StreamOrigin {
        let id = match start {
            StreamStart::New(id) => return StreamOrigin::Unbegun(id),
            StreamStart::Resumed(id) => id,
        };
        let table = self.streams.get(pool);
        let begun = id.and_then(|id| table?.begun_version(id));
        match begun {
            Some(version) => StreamOrigin::Begun(id, version.clone()),
            None => StreamOrigin::Unknown(id),
        }
    }

    /// Get whether a target has the version that began a stream, as far as that is known.
    pub(super) fn fits_stream(&self, record: &RequestRecord, target: &TargetName) -> bool {
        let version = record.stream.as_ref().and_then(StreamOrigin::version);
        let published = self.pools.target(target);
        match (version, published) {
            (Some(version), Some(published)) => published.version == *version,
            _ => true,
        }
    }

    /// Get the reason to refuse a stream that got a permit for this target: nobody knows
    /// its version, as with an owner of an earlier release, or the owner has no other
    /// target to grant.
    pub(super) fn stream_refusal(
        &self,
        now: Moment,
        record: &RequestRecord,
        target: &TargetName,
    ) -> Option<RefusalReason> {
        if let Some(StreamOrigin::Unknown(_)) = &record.stream {
            let table = self.streams.get(&record.submission.pool);
            let is_certain = table.is_some_and(|table| table.sole_version(now).is_some());
            return (!is_certain).then_some(RefusalReason::StreamUnknown);
        }
        let is_repeated = record.avoid.contains(target);
        let is_refused = is_repeated && !self.fits_stream(record, target);
        is_refused.then_some(RefusalReason::VersionGone)
    }

    /// Get whether a stream that has begun can continue: its version is known and has a
    /// target.
    pub(super) fn may_continue(&self, record: &RequestRecord, running: &RunningAttempt) -> bool {
        match &record.stream {
            Some(StreamOrigin::Begun(_, version)) => {
                let targets = self.pools.targets_of(&record.submission.pool).iter();
                let mut usable = targets.filter(|target| !self.pools.is_draining(&target.name));
                usable.any(|target| target.version == *version)
            }
            Some(StreamOrigin::Unknown(_)) => !has_streamed(record, running),
            Some(StreamOrigin::Unbegun(_)) | None => true,
        }
    }

    /// Set the version of a resumed stream, as known to the owner.
    pub(super) fn set_stream_version(&mut self, attempt: AttemptId, version: TargetVersion) {
        let Some(mut entry) = self.requests.take_attempt(attempt) else {
            return;
        };
        if let Some(StreamOrigin::Unknown(id)) = entry.record.stream {
            entry.record.stream = Some(StreamOrigin::Begun(id, version));
        }
        self.requests.put(entry);
    }

    /// Record the version at which a stream has begun or continued, when an event is passed
    /// on.
    pub(super) fn record_stream_version(
        &mut self,
        now: Moment,
        record: &mut RequestRecord,
        running: &RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(origin) = &record.stream else {
            return;
        };
        let id = origin.id();
        if matches!(
            record.submission.options.stream,
            Some(StreamStart::Resumed(_))
        ) {
            let version = running.version.clone();
            let incident = Incident::StreamTakenUp;
            actions.push(EntryAction::LogStream(incident, record.id, version));
        }
        let version = match origin {
            StreamOrigin::Begun(_, version) if running.version.as_ref() != Some(version) => None,
            _ => running.version.clone(),
        };
        let Some(version) = version else {
            return self.mark_ambiguous(now, record, actions);
        };
        if let Some(id) = id {
            let deadline_in = record.deadline.since(now);
            let table = self.stream_table(&record.submission.pool);
            table.record(now, id, Some(version.clone()), true, deadline_in);
        }
        record.stream = Some(StreamOrigin::Begun(id, version));
    }

    /// Record that the version of a stream is ambiguous, and report it to the owner.
    fn mark_ambiguous(
        &mut self,
        now: Moment,
        record: &mut RequestRecord,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = record.stream.as_ref().and_then(StreamOrigin::id);
        record.stream = Some(StreamOrigin::Unknown(id));
        let Some(id) = id else {
            return;
        };
        let deadline_in = record.deadline.since(now);
        let table = self.stream_table(&record.submission.pool);
        table.record(now, id, None, true, deadline_in);
        let streams = table.report_of(now, &[id]);
        if let Some(owner) = self.owners.get(&record.shard) {
            let shard = record.shard.clone();
            let message = OwnerMessage::StreamVersions { shard, streams };
            actions.push(EntryAction::Send(owner.clone(), message));
        }
    }

    /// Get the published version of a target.
    pub(super) fn published_version(&self, target: &TargetName) -> Option<TargetVersion> {
        let published = self.pools.target(target);
        published.map(|target| target.version.clone())
    }

    /// Log the refusal of a stream for want of its version.
    pub(super) fn log_missing_version(
        &self,
        record: &RequestRecord,
        reason: RefusalReason,
        actions: &mut Vec<EntryAction>,
    ) {
        let is_missing = matches!(
            reason,
            RefusalReason::StreamUnknown | RefusalReason::VersionGone
        );
        if is_missing {
            let version = record.stream.as_ref().and_then(StreamOrigin::version);
            let incident = Incident::StreamVersionMissing;
            actions.push(EntryAction::LogStream(
                incident,
                record.id,
                version.cloned(),
            ));
        }
    }

    fn stream_table(&mut self, pool: &PoolName) -> &mut StreamTable {
        self.streams.entry(pool.clone()).or_default()
    }

    /// Update the versions of the published targets. A stream that runs at a target whose
    /// version has changed may have begun at either version.
    pub(super) fn review_streams(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        for pool in self.pools.iter() {
            let versions = pool.targets.iter().map(|target| &target.version);
            let table = self.streams.entry(pool.name.clone()).or_default();
            table.publish(now, versions);
            table.expire(now);
        }
        for id in self.changed_streams() {
            let Some(mut entry) = self.requests.take(id) else {
                continue;
            };
            if let AttemptStage::Running(running) = &mut entry.stage {
                running.version = None;
                if has_streamed(&entry.record, running) {
                    self.mark_ambiguous(now, &mut entry.record, actions);
                }
            }
            self.requests.put(entry);
        }
    }

    /// Forget the streams that can no longer be resumed.
    pub(super) fn expire_streams(&mut self, now: Moment) {
        for table in self.streams.values_mut() {
            table.expire(now);
        }
    }

    /// Get the streams at targets that are published with another version than at the
    /// start of the attempt.
    fn changed_streams(&self) -> Vec<RequestId> {
        let streams = self.requests.iter().filter(|e| e.record.stream.is_some());
        let changed = streams.filter(|entry| match &entry.stage {
            AttemptStage::Running(running) => {
                let published = self.pools.target(&running.permit.target);
                let published = published.map(|target| &target.version);
                published.is_some()
                    && running.version.is_some()
                    && published != running.version.as_ref()
            }
            AttemptStage::Waiting(_) => false,
        });
        changed.map(|entry| entry.record.id).collect()
    }

    /// Add the streams that an owner has reported to this host, which may report them to
    /// the next owner.
    pub(super) fn keep_streams(
        &mut self,
        now: Moment,
        pool: &PoolName,
        reports: &[VersionStreams],
    ) {
        let table = self.stream_table(pool);
        table.expire(now);
        table.merge(now, reports);
    }

    /// Report the known streams of a shard to its new owner.
    pub(super) fn report_streams(
        &self,
        now: Moment,
        shard: &PoolShard,
        owner: &HostName,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(table) = self.streams.get(&shard.pool) else {
            return;
        };
        for streams in table.report(now) {
            let shard = shard.clone();
            let message = OwnerMessage::StreamVersions { shard, streams };
            actions.push(EntryAction::Send(owner.clone(), message));
        }
    }
}
