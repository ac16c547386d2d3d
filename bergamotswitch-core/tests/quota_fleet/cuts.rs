//! Provides hosts without a path to the targets.

use std::time::Duration;

use bergamotswitch_core::entry::{AttemptEvent, NotSentReason};
use bergamotswitch_core::request::AttemptId;

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

    /// Fail an attempt because its host has no path to the target.
    pub(super) fn fail_on_cut_path(&mut self, index: usize, attempt: AttemptId) {
        let after = match self.cut_way {
            CutWay::Silent => CONNECT_TIMEOUT,
            CutWay::Refusing => CONNECT_REFUSED_AFTER,
        };
        let event = AttemptEvent::NotSent(NotSentReason::ConnectFailed);
        self.post(index, after, Delivery::Attempt(index, attempt, event));
    }
}
