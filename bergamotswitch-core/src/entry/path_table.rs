//! Provides the knowledge of a host about its paths to targets.
//!
//! A target that this host cannot connect to has not failed if another host can. The
//! attempt then uses a tunnel of that host, and so do later ones until a direct
//! connection succeeds again. Only a target that no path reaches is reported as
//! unreachable.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::failure_domain::DomainName;
use crate::host::{EntryHost, HostName, Standing};
use crate::rendezvous;
use crate::target::TargetName;
use crate::target_path::TargetPath;

/// How long a direct connection may take if a tunnel can be used instead.
pub(super) const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection through a tunnel may take, the tunnel's setup included.
pub(super) const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum number of tunnels tried for one attempt.
const MAX_TUNNELS: usize = 3;

/// The interval between direct connections that show whether a lost path is back.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// How long a host is not used for tunnels after another one reached a target that it
/// did not reach.
const EXCLUSION: Duration = Duration::from_secs(2);

/// The number of targets without a direct path from which on all paths count as lost,
/// unless a direct one was used successfully since.
const CUT_THRESHOLD: usize = 3;

/// A `PathChange` is a change of what this host knows about its paths.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// A target is reached only through a tunnel of this host.
    Lost(TargetName, HostName),
    /// A target is reached directly again.
    Regained(TargetName),
    /// No target is reached directly; calls use a tunnel of this host.
    AllLost(HostName),
    /// Targets are reached directly again.
    AllRegained,
}

/// A `LostPath` is a target that is not reached directly.
#[derive(Clone, Copy, Debug)]
struct LostPath {
    /// When the attempt started whose direct connection failed.
    since: Moment,
    probe_at: Moment,
}

/// A `PathTable` is what a host knows about its paths to targets.
#[derive(Debug, Default)]
pub(super) struct PathTable {
    /// The hosts whose tunnels may be used, the preferred one first.
    hosts: Vec<HostName>,
    /// Whether the preferred host has reached a target since it was last tried in vain.
    is_confirmed: bool,
    excluded_until: BTreeMap<HostName, Moment>,
    lost: BTreeMap<TargetName, LostPath>,
    /// The time of the next probe, while all direct paths count as lost.
    cut_probe_at: Option<Moment>,
    /// The latest start of an attempt that was answered over a direct path.
    last_direct_start: Moment,
}

impl PathTable {
    /// Set the hosts of the fleet. Hosts of the own and of other failure domains
    /// alternate, since a whole domain may lose its paths. Each host has another order,
    /// so that the tunnels spread over the hosts.
    pub(super) fn set_hosts(
        &mut self,
        own: &HostName,
        domain: Option<&DomainName>,
        hosts: &[EntryHost],
    ) {
        let usable = |host: &&EntryHost| host.standing == Standing::Live && host.name != *own;
        let ranked = |is_near: bool| {
            let side = hosts.iter().filter(usable);
            let side = side.filter(|host| (Some(&host.domain) == domain) == is_near);
            rendezvous::rank_by_key(own.as_str().as_bytes(), side.map(|host| &host.name))
        };
        let preferred = self.hosts.first().cloned();
        let (mut near, mut far) = (ranked(true).into_iter(), ranked(false).into_iter());
        self.hosts.clear();
        loop {
            let pair = [near.next(), far.next()];
            if pair.iter().all(Option::is_none) {
                break;
            }
            self.hosts.extend(pair.into_iter().flatten());
        }
        match preferred.filter(|_| self.is_confirmed) {
            Some(host) if self.hosts.contains(&host) => self.prefer(&host),
            Some(_) | None => self.is_confirmed = false,
        }
        let known = &self.hosts;
        self.excluded_until.retain(|host, _| known.contains(host));
    }

    /// Get whether there is a host whose tunnel could be used.
    pub(super) fn has_tunnels(&self) -> bool {
        !self.hosts.is_empty()
    }

    /// Choose the first path of an attempt.
    pub(super) fn choose(&mut self, now: Moment, target: &TargetName) -> TargetPath {
        let lost = self.lost.get_mut(target).map(|lost| &mut lost.probe_at);
        let Some(probe_at) = self.cut_probe_at.as_mut().or(lost) else {
            return TargetPath::Direct;
        };
        if now >= *probe_at {
            *probe_at = now.plus(PROBE_INTERVAL);
            return TargetPath::Probe;
        }
        self.next_tunnel(now, &[]).unwrap_or(TargetPath::Probe)
    }

