//! Provides the versions of streams by what targets hold in their caches.
//!
//! After the loss of all hosts no host knows which version began a stream, but the target
//! that ran it still holds the part of the prompt that is the stream's own. That part may be
//! a session's, which targets of other versions hold from earlier requests, so a stream is
//! taken for that of one version only if no target of another one can have run it and lost
//! it since.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::request::PrefixHash;
use crate::target::{PoolTarget, TargetName, TargetVersion};

/// How long the answers of all targets are waited for.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// The minimum time between two reads of all caches, and how long a read is used.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// How long a target that ended before its cache was read may have run a stream that is
/// resumed.
const LOSS_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of parts of prompts that are kept.
const MAX_PARTS: usize = 262_144;

/// A `CachedTarget` is a target whose cache has been or is to be read.
#[derive(Debug)]
struct CachedTarget {
    version: TargetVersion,
    started_at_ms: Option<u64>,
    /// Whether it has told what it holds since it started.
    is_read: bool,
    /// Whether it still accepts requests.
    is_published: bool,
}

/// A `CachedStreams` is which versions' targets hold the own parts of prompts, as of the
/// reads of their caches.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct CachedStreams {
    read_at: Option<Moment>,
    targets: BTreeMap<TargetName, CachedTarget>,
    /// The targets that have not answered the last read.
    unanswered: BTreeSet<TargetName>,
    /// Until when targets of a version count as possible origins that cannot be asked any
    /// more.
    lost: BTreeMap<TargetVersion, Moment>,
    holders: HashMap<PrefixHash, BTreeSet<TargetVersion>>,
}

impl CachedStreams {
    /// Update the targets. One that ended or restarted before its cache was read may have
    /// run any stream.
    pub fn publish<'a>(&mut self, now: Moment, published: impl Iterator<Item = &'a PoolTarget>) {
        for target in self.targets.values_mut() {
            target.is_published = false;
        }
        for target in published {
            let published = CachedTarget {
                version: target.version.clone(),
                started_at_ms: target.started_at_ms,
                is_read: false,
                is_published: true,
            };
            match self.targets.get_mut(&target.name) {
                Some(known)
                    if known.started_at_ms == published.started_at_ms
                        && known.version == published.version =>
                {
                    known.is_published = true;
                }
                _ => {
                    let former = self.targets.insert(target.name.clone(), published);
                    self.unanswered.remove(&target.name);
                    self.record_loss(now, former);
                }
            }
        }
        let ended = self
            .targets
            .extract_if(.., |_, target| !target.is_published);
        let ended: Vec<(TargetName, CachedTarget)> = ended.collect();
        for (name, target) in ended {
            self.unanswered.remove(&name);
            self.record_loss(now, Some(target));
        }
        self.lost.retain(|_, until| now < *until);
    }

    fn record_loss(&mut self, now: Moment, former: Option<CachedTarget>) {
        if let Some(former) = former.filter(|former| !former.is_read) {
            self.lost.insert(former.version, now.plus(LOSS_RETENTION));
        }
    }

    /// Get whether the caches should be read for a part that is not known.
    pub fn wants_read(&self, now: Moment) -> bool {
        self.read_at
            .is_none_or(|read_at| now >= read_at.plus(READ_INTERVAL))
    }

    /// Get whether the caches have never been read.
    pub fn is_unread(&self) -> bool {
        self.read_at.is_none()
    }

    /// Begin a read of the caches of all targets; get their names.
    pub fn begin_read(&mut self, now: Moment) -> &BTreeSet<TargetName> {
        self.read_at = Some(now);
        self.unanswered = self.targets.keys().cloned().collect();
        &self.unanswered
    }

    /// Record the parts that a target holds; `None` if it cannot tell.
    pub fn record(&mut self, name: &TargetName, parts: Option<&[PrefixHash]>) {
        self.unanswered.remove(name);
        let (Some(parts), Some(target)) = (parts, self.targets.get_mut(name)) else {
            return;
        };
        target.is_read = true;
        for part in parts {
            if self.holders.len() >= MAX_PARTS && !self.holders.contains_key(part) {
                continue;
            }
            let versions = self.holders.entry(*part).or_default();
            versions.insert(target.version.clone());
        }
    }

    /// Get whether answers are still awaited.
    pub fn is_reading(&self, now: Moment) -> bool {
        let is_early = self
            .read_at
            .is_some_and(|read_at| now < read_at.plus(READ_TIMEOUT));
        is_early && !self.unanswered.is_empty()
    }

    /// Get the version that began a stream: its targets alone hold the stream's own part of
    /// the prompt, and no target of another version can have lost it since the stream began,
    /// which was no earlier than `begun_after_ms` in Unix time.
    pub fn version_of(
        &self,
        now: Moment,
        part: PrefixHash,
        begun_after_ms: Option<u64>,
    ) -> Option<&TargetVersion> {
        if self.wants_read(now) {
            return None;
        }
        let mut versions = self.holders.get(&part)?.iter();
        let version = versions.next().filter(|_| versions.next().is_none())?;
        let mut lost = self.lost.iter().filter(|(_, until)| now < **until);
        let is_lost = lost.any(|(other, _)| other != version);
        let others = self.targets.values();
        let mut others = others.filter(|target| target.version != *version);
        let is_sole = !is_lost && others.all(|target| target.has_kept(begun_after_ms));
        is_sole.then_some(version)
    }
}

impl CachedTarget {
    /// Get whether the target has told what it holds, and has run since before the given
    /// time. Without a start time, a restart cannot be detected.
    fn has_kept(&self, since_ms: Option<u64>) -> bool {
        let is_late = match (self.started_at_ms, since_ms) {
            (Some(started), Some(since)) => started > since,
            _ => false,
        };
        self.is_read && !is_late
    }
}
