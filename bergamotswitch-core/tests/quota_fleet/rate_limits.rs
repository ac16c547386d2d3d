//! Provides targets that name a limit of their request rate in their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::request::AttemptId;
use bergamotswitch_core::target::{NamedLimit, RequestRate};

use super::crashes::CONTACT;
use super::{Delivery, QuotaFleet};

/// The time from the arrival of a request to the head of its answer.
const HEAD_DELAY: Duration = Duration::from_millis(40);

/// The window in which requests are counted, and the time after which a host that was
/// told of a limit counts.
const RATE_WINDOW: Duration = Duration::from_secs(4);
const TOLD_DELAY: Duration = Duration::from_millis(500);

/// How far requests may exceed the limit in one window: a factor and a number.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// A `LimitHistory` is what limited targets have seen.
#[derive(Default)]
pub struct LimitHistory {
    /// When each target first named its limit.
    named_at: BTreeMap<String, Moment>,
    /// When each host was told of the limit of a target.
    told_at: BTreeMap<(String, usize), Moment>,
    /// The arrivals at limited targets, each with its host and the limit.
    arrivals: Vec<(Moment, String, usize, f64)>,
    targets: BTreeMap<AttemptId, String>,
}

impl LimitHistory {
    /// Leave out a host that has restarted or been paused, until it is told again.
    pub(super) fn excuse(&mut self, host: usize) {
        self.told_at.retain(|(_, told), _| *told != host);
    }
}

impl QuotaFleet {
    /// Let a target name this limit in its answers.
    pub fn limit_target(&mut self, target: &str, per_second: f64) {
        let rate = RequestRate::try_from(per_second).expect("a rate");
        let limit = NamedLimit::Rate(rate);
        self.rate_limits.insert(target.to_owned(), limit);
    }

    /// Assert that no target got more requests in a window than its limit allows.
    pub fn assert_within_limits(&self, case: &str) {
        let history = &self.limit_history;
        for (target, named_at) in &history.named_at {
            let bound_from = named_at.plus(CONTACT);
            let counted = history.arrivals.iter().filter(|(at, arrived, host, _)| {
                let told = history.told_at.get(&(target.clone(), *host));
                arrived == target
                    && *at >= bound_from
                    && told.is_some_and(|told| told.plus(TOLD_DELAY) <= *at)
            });
            let counted: Vec<_> = counted.collect();
            for (first, (begin, _, _, _)) in counted.iter().enumerate() {
                let end = begin.plus(RATE_WINDOW);
                let window = counted[first..].iter().take_while(|(at, ..)| *at < end);
                let count = window.clone().count() as f64;
                let highest = window.map(|(.., limit)| *limit).fold(0.0, f64::max);
                let allowed = highest * RATE_WINDOW.as_secs_f64() * FACTOR + SLACK;
                assert!(
                    count <= allowed,
                    "{case}: {target} got {count} requests from {begin:?}, {allowed} allowed"
                );
            }
        }
    }

    /// Get the number of requests that reached a target within this time until now.
    pub fn arrivals_at(&self, target: &str, span: Duration) -> usize {
        let since = self.now.since(Moment::START).saturating_sub(span);
        let since = Moment::START.plus(since);
        let arrivals = self.limit_history.arrivals.iter();
        arrivals
            .filter(|(at, arrived, ..)| *at > since && arrived == target)
            .count()
    }

    /// Get when requests reached a target since a moment.
    pub fn arrival_times(&self, target: &str, since: Moment) -> Vec<Moment> {
        let arrivals = self.limit_history.arrivals.iter();
        let arrivals = arrivals.filter(|(at, arrived, ..)| *at >= since && arrived == target);
        arrivals.map(|(at, ..)| *at).collect()
    }

    /// Get the number of accepted calls that were refused.
    pub fn refused_calls(&self) -> usize {
        let calls = self.calls.values();
        calls.filter(|call| call.refusal.is_some()).count()
    }

    /// Get the number of calls that were refused after a longer wait than this.
    pub fn late_refusals(&self, wait: Duration) -> usize {
        let calls = self.calls.values();
        let waits = calls.filter_map(|call| Some(call.refused_at?.since(call.sent_at)));
        waits.filter(|span| *span > wait).count()
    }

    pub(super) fn name_limit(&mut self, index: usize, attempt: AttemptId, target: &str) {
        let limit = self.rate_limits.get(target).copied();
        let rate = match limit {
            Some(NamedLimit::Rate(rate)) => rate.per_second(),
            Some(NamedLimit::Unreadable) | None => f64::INFINITY,
        };
        let arrival = (self.now, target.to_owned(), index, rate);
        self.limit_history.arrivals.push(arrival);
        let Some(limit) = limit else {
            return;
        };
        let named_at = self.now.plus(HEAD_DELAY);
        let history = &mut self.limit_history;
        history
            .named_at
            .entry(target.to_owned())
            .or_insert(named_at);
        history.targets.insert(attempt, target.to_owned());
        let event = AttemptEvent::LimitNamed(limit);
        let head = Delivery::Attempt(index, attempt, event);
        self.post(index, HEAD_DELAY, head);
    }

    pub(super) fn record_told(&mut self, index: usize, attempt: AttemptId) {
        let history = &mut self.limit_history;
        if let Some(target) = history.targets.get(&attempt) {
            let told = (target.clone(), index);
            history.told_at.entry(told).or_insert(self.now);
        }
    }
}
