//! Provides the versions of streams by what targets hold in their caches.
//!
//! After the loss of all hosts no host knows which version began a stream, but the target
//! that ran it still holds the part of the prompt that is the stream's own.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::request::PrefixHash;
use crate::target::{TargetName, TargetVersion};

/// How long the answers of all targets are waited for.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// The minimum time between two reads of all caches.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// A `CachedStreams` is which versions' targets hold the own parts of prompts, as of the
/// last read of their caches.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct CachedStreams {
    read_at: Option<Moment>,
    /// The targets that have not answered, with their versions.
    unanswered: BTreeMap<TargetName, TargetVersion>,
    /// Those of them that cannot tell what they hold.
    failed: BTreeSet<TargetName>,
    holders: HashMap<PrefixHash, BTreeSet<TargetVersion>>,
}

impl CachedStreams {
    /// Get whether the caches should be read for a part that is not known.
    pub fn wants_read(&self, now: Moment) -> bool {
        self.read_at
            .is_none_or(|read_at| now >= read_at.plus(READ_INTERVAL))
    }

    /// Begin a read of the caches of these targets.
    pub fn begin_read(
        &mut self,
        now: Moment,
        targets: impl Iterator<Item = (TargetName, TargetVersion)>,
    ) {
        *self = CachedStreams {
            read_at: Some(now),
            unanswered: targets.collect(),
            ..CachedStreams::default()
        };
    }

    /// Record the parts that a target holds; `None` if it cannot tell.
    pub fn record(&mut self, target: &TargetName, parts: Option<&[PrefixHash]>) {
        let Some(parts) = parts else {
            self.failed.insert(target.clone());
            return;
        };
        let Some(version) = self.unanswered.remove(target) else {
            return;
        };
        for part in parts {
            let versions = self.holders.entry(*part).or_default();
            versions.insert(version.clone());
        }
    }

    /// Get whether answers are still awaited.
    pub fn is_reading(&self, now: Moment) -> bool {
        let is_early = self
            .read_at
            .is_some_and(|read_at| now < read_at.plus(READ_TIMEOUT));
        let mut awaited = self.unanswered.keys();
        is_early && awaited.any(|target| !self.failed.contains(target))
    }

    /// Get the version whose targets alone hold a part. A target of another version that has
    /// not answered may hold it too.
    pub fn version_of(&self, part: PrefixHash) -> Option<&TargetVersion> {
        let mut versions = self.holders.get(&part)?.iter();
        let version = versions.next()?;
        let is_sole =
            versions.next().is_none() && self.unanswered.values().all(|other| other == version);
        is_sole.then_some(version)
    }
}
