//! Provides the copies of an owner's record of streams at the hosts that may become the
//! next owner.
//!
//! An owner and the host that runs a stream may be lost together. The copies are kept only
//! while targets of several versions may have streams.

use std::collections::{BTreeMap, BTreeSet};

use super::core::NodeCore;
use crate::clock::Moment;
use crate::entry::EntryEvent;
use crate::host::HostName;
use crate::permit::OwnerMessage;
use crate::pool::PoolShard;

/// A `StreamBackups` is the hosts that have a complete copy, by shard.
#[derive(Debug, Default)]
pub(super) struct StreamBackups {
    hosts: BTreeMap<PoolShard, BTreeSet<HostName>>,
}

impl NodeCore {
    /// Send what the owners of this host have recorded since the last call to the other
    /// candidates of their shards, and all of it to those without a copy.
    pub(super) fn share_streams(&mut self, now: Moment) {
        let unshared = self.shards.take_unshared_streams(now);
        let mut backups = std::mem::take(&mut self.stream_backups.hosts);
        for (shard, fresh) in unshared {
            let current = self.stream_candidates(&shard);
            let former = backups.remove(&shard).unwrap_or_default();
            for host in &current {
                match former.contains(host) {
                    false => self.send_stream_report(now, &shard, host),
                    true if fresh.is_empty() => {}
                    true => {
                        let message = OwnerMessage::StreamVersions {
                            shard: shard.clone(),
                            streams: fresh.clone(),
                        };
                        self.send_to_owner(host, message);
                    }
                }
            }
            self.stream_backups.hosts.insert(shard, current);
        }
    }

    /// Get the other candidates of a shard that are connected.
    fn stream_candidates(&self, shard: &PoolShard) -> BTreeSet<HostName> {
        let connected: BTreeSet<&HostName> = self.membership.connected_hosts().collect();
        let candidates = self.membership.key_quorum(shard).candidates;
        let others = candidates.into_iter();
        others
            .filter(|host| *host != self.identity.host && connected.contains(host))
            .collect()
    }

    /// Send all streams known to the owner of a shard to another host.
    pub(super) fn send_stream_report(&mut self, now: Moment, shard: &PoolShard, host: &HostName) {
        for streams in self.shards.stream_report(now, shard) {
            let message = OwnerMessage::StreamVersions {
                shard: shard.clone(),
                streams,
            };
            self.send_to_owner(host, message);
        }
    }

    /// Keep the streams known to the owner of a shard that ceases to act.
    pub(super) fn keep_stream_report(&mut self, now: Moment, shard: &PoolShard) {
        for streams in self.shards.stream_report(now, shard) {
            self.notify_entry(now, EntryEvent::Streams(shard.pool.clone(), streams));
        }
    }
}
