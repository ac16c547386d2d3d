//! Provides the reports of momentary paces, which targets name in answers to this host.
//!
//! It answers a load of many answers a second, each with a pace: only what the owner can
//! use is reported, and no more than a bounded number a second.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostName;
use crate::target::{MomentaryPace, TargetName};

/// The factor by which a pace differs enough from the last reported one: less changes no
/// decision.
const REPORT_RATIO: f64 = 1.2;

/// The age from which a report is repeated, as a divisor of the duration of a slow moment.
const REPEAT_DIVISOR: u32 = 2;

/// The reports to other hosts per second, and those that may be sent at once. A report
/// takes about 40 bytes.
const REPORTS_PER_SECOND: f64 = 16.0;
const MAX_BURST: f64 = 16.0;

/// What is kept of the burst for news: repeated reports only use the rest.
const NEWS_RESERVE: f64 = 8.0;

/// The minimum interval between two log lines about unreadable paces.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A `SentPace` is the pace of a target that was last reported, and to which owner.
#[derive(Clone, Debug)]
struct SentPace {
    pace: MomentaryPace,
    at: Moment,
    owner: HostName,
}

/// A `PaceReports` is the paces that this host has reported to owners.
#[derive(Debug)]
pub(super) struct PaceReports {
    sent: BTreeMap<TargetName, SentPace>,
    /// The reports that may be sent now.
    level: f64,
    filled_at: Moment,
    unsent: u64,
    malformed: u64,
    logged_at: Option<Moment>,
}

impl Default for PaceReports {
    fn default() -> Self {
        PaceReports {
            sent: BTreeMap::new(),
            level: MAX_BURST,
            filled_at: Moment::START,
            unsent: 0,
            malformed: 0,
            logged_at: None,
        }
    }
}

impl PaceReports {
    /// Get whether a pace is to be reported to the owner of its target, and record that
    /// it was. `is_remote` says whether a report takes room on a link.
    pub(super) fn record(
        &mut self,
        now: Moment,
        target: &TargetName,
        pace: MomentaryPace,
        owner: &HostName,
        (is_remote, slow_moment): (bool, Duration),
    ) -> bool {
        let sent = self.sent.get(target).filter(|sent| sent.owner == *owner);
        let is_news = match sent {
            Some(sent) => differs(sent.pace, pace),
            None => !pace.is_usual(),
        };
        let repeat_after = slow_moment / REPEAT_DIVISOR;
        // Another host may have reported another pace since.
        let is_old = sent.is_none_or(|sent| now.since(sent.at) >= repeat_after);
        if !is_news && !is_old {
            return false;
        }
        if is_remote && !self.take(now, is_news) {
            self.unsent += 1;
            return false;
        }
        let owner = owner.clone();
        let sent = SentPace {
            pace,
            at: now,
            owner,
        };
        self.sent.insert(target.clone(), sent);
        true
    }

    /// Count an unreadable pace, and get whether to log it.
    pub(super) fn record_malformed(&mut self, now: Moment) -> bool {
        self.malformed += 1;
        let is_due = self
            .logged_at
            .is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }

    /// Keep the reports of these targets only.
    pub(super) fn retain(&mut self, is_known: impl Fn(&TargetName) -> bool) {
        self.sent.retain(|target, _| is_known(target));
    }

    /// Get the number of paces that were not reported for the limit of the rate.
    pub(super) fn unsent(&self) -> u64 {
        self.unsent
    }

    /// Get the number of unreadable paces.
    pub(super) fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Take a report from the limit of the rate, if there is room.
    fn take(&mut self, now: Moment, is_news: bool) -> bool {
        let filled = now.since(self.filled_at).as_secs_f64() * REPORTS_PER_SECOND;
        self.level = (self.level + filled).min(MAX_BURST);
        self.filled_at = now;
        let reserve = if is_news { 0.0 } else { NEWS_RESERVE };
        let has_room = self.level - reserve >= 1.0;
        if has_room {
            self.level -= 1.0;
        }
        has_room
    }
}

/// Get whether a pace is another one than the last reported, for any decision.
fn differs(sent: MomentaryPace, pace: MomentaryPace) -> bool {
    let ratio = pace.factor() / sent.factor();
    let is_other = !(1.0 / REPORT_RATIO..REPORT_RATIO).contains(&ratio);
    is_other || sent.is_usual() != pace.is_usual()
}