    /// Choose the next path of an attempt that could not connect on those tried;
    /// `None` if no path reaches the target.
    pub(super) fn choose_next(&mut self, now: Moment, tried: &[TargetPath]) -> Option<TargetPath> {
        let tunnels = tried.iter().filter_map(TargetPath::tunnel_host).count();
        let next = (tunnels < MAX_TUNNELS).then(|| self.next_tunnel(now, tried));
        let direct = || (tunnels == tried.len()).then_some(TargetPath::Probe);
        let path = next.flatten().or_else(direct);
        if path.is_none() {
            self.record_unreachable(tunnels);
        }
        path
    }

    fn next_tunnel(&self, now: Moment, tried: &[TargetPath]) -> Option<TargetPath> {
        let is_tried = |host: &HostName| tried.iter().any(|path| path.tunnel_host() == Some(host));
        let mut open = self.hosts.iter().filter(|host| !is_tried(host));
        let usable = open.clone().find(|host| {
            let until = self.excluded_until.get(host);
            until.is_none_or(|until| *until <= now)
        });
        let host = usable.or_else(|| open.next())?;
        Some(TargetPath::Tunnel(host.clone()))
    }

    /// Record that no path reached a target. Unless the preferred host is known to
    /// reach targets, the next attempt begins with hosts that were not tried.
    fn record_unreachable(&mut self, tunnels: usize) {
        if !self.is_confirmed && tunnels <= self.hosts.len() {
            self.hosts.rotate_left(tunnels);
        }
        self.is_confirmed = false;
    }

    /// Record that an attempt, started at `started_at`, has connected on the last of
    /// these paths.
    pub(super) fn record_connected(
        &mut self,
        now: Moment,
        target: &TargetName,
        started_at: Moment,
        tried: &[TargetPath],
    ) -> Vec<PathChange> {
        let Some((path, failed)) = tried.split_last() else {
            return Vec::new();
        };
        let Some(host) = path.tunnel_host() else {
            return self.record_direct(target);
        };
        for other in failed.iter().filter_map(TargetPath::tunnel_host) {
            self.exclude(now, other);
        }
        self.prefer(host);
        self.is_confirmed = true;
        let has_failed_directly = failed.iter().any(|path| path.tunnel_host().is_none());
        match has_failed_directly {
            true => self.record_lost(now, target, started_at, host),
            false => Vec::new(),
        }
    }

    fn record_direct(&mut self, target: &TargetName) -> Vec<PathChange> {
        if self.cut_probe_at.take().is_some() {
            self.lost.clear();
            return vec![PathChange::AllRegained];
        }
        let known = self.lost.remove(target);
        known
            .map(|_| PathChange::Regained(target.clone()))
            .into_iter()
            .collect()
    }

    fn record_lost(
        &mut self,
        now: Moment,
        target: &TargetName,
        since: Moment,
        host: &HostName,
    ) -> Vec<PathChange> {
        let probe_at = now.plus(PROBE_INTERVAL);
        let known = self
            .lost
            .insert(target.clone(), LostPath { since, probe_at });
        let mut changes = Vec::new();
        if known.is_none() {
            changes.push(PathChange::Lost(target.clone(), host.clone()));
        }
        let recent = self
            .lost
            .values()
            .filter(|lost| lost.since > self.last_direct_start);
        if self.cut_probe_at.is_none() && recent.count() >= CUT_THRESHOLD {
            self.cut_probe_at = Some(probe_at);
            changes.push(PathChange::AllLost(host.clone()));
        }
        changes
    }

    /// Record that a target answered, over a direct path, an attempt started at
    /// `started_at`.
    pub(super) fn record_answer(&mut self, started_at: Moment) {
        self.last_direct_start = self.last_direct_start.max(started_at);
    }

    /// Do not use a host for tunnels for a while.
    pub(super) fn exclude(&mut self, now: Moment, host: &HostName) {
        self.excluded_until
            .insert(host.clone(), now.plus(EXCLUSION));
    }

    fn prefer(&mut self, host: &HostName) {
        if let Some(index) = self.hosts.iter().position(|known| known == host) {
            self.hosts[..=index].rotate_right(1);
        }
    }

    /// Get whether the direct path to a target counts as lost.
    pub(super) fn is_lost(&self, target: &TargetName) -> bool {
        self.cut_probe_at.is_some() || self.lost.contains_key(target)
    }

    /// Keep the lost paths to these targets only.
    pub(super) fn retain(&mut self, is_known: impl Fn(&TargetName) -> bool) {
        self.lost.retain(|target, _| is_known(target));
    }

    /// Get the number of targets that are not reached directly.
    pub(super) fn lost_count(&self) -> usize {
        self.lost.len()
    }

    /// Get whether all direct paths count as lost.
    pub(super) fn is_cut_off(&self) -> bool {
        self.cut_probe_at.is_some()
    }
}
