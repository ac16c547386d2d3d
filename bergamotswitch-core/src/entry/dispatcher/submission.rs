//! Provides the handling of submissions: new requests, resubmissions and
//! requests that another host incarnation holds.

use super::EntryDispatcher;
use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::entry::attempt::WaitingState;
use crate::entry::key_store::{KeyId, KeyRecord, KeyState};
use crate::entry::options::Fault;
use crate::entry::placement::ShardQuery;
use crate::entry::request_state::LiveRequest;
use crate::entry::request_table::{RequestRecord, run_once_key};
use crate::entry::{EntryAction, Submission, SubmitOutcome};
use crate::host::HostIncarnation;
use crate::incident::Incident;
use crate::quarantine::RequestSuspects;
use crate::refusal::{Refusal, RefusalReason};
use crate::request::{CallerKey, RequestId};

/// The sequence in the id of a request whose sequence is not known.
const UNKNOWN_SEQUENCE: u64 = 0;

impl EntryDispatcher {
    /// Decide how to handle a submission.
    pub(super) fn receive(
        &mut self,
        now: Moment,
        submission: Submission,
        actions: &mut Vec<EntryAction>,
    ) -> SubmitOutcome {
        let key = submission
            .key
            .as_ref()
            .map(|key| self.key_id(&submission.account, key));
        // An incarnation named by the caller takes precedence, as only that one
        // knows the request.
        if let Some(holder) = &submission.holder
            && *holder != self.identity
        {
            return match self.may_forward() {
                true => self.receive_foreign(holder, actions),
                false => refused(Refusal::may_have_run(RefusalReason::Stopping)),
            };
        }
        // Otherwise, use what this incarnation knows of the key.
        if let Some(key) = &key
            && let Some(record) = self.keys.get(key).cloned()
        {
            if record.fingerprint != submission.fingerprint {
                return refused(submission.refuse(RefusalReason::KeyReused));
            }
            match record.state {
                KeyState::Active => return self.attach(record.request, actions),
                KeyState::Blocked(_) => {
                    return refused(Refusal::may_have_run(RefusalReason::OutcomeUnknown));
                }
                KeyState::Rerunnable(_) => {
                    return self.accept(now, submission, Some(key.clone()), actions);
                }
            }
        }
        // This incarnation was named as the holder of a resubmitted request but
        // does not know it, so the request may have run. A first submission
        // names an incarnation as well, taken from the address answer, and must
        // not be refused here.
        let unknown_resubmission = submission.resubmission
            && submission.holder.is_some()
            && (key.is_some() || !submission.may_rerun());
        if unknown_resubmission {
            return refused(Refusal::may_have_run(RefusalReason::OutcomeUnknown));
        }
        self.accept(now, submission, key, actions)
    }

    fn key_id(&self, account: &AccountName, key: &CallerKey) -> KeyId {
        let mut account = account.clone();
        if self.options.has_fault(Fault::KeyWithoutAccount)
            && let Ok(anyone) = AccountName::try_from("anyone")
        {
            account = anyone;
        }
        KeyId {
            account,
            key: key.clone(),
        }
    }

    /// Handle a submission that names another incarnation. Requests of an
    /// earlier incarnation of this host are lost; requests of another host are
    /// forwarded.
    fn receive_foreign(
        &mut self,
        holder: &HostIncarnation,
        actions: &mut Vec<EntryAction>,
    ) -> SubmitOutcome {
        if holder.host != self.identity.host {
            return SubmitOutcome::Forward(holder.clone());
        }
        let id = RequestId {
            incarnation: holder.incarnation,
            sequence: UNKNOWN_SEQUENCE,
        };
        actions.push(EntryAction::LogIncident(Incident::RequestLost, id));
        refused(Refusal::may_have_run(RefusalReason::Lost))
    }

    fn attach(&mut self, id: RequestId, actions: &mut Vec<EntryAction>) -> SubmitOutcome {
        if let Some(mut entry) = self.requests.take(id) {
            entry.record.followed = true;
            self.requests.put(entry);
        }
        actions.push(EntryAction::LogIncident(Incident::ResubmissionAttached, id));
        SubmitOutcome::Attached(id)
    }

    fn accept(
        &mut self,
        now: Moment,
        submission: Submission,
        key: Option<KeyId>,
        actions: &mut Vec<EntryAction>,
    ) -> SubmitOutcome {
        if submission.deadline_in.is_zero() {
            return refused(submission.refuse(RefusalReason::DeadlinePassed));
        }
        let deadline = now.plus(submission.deadline_in);
        if self.bound.is_closed || !self.may_start(&submission, deadline) {
            let refusal = submission.refuse(RefusalReason::Stopping);
            return refused(self.with_stop_retry_after(now, refusal));
        }
        let sequence = self.counts.accepted + 1;
        let query = ShardQuery {
            pool: &submission.pool,
            verdict: &submission.verdict,
            avoid: &[],
            spread: sequence,
            run_once_key: run_once_key(&submission, key.as_ref()),
        };
        let Some(shard) = self.pools.shard_for(&query) else {
            return refused(submission.refuse(RefusalReason::NoTarget));
        };
        let suspects = RequestSuspects::of(&submission);
        let admission = match self.admit_request(now, &suspects, &shard, actions) {
            Ok(admission) => admission,
            Err(retry_after) => {
                let refusal = submission.refuse(RefusalReason::Quarantined);
                return refused(refusal.with_retry_after(retry_after));
            }
        };
        self.counts.accepted = sequence;
        let id = RequestId {
            incarnation: self.identity.incarnation,
            sequence,
        };
        if let Some(key) = &key {
            let record = KeyRecord {
                request: id,
                fingerprint: submission.fingerprint,
                pool: shard.pool.clone(),
                run_once: !submission.may_rerun(),
                state: KeyState::Active,
            };
            self.keys.insert(key.clone(), record);
        }
        let record = RequestRecord {
            id,
            key,
            shard,
            accepted_at: now,
            deadline,
            attempt: 0,
            last_attempt: 0,
            dispatches: 0,
            reconnects: 0,
            runs: 0,
            preemptions: 0,
            avoid: Vec::new(),
            stream: submission
                .options
                .stream
                .map(|start| self.stream_origin(&submission.pool, start)),
            followed: true,
            suspects,
            admission,
            submission,
        };
        let state = WaitingState::Fresh(LiveRequest::accept(id));
        self.request_permit(now, record, state, actions);
        SubmitOutcome::Accepted(id)
    }
}

fn refused(refusal: Refusal) -> SubmitOutcome {
    SubmitOutcome::Refused(refusal)
}
