//! Provides rendezvous hashing: hosts that know the same host list compute the
//! same ranking for a key, and a host that joins or leaves moves only the keys
//! that it is or was ranked first for.

use xxhash_rust::xxh3::Xxh3;

use crate::host::HostName;
use crate::pool::PoolShard;

/// Separates the parts of a key. No name contains it, so different keys cannot
/// be concatenated to the same bytes.
const SEPARATOR: &[u8] = &[0];

/// Get the score of a host for a key. The host with the highest score ranks
/// first.
pub fn score(key: &[u8], host: &HostName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key);
    hasher.update(SEPARATOR);
    hasher.update(host.as_str().as_bytes());
    hasher.digest()
}

/// Get the hosts ranked by their scores for a key, highest first.
pub fn rank_by_key<'a>(key: &[u8], hosts: impl Iterator<Item = &'a HostName>) -> Vec<HostName> {
    let mut scored: Vec<(u64, &HostName)> = hosts.map(|host| (score(key, host), host)).collect();
    // Equal scores are ordered by name, so that the ranking is the same on
    // every host.
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.dedup_by(|a, b| a.1 == b.1);
    scored.into_iter().map(|(_, host)| host.clone()).collect()
}

/// Get the hosts ranked by their preference as owner of the shard, highest
/// first.
pub fn rank<'a>(shard: &PoolShard, hosts: impl Iterator<Item = &'a HostName>) -> Vec<HostName> {
    let mut key = shard.pool.as_str().as_bytes().to_vec();
    if let Some(domain) = &shard.domain {
        key.extend_from_slice(SEPARATOR);
        key.extend_from_slice(domain.as_str().as_bytes());
    }
    rank_by_key(&key, hosts)
}
