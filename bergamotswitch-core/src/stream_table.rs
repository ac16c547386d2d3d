//! Provides the record of the software versions at which resumable streams began.
//!
//! The output of two versions does not fit together, so a stream continues only at the
//! version that began it. A stream is identified by the caller's id of the attempt that
//! began it, which callers name when they resume the stream at any host.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::target::TargetVersion;

/// How long a stream may be resumed after the deadline of its last attempt, and a version
/// that is no longer published may still have streams.
const RESUME_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of streams in a table. Beyond it, those that expire first are
/// forgotten.
const MAX_STREAMS: usize = 65_536;

/// The maximum number of streams per message.
const STREAMS_PER_MESSAGE: usize = 4_096;

/// A `StreamId` identifies a stream among those of all client accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// Get the id of the stream that an attempt of an account's caller began.
    pub fn new(account: &AccountName, attempt: &str) -> Self {
        let mut hash = Xxh3::new();
        hash.update(account.as_str().as_bytes());
        hash.update(b"\n");
        hash.update(attempt.as_bytes());
        StreamId(hash.digest())
    }
}

/// A `StreamStart` is whether a call begins a stream or resumes one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamStart {
    /// The call begins this stream.
    New(StreamId),
    /// The call resumes this stream; `None` if it does not name a valid one.
    Resumed(Option<StreamId>),
}

/// A `StreamOrigin` is what an entry host knows of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// The caller has no event of this stream, which may begin at any version.
    Unbegun(StreamId),
    /// The stream began at this version; the id is absent if its caller named none.
    Begun(Option<StreamId>, TargetVersion),
    /// The caller has events from a version that the host does not know.
    Unknown(Option<StreamId>),
}

impl StreamOrigin {
    /// Get the stream, if its caller named it.
    pub fn id(&self) -> Option<StreamId> {
        match self {
            StreamOrigin::Unbegun(id) => Some(*id),
            StreamOrigin::Begun(id, _) | StreamOrigin::Unknown(id) => *id,
        }
    }

    /// Get the version that began the stream, if it is known.
    pub fn version(&self) -> Option<&TargetVersion> {
        match self {
            StreamOrigin::Begun(_, version) => Some(version),
            StreamOrigin::Unbegun(_) | StreamOrigin::Unknown(_) => None,
        }
    }
}

/// A `StreamEntry` is one stream of a [`VersionStreams`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEntry {
    /// The stream.
    pub id: StreamId,
    /// Whether an event was passed on. Otherwise the stream has only got a permit for a
    /// target of the version.
    pub is_begun: bool,
    /// For how long the stream may be resumed, in seconds.
    pub seconds_left: u16,
}

/// A `VersionStreams` is the streams that began at one version, as reported to another
/// host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStreams {
    /// The version; `None` for streams whose version is ambiguous.
    pub version: Option<TargetVersion>,
    /// For how long the version may have further streams, in seconds; 0 if the report does
    /// not say so.
    pub seconds_left: u16,
    /// The streams.
    pub streams: Vec<StreamEntry>,
}

impl VersionStreams {
    /// Get whether the report says that its sender has reported all versions that may have
    /// streams.
    fn is_complete(&self) -> bool {
        self.version.is_none() && self.streams.is_empty() && self.seconds_left > 0
    }
}

/// A `StreamRecord` is what is known of one stream.
#[derive(Clone, Debug)]
struct StreamRecord {
    version: Option<TargetVersion>,
    is_begun: bool,
    expires_at: Moment,
}

/// A `KnownVersion` is the version at which a stream may continue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownVersion {
    /// The version that began the stream.
    Version(TargetVersion),
    /// The version is ambiguous: the target changed it while the stream began.
    Ambiguous,
    /// The stream is not known.
    Unknown,
}

/// A `StreamTable` is the streams of one pool and the versions that may have some.
#[derive(Debug, Default)]
pub struct StreamTable {
    streams: HashMap<StreamId, StreamRecord>,
    expiries: BTreeSet<(Moment, StreamId)>,
    /// The versions of the published targets.
    published: BTreeSet<TargetVersion>,
    /// The versions that are no longer published, with the end of their retention.
    former: BTreeMap<TargetVersion, Moment>,
    /// The time from which on the versions include all that may have streams; `None` until
    /// versions are known.
    complete_from: Option<Moment>,
}

