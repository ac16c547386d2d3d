//! Provides where entry hosts are likely to have idle connections to targets.
//!
//! A connection carries one call at a time and stays idle at its host after a complete
//! answer. Many hosts before many targets seldom meet the same target twice while the
//! connection is kept: at a load of 91 hosts before 145 targets, four of nine calls open
//! a new one. The owner sees each grant and each release, so it knows without any message
//! which connections are likely to be idle.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostName;
use crate::pool_owner::OwnerOptions;
use crate::target::TargetName;

/// How much earlier than the host the owner forgets a connection: the release and the
/// next permit are in transit in between.
const TRANSIT_MARGIN: Duration = Duration::from_millis(200);

/// The maximum number of remembered idle connections. A fleet of 380 hosts that ends
/// 3,300 calls a second has 27,000 within eight seconds; each takes about 150 bytes.
const MAX_RECORDS: usize = 65_536;

/// The times since which the connections of one host to one target are idle, oldest
/// first.
type IdleTimes = VecDeque<Moment>;

/// An `IdleRecord` is a connection that became idle, in the order of time.
#[derive(Debug)]
struct IdleRecord {
    since: Moment,
    host: HostName,
    target: TargetName,
}

/// A `HostConnections` is the idle connections that hosts are likely to have.
///
/// It is an estimate: a target may close a connection early, and a host may close one
/// to stay within its limits. A wrong entry costs one new connection.
#[derive(Debug)]
pub struct HostConnections {
    keep: Duration,
    max_records: usize,
    hosts: HashMap<HostName, HashMap<TargetName, IdleTimes>>,
    /// Every connection that became idle within `keep`, also those in use again.
    records: VecDeque<IdleRecord>,
}

impl HostConnections {
    /// Create an empty table for connections that hosts keep idle for `keep`. At most
    /// `max_records` are remembered; the oldest one is forgotten first.
    pub fn new(keep: Duration, max_records: usize) -> Self {
        HostConnections {
            keep: keep.saturating_sub(TRANSIT_MARGIN),
            max_records,
            hosts: HashMap::new(),
            records: VecDeque::new(),
        }
    }

    /// Create an empty table with the options of an owner.
    pub(in crate::pool_owner) fn of_opts(opts: &OwnerOptions) -> Self {
        HostConnections::new(opts.connection_keep, MAX_RECORDS)
    }

    /// Get whether a table of the options `known` is wrong under `opts`. Nothing is
    /// recorded while the preference is off.
    pub(in crate::pool_owner) fn is_outdated(known: &OwnerOptions, opts: &OwnerOptions) -> bool {
        let is_on = |opts: &OwnerOptions| opts.scheduling.idle_connection_tolerance.is_some();
        known.connection_keep != opts.connection_keep || is_on(known) != is_on(opts)
    }

    /// Record that a host uses a connection to a target, and get whether it was likely
    /// to be an idle one. A host uses its newest idle connection.
    pub fn record_use(&mut self, now: Moment, host: &HostName, target: &TargetName) -> bool {
        self.expire(now);
        let Some(targets) = self.hosts.get_mut(host) else {
            return false;
        };
        let Some(times) = targets.get_mut(target) else {
            return false;
        };
        let found = times.pop_back().is_some();
        if times.is_empty() {
            targets.remove(target);
        }
        found
    }

    /// Record that a host's connection to a target became idle.
    pub fn record_idle(&mut self, now: Moment, host: &HostName, target: &TargetName) {
        self.expire(now);
        if self.max_records == 0 {
            return;
        }
        while self.records.len() >= self.max_records {
            self.forget_first();
        }
        let targets = self.hosts.entry(host.clone()).or_default();
        targets.entry(target.clone()).or_default().push_back(now);
        self.records.push_back(IdleRecord {
            since: now,
            host: host.clone(),
            target: target.clone(),
        });
    }

    /// Get whether a host is likely to have an idle connection to a target.
    pub fn has_idle(&self, now: Moment, host: &HostName, target: &TargetName) -> bool {
        let times = self.hosts.get(host).and_then(|targets| targets.get(target));
        let newest = times.and_then(|times| times.back());
        newest.is_some_and(|since| now.since(*since) < self.keep)
    }

    /// Get the number of connections that are likely to be idle.
    pub fn len(&self) -> usize {
        let hosts = self.hosts.values();
        hosts.flat_map(HashMap::values).map(VecDeque::len).sum()
    }

    /// Get whether no connection is likely to be idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drop the connections of a host.
    pub fn drop_host(&mut self, host: &HostName) {
        self.hosts.remove(host);
    }

    /// Drop the connections to a target.
    pub fn drop_target(&mut self, target: &TargetName) {
        for targets in self.hosts.values_mut() {
            targets.remove(target);
        }
    }

    /// Drop the connections of a host to a target.
    pub fn drop_pair(&mut self, host: &HostName, target: &TargetName) {
        if let Some(targets) = self.hosts.get_mut(host) {
            targets.remove(target);
        }
    }

    fn expire(&mut self, now: Moment) {
        while let Some(first) = self.records.front()
            && now.since(first.since) >= self.keep
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some(IdleRecord {
            since,
            host,
            target,
        }) = self.records.pop_front()
        else {
            return;
        };
        let Some(targets) = self.hosts.get_mut(&host) else {
            return;
        };
        if let Some(times) = targets.get_mut(&target) {
            // Its connection may have been used since, and only later ones be idle.
            if times.front() == Some(&since) {
                times.pop_front();
            }
            if times.is_empty() {
                targets.remove(&target);
            }
        }
        if targets.is_empty() {
            self.hosts.remove(&host);
        }
    }
}
