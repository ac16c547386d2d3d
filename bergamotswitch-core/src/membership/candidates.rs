//! Provides the selection of the hosts that may own a shard.

use super::options::CANDIDATE_COUNT;
use crate::host::{EntryHost, HostName};
use crate::pool::PoolShard;
use crate::rendezvous;

/// The number of candidates taken from the shard's own failure domain. One slot
/// is left for a host elsewhere, because the targets of a domain may keep
/// running when all of its entry hosts fail together.
const LOCAL_COUNT: usize = CANDIDATE_COUNT - 1;

/// Get the hosts that may own a shard, in order of preference.
///
/// Candidates come first from the shard's own failure domain, so that the owner
/// is close to the targets and to the hosts that use them. Ranked over all
/// hosts alike, most owners would be in another region: each request would wait
/// for two round trips between regions, and a partition between regions would
/// leave most shards without an owner.
pub(super) fn candidates<'a>(
    shard: &PoolShard,
    hosts: impl Iterator<Item = &'a EntryHost>,
) -> Vec<HostName> {
    let is_local = |host: &&EntryHost| shard.domain.as_ref() == Some(&host.domain);
    let (local, remote): (Vec<&EntryHost>, Vec<&EntryHost>) = hosts.partition(is_local);
    let mut ranked = rank(shard, &local);
    let mut remote_ranked = rank(shard, &remote);
    if !remote_ranked.is_empty() {
        ranked.truncate(LOCAL_COUNT);
    }
    ranked.append(&mut remote_ranked);
    ranked.truncate(CANDIDATE_COUNT);
    ranked
}

/// Rank hosts of high capacity before the others, since an owner handles every
/// request of its shard. Hosts within a factor of two of the highest capacity
/// count as equal, so that shards are spread over all of them.
fn rank(shard: &PoolShard, hosts: &[&EntryHost]) -> Vec<HostName> {
    let most = hosts.iter().map(|host| host.capacity).max().unwrap_or(0);
    let is_strong = |host: &&&EntryHost| host.capacity * 2 > most || most == 0;
    let (strong, weak): (Vec<&EntryHost>, Vec<&EntryHost>) =
        hosts.iter().partition(|host| is_strong(host));
    let mut ranked = rendezvous::rank(shard, strong.iter().map(|host| &host.name));
    ranked.extend(rendezvous::rank(shard, weak.iter().map(|host| &host.name)));
    ranked
}