impl StreamTable {
    /// Set the versions of the published targets.
    pub fn publish<'a>(&mut self, now: Moment, versions: impl Iterator<Item = &'a TargetVersion>) {
        let published: BTreeSet<TargetVersion> = versions.cloned().collect();
        let removed = self.published.difference(&published);
        let until = now.plus(RESUME_RETENTION);
        self.former
            .extend(removed.map(|version| (version.clone(), until)));
        self.published = published;
        self.complete_from.get_or_insert(until);
    }

    /// Record that a stream got a permit for a target of this version (`is_begun` is
    /// false), or that an event of that target was passed on.
    pub fn record(
        &mut self,
        now: Moment,
        id: StreamId,
        version: Option<TargetVersion>,
        is_begun: bool,
        deadline_in: Duration,
    ) {
        let expires_at = now.plus(deadline_in + RESUME_RETENTION);
        self.insert(id, version, is_begun, expires_at);
    }

    fn insert(
        &mut self,
        id: StreamId,
        version: Option<TargetVersion>,
        is_begun: bool,
        expires_at: Moment,
    ) {
        let mut record = StreamRecord {
            version,
            is_begun,
            expires_at,
        };
        if let Some(known) = self.streams.get(&id) {
            self.expiries.remove(&(known.expires_at, id));
            record.expires_at = record.expires_at.max(known.expires_at);
            match (known.is_begun, is_begun) {
                (true, true) if known.version != record.version => record.version = None,
                (true, false) => {
                    record.version = known.version.clone();
                    record.is_begun = true;
                }
                _ => {}
            }
        }
        self.expiries.insert((record.expires_at, id));
        self.streams.insert(id, record);
        while self.streams.len() > MAX_STREAMS {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, id)) = self.expiries.pop_first() {
            self.streams.remove(&id);
        }
    }

    /// Forget the streams and the versions whose retention is over.
    pub fn expire(&mut self, now: Moment) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            self.drop_first();
        }
        self.former.retain(|_, until| now < *until);
    }

    /// Get the version that began a stream, as far as it was recorded.
    pub fn recorded_version(&self, id: StreamId) -> KnownVersion {
        match self.streams.get(&id).map(|record| &record.version) {
            Some(Some(version)) => KnownVersion::Version(version.clone()),
            Some(None) => KnownVersion::Ambiguous,
            None => KnownVersion::Unknown,
        }
    }

    /// Get the version of a stream of which an event was passed on. A permit alone may be
    /// followed by one for another version, which is not recorded here yet.
    pub fn begun_version(&self, id: StreamId) -> Option<&TargetVersion> {
        let record = self.streams.get(&id)?;
        record.version.as_ref().filter(|_| record.is_begun)
    }

    /// Get the version of a stream: the recorded one, or the only one that may have
    /// streams.
    pub fn version_of(&self, now: Moment, id: Option<StreamId>) -> KnownVersion {
        let recorded = id.map(|id| self.recorded_version(id));
        match recorded.unwrap_or(KnownVersion::Unknown) {
            KnownVersion::Unknown => match self.sole_version(now) {
                Some(version) => KnownVersion::Version(version.clone()),
                None => KnownVersion::Unknown,
            },
            known => known,
        }
    }

    /// Get the version that alone may have streams. A host that has just started does not
    /// know which versions there were before.
    pub fn sole_version(&self, now: Moment) -> Option<&TargetVersion> {
        self.only_version().filter(|_| self.is_complete(now))
    }

    /// Get whether the known versions include all that may have streams.
    pub fn is_complete(&self, now: Moment) -> bool {
        self.complete_from.is_some_and(|from| now >= from)
    }

    /// Get the version, if no other one is known.
    pub fn only_version(&self) -> Option<&TargetVersion> {
        let mut versions = self.versions();
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    fn versions(&self) -> impl Iterator<Item = &TargetVersion> {
        self.published.iter().chain(self.former.keys())
    }

    /// Get all that is known, in parts for one message each.
    pub fn report(&self, now: Moment) -> Vec<Vec<VersionStreams>> {
        let streams: Vec<StreamId> = self.streams.keys().copied().collect();
        let mut parts: Vec<Vec<VersionStreams>> = streams
            .chunks(STREAMS_PER_MESSAGE)
            .map(|part| self.report_of(now, part))
            .collect();
        let until = now.plus(RESUME_RETENTION);
        let published = self.published.iter().map(|version| (version, until));
        let former = self.former.iter().map(|(version, until)| (version, *until));
        let versions = published
            .chain(former)
            .map(|(version, until)| VersionStreams {
                version: Some(version.clone()),
                seconds_left: whole_seconds(until.since(now)),
                streams: Vec::new(),
            });
        let completeness = self.is_complete(now).then(|| VersionStreams {
            version: None,
            seconds_left: whole_seconds(RESUME_RETENTION),
            streams: Vec::new(),
        });
        let versions: Vec<VersionStreams> = versions.chain(completeness).collect();
        if !versions.is_empty() {
            parts.insert(0, versions);
        }
        parts
    }

    /// Get what is known of these streams, by version.
    pub fn report_of(&self, now: Moment, streams: &[StreamId]) -> Vec<VersionStreams> {
        let mut by_version: BTreeMap<&Option<TargetVersion>, Vec<StreamEntry>> = BTreeMap::new();
        for id in streams {
            let Some(record) = self.streams.get(id) else {
                continue;
            };
            let left = record.expires_at.since(now);
            by_version
                .entry(&record.version)
                .or_default()
                .push(StreamEntry {
                    id: *id,
                    is_begun: record.is_begun,
                    seconds_left: whole_seconds(left),
                });
        }
        let reports = by_version.into_iter();
        reports
            .map(|(version, streams)| VersionStreams {
                version: version.clone(),
                seconds_left: 0,
                streams,
            })
            .collect()
    }

    /// Add what another host has reported.
    pub fn merge(&mut self, now: Moment, reports: &[VersionStreams]) {
        for report in reports {
            if report.is_complete() {
                self.complete_from = Some(now);
            }
            if let Some(version) = &report.version
                && report.seconds_left > 0
                && !self.published.contains(version)
            {
                let until = now.plus(Duration::from_secs(report.seconds_left.into()));
                let known = self.former.entry(version.clone()).or_insert(until);
                *known = until.max(*known);
            }
            for stream in &report.streams {
                let left = Duration::from_secs(stream.seconds_left.into());
                let version = report.version.clone();
                self.insert(stream.id, version, stream.is_begun, now.plus(left));
            }
        }
    }

    /// Get the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Get whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

fn whole_seconds(span: Duration) -> u16 {
    u16::try_from(span.as_secs()).unwrap_or(u16::MAX)
}
