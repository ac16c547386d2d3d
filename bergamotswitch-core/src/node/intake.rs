//! Provides the way in: submissions, outcomes and addresses.

use super::{NodeAction, NodeCore};
use crate::address::{AddressAnswer, AddressBook, AddressQuery, HostHealth};
use crate::clock::Moment;
use crate::entry::{OutcomeQuery, OutcomeView, Reception, Submission};
use crate::host::EntryHost;
use crate::membership::PeerView;
use crate::refusal::{Refusal, RefusalReason};

/// When a caller should come back whose key cannot be confirmed: the store or
/// a peer that knows is asked about once a second.
const KEY_RETRY: std::time::Duration = std::time::Duration::from_secs(1);

impl NodeCore {
    /// Take a caller's request.
    pub fn submit(&mut self, now: Moment, submission: Submission) -> (Reception, Vec<NodeAction>) {
        self.notice_pause(now);
        if !self.is_ready(now) {
            // The desk was not asked: after a pause it may hold the request
            // that the caller, or the host that sent it here, asks after.
            let asks_after = submission.resubmission || submission.holder.is_some();
            let refusal = match asks_after {
                true => Refusal::may_have_run(RefusalReason::NotReady),
                false => Refusal::before_acceptance(RefusalReason::NotReady),
            };
            let refusal = refusal.with_retry_after(std::time::Duration::from_secs(1));
            return (Reception::Refused(refusal), self.finish(now));
        }
        if submission.terms.keyed && !self.trusts_keys(now) {
            let refusal = Refusal::before_acceptance(RefusalReason::KeyUnconfirmed);
            let refusal = refusal.with_retry_after(KEY_RETRY);
            return (Reception::Refused(refusal), self.finish(now));
        }
        let exposed = self.is_exposed(now, &submission);
        let (reception, actions) = self.desk.submit(now, submission);
        if exposed && matches!(reception, Reception::Accepted(_)) {
            self.exposure.counts.unmarked_exposure += 1;
        }
        self.queue_entry(actions);
        (reception, self.finish(now))
    }

    /// Get whether the host may serve: every needed value is in force, and
    /// peers (or, without any, the service alone) vouched for the revisions.
    pub fn is_ready(&self, now: Moment) -> bool {
        let settled = self.roster.as_ref();
        let settled = settled.is_none_or(|roster| roster.is_discovery_complete(now));
        settled && self.publication.missing().is_empty() && self.book.is_caught_up(now)
    }

    /// Get whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.desk.is_idle()
    }

    /// Get what this host knows of a request.
    pub fn outcome(&self, query: &OutcomeQuery) -> OutcomeView {
        self.desk.outcome(query)
    }

    /// Get which host a caller should use.
    pub fn address(&self, query: &AddressQuery) -> AddressAnswer {
        let health: Vec<HostHealth> = self.host_health();
        AddressBook::new(&self.publication).answer(query, &health)
    }

    fn host_health(&self) -> Vec<HostHealth> {
        let peers = self.membership.peers();
        let hosts = self.publication.hosts.hosts.iter();
        hosts
            .map(|host| match host.name == self.me.host {
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
            incarnation: Some(self.me.incarnation),
            reachable: Some(true),
            stopping: self.stopping,
            load_permille: self.load_permille,
        }
    }
}

/// Get what is known of another host; nothing where it is not watched.
fn peer_health(host: &EntryHost, peer: Option<&PeerView>) -> HostHealth {
    HostHealth {
        host: host.clone(),
        incarnation: peer.and_then(|peer| peer.incarnation),
        reachable: peer.and_then(|peer| peer.reachable),
        stopping: peer.is_some_and(|peer| peer.stopping),
        load_permille: peer.map_or(0, |peer| peer.load_permille),
    }
}
