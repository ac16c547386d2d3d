//! Provides targets that say in their answers that they leave, or ask for rest.

use std::collections::BTreeMap;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::request::AttemptId;

use super::{Delivery, QuotaFleet};

/// The time from the arrival of a request to the head of its answer.
const HEAD_DELAY: Duration = Duration::from_millis(20);

/// How long after its notice a leaving target may get requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// How long after a request for rest requests may be on their way.
const REST_DELAY: Duration = Duration::from_millis(500);

/// The requests that may reach a target from one host in one rest.
const REST_SLACK: usize = 2;

/// A `NoticeHistory` is what targets have said, and what they got afterwards.
#[derive(Default)]
pub struct NoticeHistory {
    /// When each host was told first that a target leaves.
    leaving_told: BTreeMap<(String, usize), Moment>,
    /// The rests that each host was asked for: from the answer to the end.
    rests: BTreeMap<(String, usize), Vec<(Moment, Moment)>>,
    arrivals: Vec<(Moment, String, usize)>,
}

impl QuotaFleet {
    /// Let a target refuse all requests and ask for rest.
    pub fn ask_for_rest(&mut self, target: &str, rest: Duration) {
        self.resting.insert(target.to_owned(), rest);
    }

    /// Record a request at a target. Get the event that ends it if the target refuses it.
    pub(super) fn say_notices(
        &mut self,
        index: usize,
        attempt: AttemptId,
        target: &str,
    ) -> Option<AttemptEvent> {
        let key = (target.to_owned(), index);
        let told = self.now.plus(HEAD_DELAY);
        let arrival = (self.now, target.to_owned(), index);
        self.notices.arrivals.push(arrival);
        if self.leaving.contains(target) {
            let known = &mut self.notices.leaving_told;
            known.entry(key.clone()).or_insert(told);
            let event = Delivery::Attempt(index, attempt, AttemptEvent::LeavingNamed);
            self.post(index, HEAD_DELAY, event);
        }
        let rest = *self.resting.get(target)?;
        let rests = self.notices.rests.entry(key).or_default();
        rests.push((told, told.plus(rest)));
        let event = Delivery::Attempt(index, attempt, AttemptEvent::RestAsked(rest));
        self.post(index, HEAD_DELAY, event);
        Some(AttemptEvent::Refused)
    }

    /// Forget what a host was told, because its process ended.
    pub(super) fn excuse_notices(&mut self, host: usize) {
        self.notices
            .leaving_told
            .retain(|(_, told), _| *told != host);
        self.notices.rests.retain(|(_, told), _| *told != host);
    }

    /// Assert that no target got more than it may after what it said.
    pub fn assert_notices_kept(&self, case: &str) {
        for (at, target, host) in &self.notices.arrivals {
            let told = self.notices.leaving_told.get(&(target.clone(), *host));
            let is_late = told.is_some_and(|told| *at > told.plus(DRAIN_TIME));
            assert!(!is_late, "{case}: {target} leaves and got one from {host}");
        }
        for ((target, host), rests) in &self.notices.rests {
            for (told, end) in rests {
                let from = told.plus(REST_DELAY);
                let arrivals = self.notices.arrivals.iter();
                let late = arrivals.filter(|(at, arrived, sender)| {
                    arrived == target && sender == host && *at > from && at < end
                });
                let count = late.count();
                assert!(
                    count <= REST_SLACK,
                    "{case}: {target} got {count} from {host}"
                );
            }
        }
    }
}
