//! Provides the calls that a host answers directly: submission, outcome lookup, address
//! resolution and readiness.

use super::{NodeAction, NodeCore};
use crate::address::{AddressAnswer, AddressQuery, AddressSelector, HostHealth};
use crate::clock::Moment;
use crate::entry::{OutcomeQuery, OutcomeView, Submission, SubmitOutcome};
use crate::host::EntryHost;
use crate::membership::PeerView;
use crate::refusal::{Refusal, RefusalReason};
use crate::revision::{EVACUATIONS_VALUE, value_name};

/// The retry time for callers whose API key cannot be confirmed. The store or an
/// informed peer is polled about once a second.
const KEY_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

impl NodeCore {
    /// Submit a request of a caller.
    pub fn submit(
        &mut self,
        now: Moment,
        mut submission: Submission,
    ) -> (SubmitOutcome, Vec<NodeAction>) {
        self.detect_pause(now);
        if !self.is_ready(now) {
            // The entry side was not consulted: after a pause it may still hold
            // the request that is resubmitted or forwarded here.
            let may_be_held = submission.resubmission || submission.holder.is_some();
            let refusal = match may_be_held {
                true => Refusal::may_have_run(RefusalReason::NotReady),
                false => Refusal::before_acceptance(RefusalReason::NotReady),
            };
            let refusal = refusal.with_retry_after(std::time::Duration::from_secs(1));
            return (SubmitOutcome::Refused(refusal), self.finish(now));
        }
        if submission.options.key_authenticated && !self.trusts_keys(now) {
            let refusal = Refusal::before_acceptance(RefusalReason::KeyUnconfirmed);
            let refusal = refusal.with_retry_after(KEY_RETRY_AFTER);
            return (SubmitOutcome::Refused(refusal), self.finish(now));
        }
        let share = submission.verdict.share;
        submission.verdict.share = self.publication.weighted_share(&submission.account, share);
        let exposed = self.is_exposed(now, &submission);
        let (outcome, actions) = self.entry.submit(now, submission);
        if exposed && matches!(outcome, SubmitOutcome::Accepted(_)) {
            self.exposure.counts.unmarked_exposure += 1;
        }
        self.queue_entry(actions);
        (outcome, self.finish(now))
    }

    /// Get whether the host is ready to serve: all required values are in force and
    /// their revisions are confirmed by peers, or by the configuration service if no
    /// peer is known.
    pub fn is_ready(&self, now: Moment) -> bool {
        let settled = self.roster.as_ref();
        let settled = settled.is_none_or(|roster| roster.is_discovery_complete(now));
        settled && self.missing().is_empty() && self.revisions.is_caught_up(now)
    }

    /// Get the names of the values that the host still needs before it can serve.
    pub(super) fn missing(&self) -> Vec<&'static str> {
        let mut missing = self.publication.missing();
        let follows = self.revisions.follows(&value_name(EVACUATIONS_VALUE));
        if follows && self.publication.evacuations.is_none() {
            missing.push(EVACUATIONS_VALUE);
        }
        missing
    }

    /// Get whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.entry.is_idle()
    }

    /// Get the outcome of a request as known to this host.
    pub fn outcome(&self, query: &OutcomeQuery) -> OutcomeView {
        self.entry.outcome(query)
    }

    /// Get the hosts that a caller should use.
    pub fn address(&self, query: &AddressQuery) -> AddressAnswer {
        let health: Vec<HostHealth> = self.host_health();
        AddressSelector::new(&self.publication).answer(query, &health)
    }

    fn host_health(&self) -> Vec<HostHealth> {
        let peers = self.membership.peers();
        let hosts = self.publication.hosts.hosts.iter();
        hosts
            .map(|host| match host.name == self.identity.host {
                true => self.own_health(host),
                false => {
                    let peer = peers.iter().find(|peer| peer.host == host.name);
                    peer_health(host, peer)
                }
            })
            .collect()
    }

    fn own_health(&self, host: &EntryHost) -> HostHealth {
        HostHealth {
            host: host.clone(),
            incarnation: Some(self.identity.incarnation),
            reachable: Some(true),
            stopping: self.stopping,
            load_permille: self.load_permille,
        }
    }
}

/// Get the health of another host; unknown if the host is not monitored.
fn peer_health(host: &EntryHost, peer: Option<&PeerView>) -> HostHealth {
    HostHealth {
        host: host.clone(),
        incarnation: peer.and_then(|peer| peer.incarnation),
        reachable: peer.and_then(|peer| peer.reachable),
        stopping: peer.is_some_and(|peer| peer.stopping),
        load_permille: peer.map_or(0, |peer| peer.load_permille),
    }
}
