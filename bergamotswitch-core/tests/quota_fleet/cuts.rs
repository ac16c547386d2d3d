//! Provides hosts without a path to the targets, or to the other hosts.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{AttemptEvent, NotSentReason};
use bergamotswitch_core::request::AttemptId;
use bergamotswitch_core::target_path::TargetPath;

use super::setup::index_of;
use super::{CONNECT_REFUSED_AFTER, Delivery, QuotaFleet};

/// The time after which a connection attempt that nobody answers fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A `CutWay` is what connections from a host without a path meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutWay {
    /// No answer.
    Silent,
    /// A refusal.
    Refusing,
}

impl QuotaFleet {
    /// Cut the paths from these hosts to all targets.
    pub fn cut_off(&mut self, hosts: &[usize], way: CutWay) {
        self.cut = hosts.iter().copied().collect();
        self.cut_way = way;
    }

    /// Cut this host off from the other hosts. Callers and targets still reach it, and its
    /// links stay open.
    pub fn isolate(&mut self, index: usize) {
        self.isolated.insert(index);
    }

    /// Connect all hosts again.
    pub fn rejoin(&mut self) {
        self.isolated.clear();
    }

    /// Get whether messages from one host to another one are lost.
    pub(super) fn is_lost(&self, from: usize, to: usize) -> bool {
        from != to && (self.isolated.contains(&from) || self.isolated.contains(&to))
    }

    /// Restore all paths.
    pub fn heal_paths(&mut self) {
        self.cut.clear();
    }

    /// Get the number of runs that used a tunnel since a moment.
    pub fn tunnel_runs_since(&self, since: Moment) -> usize {
        let runs = self.tunnel_runs.iter();
        runs.filter(|(at, _)| *at >= since).count()
    }

    /// Get whether a path from this host leads to the targets.
    pub(super) fn is_path_open(&self, index: usize, path: &TargetPath) -> bool {
        let end = path.tunnel_host().map_or(index, index_of);
        let host = &self.hosts[end];
        let runs = host.core.is_some() && host.paused_queue.is_none();
        !self.cut.contains(&end) && (end == index || runs)
    }

    /// Report the connection of an attempt, as on paths other than the direct one.
    pub(super) fn report_connected(&mut self, index: usize, attempt: AttemptId, path: &TargetPath) {
        if let Some(host) = path.tunnel_host() {
            self.tunnel_runs.push((self.now, index_of(host)));
        }
        if *path != TargetPath::Direct {
            let event = Delivery::Attempt(index, attempt, AttemptEvent::Connected);
            self.post(index, self.latency * 2, event);
        }
    }

    /// Fail an attempt because its path does not lead to the target.
    pub(super) fn fail_on_cut_path(
        &mut self,
        index: usize,
        attempt: AttemptId,
        connect_within: Option<Duration>,
    ) {
        let after = match self.cut_way {
            CutWay::Silent => connect_within.unwrap_or(CONNECT_TIMEOUT),
            CutWay::Refusing => CONNECT_REFUSED_AFTER,
        };
        let event = AttemptEvent::NotSent(NotSentReason::ConnectFailed);
        self.post(index, after, Delivery::Attempt(index, attempt, event));
    }
}
