//! Provides the choice of the hosts that may own a shard.

use super::options::CANDIDATE_COUNT;
use crate::host::{EntryHost, HostName};
use crate::pool::PoolShard;
use crate::rendezvous;

/// The candidates that stand in the shard's own failure domain. One place is
/// left for a host elsewhere: where a domain's entry hosts share a rack that
/// dies, its targets go on and still need an owner.
const LOCAL_COUNT: usize = CANDIDATE_COUNT - 1;

/// Get the hosts that may own a shard, first choice first.
///
/// The owner of one domain's targets stands in that domain as long as a host
/// lives there. Ranked over all hosts alike, most owners would stand in
/// another region than the targets and the hosts that ask: every request
/// would wait for two trips between regions, and regions that lose each other
/// would leave most shards without an owner.
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

/// Rank strong hosts before weak ones: an owner hears of every request of its
/// shard. Those within a factor of two of the strongest count alike, so that
/// shards are spread over all of them.
fn rank(shard: &PoolShard, hosts: &[&EntryHost]) -> Vec<HostName> {
    let most = hosts.iter().map(|host| host.capacity).max().unwrap_or(0);
    let is_strong = |host: &&&EntryHost| host.capacity * 2 > most || most == 0;
    let (strong, weak): (Vec<&EntryHost>, Vec<&EntryHost>) =
        hosts.iter().partition(|host| is_strong(host));
    let mut ranked = rendezvous::rank(shard, strong.iter().map(|host| &host.name));
    ranked.extend(rendezvous::rank(shard, weak.iter().map(|host| &host.name)));
    ranked
}
