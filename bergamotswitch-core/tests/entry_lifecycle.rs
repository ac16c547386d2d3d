//! Tests of the life cycle of a request from submission to its outcome.

mod entry_support;

use bergamotswitch_core::entry::{OutcomeQuery, OutcomeView};
use bergamotswitch_core::permit::ReleaseOutcome;
use bergamotswitch_core::refusal::{RetryReason, RunClaim, WasteCause};
use entry_support::*;

fn refusal_of(outcome: SubmitOutcome) -> (RefusalReason, RunClaim) {
    match outcome {
        SubmitOutcome::Refused(refusal) => (refusal.reason(), refusal.claim()),
        other => panic!("not refused: {other:?}"),
    }
}

fn refusals(actions: &[EntryAction]) -> Vec<(RefusalReason, RunClaim)> {
    let refusal = |conclusion| match conclusion {
        Conclusion::Refused(refusal) => Some((refusal.reason(), refusal.claim())),
        _ => None,
    };
    let conclusions = conclusions(actions).into_iter();
    conclusions.filter_map(refusal).collect()
}

#[test]
fn complete_request() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let (outcome, actions) = dispatcher.submit(submission());
    let permit_request = permit_requests(&actions).remove(0);
    assert_eq!(
        outcome,
        SubmitOutcome::Accepted(permit_request.attempt.request)
    );
    assert_eq!(permit_request.claim, None);
    dispatcher.start(permit_request.attempt, "t0");
    dispatcher.now = dispatcher.now.plus(Duration::from_millis(300));
    dispatcher.attempt(permit_request.attempt, AttemptEvent::FirstToken);
    let actions = dispatcher.attempt(permit_request.attempt, AttemptEvent::Finished(usage()));
    assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);
    let outcome = ReleaseOutcome::Finished(usage());
    assert_eq!(releases(&actions)[0].outcome, outcome);
    assert!(actions.contains(&EntryAction::CountEnd {
        tier: Tier(1),
        good: true,
        first_token: Some(Duration::from_millis(300)),
    }));
    // The request cannot be resubmitted, so its answer is not stored.
    let forget = EntryAction::DropAnswer(permit_request.attempt.request);
    assert_eq!(actions.last(), Some(&forget));
    assert_eq!(dispatcher.dispatcher.view().kept_answers, 0);
}

#[test]
fn kept_answer() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = first_attempt(dispatcher.accept(keyed_submission("k")));
    let id = attempt.request;
    let by_id = OutcomeQuery::Id(id);
    let by_key = OutcomeQuery::Key(name("crew"), name("k"));
    assert_eq!(
        dispatcher.dispatcher.outcome(&by_id),
        OutcomeView::Waiting(id)
    );
    dispatcher.start(attempt, "t0");
    assert_eq!(
        dispatcher.dispatcher.outcome(&by_key),
        OutcomeView::Running(id)
    );
    dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
    assert_eq!(
        dispatcher.dispatcher.outcome(&by_id),
        OutcomeView::Answered(id)
    );
    assert_eq!(
        dispatcher.dispatcher.outcome(&by_key),
        OutcomeView::Answered(id)
    );
    let wake = dispatcher.dispatcher.next_wake().since(dispatcher.now);
    assert_eq!(dispatcher.pass(wake), vec![EntryAction::DropAnswer(id)]);
    let unknown = OutcomeView::Unknown(RefusalReason::OutcomeUnknown);
    assert_eq!(dispatcher.dispatcher.outcome(&by_key), unknown);
    let other = OutcomeQuery::Id(RequestId {
        incarnation: run_of("entry-1", 9).incarnation,
        sequence: id.sequence,
    });
    let lost = OutcomeView::Unknown(RefusalReason::Lost);
    assert_eq!(dispatcher.dispatcher.outcome(&other), lost);
}

// Guards against running a request twice when its permit is duplicated or a
// second one is granted.
#[test]
fn duplicate_permit() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = first_attempt(dispatcher.accept(keyed_submission("k")));
    let permit = dispatcher.start(attempt, "t0");
    assert_eq!(dispatcher.grant(&permit), vec![]);
    let other = dispatcher.permit(attempt, "t1");
    let actions = dispatcher.grant(&other);
    assert_eq!(starts(&actions), vec![]);
    assert_eq!(releases(&actions)[0].permit, other.id);
    assert_eq!(releases(&actions)[0].outcome, ReleaseOutcome::Unused);
}

// Guards against dispatching to a target that is draining in this host's view
// while the owner's target list is outdated.
#[test]
fn draining_target() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = first_attempt(dispatcher.accept(submission()));
    dispatcher.event(EntryEvent::TargetDraining(name("t0"), true));
    let permit = dispatcher.permit(attempt, "t0");
    let actions = dispatcher.grant(&permit);
    assert_eq!(starts(&actions), vec![]);
    assert_eq!(releases(&actions)[0].outcome, ReleaseOutcome::Unused);
    assert!(actions.contains(&EntryAction::CountRetry(RetryReason::PermitVoid)));
    let permit_request = permit_requests(&actions).remove(0);
    assert_eq!(permit_request.avoid, vec![name("t0")]);
    dispatcher.start(permit_request.attempt, "t1");
}

// Guards against using a permit that was granted before a pause of the process
// and read after it, when its slot may have been granted to another request.
#[test]
fn paused_process() {
    for reported in [true, false] {
        let mut dispatcher = TestDispatcher::new(EntryOptions::default());
        let attempt = first_attempt(dispatcher.accept(submission()));
        let permit = dispatcher.permit(attempt, "t0");
        dispatcher.now = dispatcher.now.plus(Duration::from_secs(10));
        let mut actions = Vec::new();
        if reported {
            actions.extend(dispatcher.event(EntryEvent::ProcessResumed(Duration::from_secs(10))));
        }
        actions.extend(dispatcher.grant(&permit));
        assert_eq!(starts(&actions), vec![]);
        assert_eq!(releases(&actions)[0].permit, permit.id);
        let permit_request = permit_requests(&actions).remove(0);
        assert_ne!(permit_request.attempt, attempt);
        dispatcher.start(permit_request.attempt, "t0");
    }
}

// Guards against a request that waits forever because its permit was lost.
#[test]
fn lost_permit() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = first_attempt(dispatcher.accept(submission()));
    let wake = dispatcher.dispatcher.next_wake().since(dispatcher.now);
    let actions = dispatcher.pass(wake);
    let permit_request = permit_requests(&actions).remove(0);
    assert_eq!(permit_request.attempt, attempt);
    assert_eq!(u128::from(permit_request.waited_ms), wake.as_millis());
    // The resend interval grows while the request waits.
    let mut repeats = 0;
    for _ in 0..100 {
        repeats += permit_requests(&dispatcher.pass(Duration::from_millis(250))).len();
    }
    assert_eq!(repeats, 2);
}

// Guards against a request that waits at a shard that no longer exists, after
// its pool was sharded by failure domain.
#[test]
fn split_pool() {
    let options = EntryOptions::default().with_domain(name("south"));
    let mut dispatcher = TestDispatcher::new(options);
    let attempt = first_attempt(dispatcher.accept(submission()));
    let actions = dispatcher.event(EntryEvent::Pools(vec![pool(true)]));
    let withdraw = OwnerMessage::Withdraw {
        shard: shard(),
        attempt,
    };
    assert_eq!(actions, vec![EntryAction::Send(name(OWNER), withdraw)]);
    let south = dispatcher.dispatcher.used_shards().remove(0);
    assert_eq!(south.domain, Some(name("south")));
    let actions = dispatcher.event(EntryEvent::OwnerChanged(south, name(OWNER)));
    assert_ne!(permit_requests(&actions)[0].attempt, attempt);
}

// Guards against dispatching a request whose permit arrives at its deadline,
// before any tick.
#[test]
fn late_permit() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = first_attempt(dispatcher.accept(submission()));
    dispatcher.now = dispatcher.now.plus(Duration::from_secs(29));
    let permit_request = permit_requests(&dispatcher.event(EntryEvent::Tick)).remove(0);
    assert_ne!(permit_request.attempt, attempt);
    dispatcher.now = dispatcher.now.plus(Duration::from_secs(1));
    let permit = dispatcher.permit(permit_request.attempt, "t0");
    let actions = dispatcher.grant(&permit);
    assert_eq!(starts(&actions), vec![]);
    assert_eq!(releases(&actions)[0].permit, permit.id);
    let not_run = (RefusalReason::DeadlinePassed, RunClaim::NotRun);
    assert_eq!(refusals(&actions), vec![not_run]);
}

// Guards against a new owner that grants the slot of a running request, or a
// second run of its key: work in flight is reported to it before permits are
// requested.
#[test]
fn owner_change() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let running = first_attempt(dispatcher.accept(keyed_submission("k")));
    let permit = dispatcher.start(running, "t0");
    let waiting = first_attempt(dispatcher.accept(submission()));
    let actions = dispatcher.event(EntryEvent::OwnerChanged(shard(), name("owner-2")));
    match &actions[0] {
        EntryAction::Send(host, OwnerMessage::Resync { held, claims, .. }) => {
            assert_eq!(host.as_str(), "owner-2");
            assert_eq!(held[0].permit, permit.id);
            assert_eq!(claims[0].holder, run_of("entry-1", 1));
        }
        other => panic!("held work not reported first: {other:?}"),
    }
    assert_eq!(permit_requests(&actions)[0].attempt, waiting);
    // The former owner's permit is not used, and an audit confirms the permit
    // in use.
    let late = dispatcher.permit(waiting, "t0");
    let actions = dispatcher.grant(&late);
    assert_eq!(starts(&actions), vec![]);
    assert_eq!(releases(&actions)[0].permit, late.id);
    let audit = OwnerReply::Audit {
        shard: shard(),
        permits: vec![permit.id, late.id],
    };
    let not_held = OwnerMessage::NotHeld {
        shard: shard(),
        permits: vec![late.id],
    };
    let answer = EntryAction::Send(name(OWNER), not_held);
    assert_eq!(dispatcher.reply(audit), vec![answer]);
}

// Guards against a second run of a marked resubmission: if the key of the
// waiting request were reported as held, a new owner would take it for known
// and grant a permit.
#[test]
fn waiting_resubmission() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let mut copy = keyed_submission("k");
    copy.resubmission = true;
    dispatcher.accept(copy);
    let actions = dispatcher.event(EntryEvent::OwnerChanged(shard(), name("owner-2")));
    match &actions[0] {
        EntryAction::Send(_, OwnerMessage::Resync { claims, .. }) => assert_eq!(claims, &[]),
        other => panic!("held work not reported: {other:?}"),
    }
    let claim = permit_requests(&actions)[0].claim.clone();
    assert!(claim.is_some_and(|claim| claim.resubmission));
}

// Guards against answering "not run" to a marked resubmission: it asks about
// all copies, and another one may have run at another host.
#[test]
fn uncertain_resubmission() {
    let mut copy = keyed_submission("k");
    copy.resubmission = true;
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    dispatcher.accept(copy.clone());
    let late = (RefusalReason::DeadlinePassed, RunClaim::Unknown);
    assert_eq!(refusals(&dispatcher.pass(DEADLINE)), vec![late]);
    // The key remains usable, as this copy did not run here.
    let attempt = first_attempt(dispatcher.accept(copy.clone()));
    let refused = refused_for(RefusalReason::Overloaded, attempt);
    let uncertain = (RefusalReason::Overloaded, RunClaim::Unknown);
    assert_eq!(refusals(&dispatcher.reply(refused)), vec![uncertain]);
    copy.verdict.domains = vec![name("east")];
    let no_target = (RefusalReason::NoTarget, RunClaim::Unknown);
    assert_eq!(refusal_of(dispatcher.submit(copy.clone()).0), no_target);
    // A caller that names this incarnation asks only about what this one knows.
    copy.holder = Some(run_of("entry-1", 1));
    let known = (RefusalReason::NoTarget, RunClaim::NotRun);
    assert_eq!(refusal_of(dispatcher.submit(copy).0), known);
}

#[test]
fn same_key() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let id = dispatcher.accept(keyed_submission("k"));
    assert_eq!(
        dispatcher.submit(keyed_submission("k")).0,
        SubmitOutcome::Attached(id)
    );
    let mut other = keyed_submission("k");
    other.fingerprint = 2;
    let refusal = refusal_of(dispatcher.submit(other).0);
    assert_eq!(refusal, (RefusalReason::KeyReused, RunClaim::NotRun));
    let mut neighbour = keyed_submission("k");
    neighbour.account = name("neighbour");
    assert_ne!(dispatcher.accept(neighbour), id);
}

// Guards against a second run after the answer was evicted and its key
// dropped.
#[test]
fn dropped_answer() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default().with_max_kept_answers(1));
    for key in ["k1", "k2"] {
        let attempt = dispatcher.begin(keyed_submission(key), "t0");
        let actions = dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
        let dropped = matches!(actions.last(), Some(EntryAction::DropAnswer(_)));
        assert_eq!(dropped, key == "k2");
    }
    let refusal = refusal_of(dispatcher.submit(keyed_submission("k1")).0);
    assert_eq!(refusal, (RefusalReason::OutcomeUnknown, RunClaim::Unknown));
    let kept = dispatcher.submit(keyed_submission("k2")).0;
    assert!(matches!(kept, SubmitOutcome::Attached(_)));
}

// Guards against running a request of an earlier incarnation again after a
// restart of the host.
#[test]
fn other_incarnation() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let holders = [
        (run_of("entry-1", 9), RefusalReason::Lost),
        (run_of("entry-1", 1), RefusalReason::OutcomeUnknown),
    ];
    for (holder, reason) in holders {
        let mut again = keyed_submission("k");
        again.holder = Some(holder);
        again.resubmission = true;
        let refusal = refusal_of(dispatcher.submit(again).0);
        assert_eq!(refusal, (reason, RunClaim::Unknown));
    }
    let elsewhere = run_of("entry-2", 5);
    let mut again = keyed_submission("k");
    again.holder = Some(elsewhere.clone());
    assert_eq!(
        dispatcher.submit(again).0,
        SubmitOutcome::Forward(elsewhere.clone())
    );

    let attempt = first_attempt(dispatcher.accept(keyed_submission("k")));
    let known = |holder| OwnerReply::KeyHeld { attempt, holder };
    assert_eq!(dispatcher.reply(known(run_of("entry-1", 1))), vec![]);
    let forward = EntryAction::Forward(attempt.request, elsewhere.clone());
    assert_eq!(dispatcher.reply(known(elsewhere)), vec![forward]);

    let attempt = first_attempt(dispatcher.accept(keyed_submission("k2")));
    let holder = run_of("entry-1", 9);
    let actions = dispatcher.reply(OwnerReply::KeyHeld { attempt, holder });
    let lost = (RefusalReason::Lost, RunClaim::Unknown);
    assert_eq!(refusals(&actions), vec![lost]);
}

// Guards against treating a first submission as a resubmission because it names
// the incarnation from the address answer.
#[test]
fn named_holder() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let mut first = keyed_submission("k");
    first.holder = Some(run_of("entry-1", 1));
    let id = dispatcher.accept(first.clone());
    first.resubmission = true;
    assert_eq!(dispatcher.submit(first).0, SubmitOutcome::Attached(id));
}

#[test]
fn refused_by_owner() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    // The key remains usable each time, as the request did not run here and the
    // owner may know more next time.
    let reasons = [
        (RefusalReason::Overloaded, RunClaim::NotRun),
        (RefusalReason::OutcomeUnknown, RunClaim::Unknown),
        (RefusalReason::OutcomeUnknown, RunClaim::Unknown),
    ];
    for (reason, claim) in reasons {
        let attempt = first_attempt(dispatcher.accept(keyed_submission("k")));
        let refused = refused_for(reason, attempt);
        let actions = dispatcher.reply(refused);
        assert_eq!(refusals(&actions), vec![(reason, claim)]);
    }
}

#[test]
fn caller_left() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let waiting = dispatcher.accept(submission());
    let actions = dispatcher.event(EntryEvent::CallerDisconnected(waiting));
    let left_caller = (RefusalReason::CallerLeft, RunClaim::NotRun);
    assert_eq!(refusals(&actions), vec![left_caller]);

    let attempt = dispatcher.begin(submission(), "t0");
    let actions = dispatcher.event(EntryEvent::CallerDisconnected(attempt.request));
    let cancel = EntryAction::Abort {
        attempt,
        cancel: true,
    };
    assert!(actions.contains(&cancel));
    let waste = EntryAction::CountWaste(Tier(1), WasteCause::CallerLeft, 100);
    assert!(actions.contains(&waste));

    let attempt = dispatcher.begin(keyed_submission("k"), "t0");
    let left = dispatcher.event(EntryEvent::CallerDisconnected(attempt.request));
    assert_eq!(left, vec![]);
    let actions = dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
    assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);
    let again = dispatcher.submit(keyed_submission("k")).0;
    assert_eq!(again, SubmitOutcome::Attached(attempt.request));
}

#[test]
fn passed_deadline() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let waiting = dispatcher.accept(keyed_submission("w"));
    let followed = dispatcher.begin(submission(), "t0");
    let mut keyed = submission();
    keyed.key = Some(name("k"));
    let left = dispatcher.begin(keyed, "t0");
    dispatcher.event(EntryEvent::CallerDisconnected(left.request));
    let actions = dispatcher.pass(DEADLINE);
    let not_run = (RefusalReason::DeadlinePassed, RunClaim::NotRun);
    let unknown = (RefusalReason::DeadlinePassed, RunClaim::Unknown);
    assert_eq!(refusals(&actions), vec![not_run, unknown]);
    let outcome = dispatcher.dispatcher.outcome(&OutcomeQuery::Id(waiting));
    assert!(matches!(outcome, OutcomeView::Refused(..)));
    // An answer that a caller follows is not aborted, but counts as late.
    dispatcher.now = dispatcher.now.plus(Duration::from_millis(1));
    let actions = dispatcher.attempt(followed, AttemptEvent::Finished(usage()));
    assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);
    let waste = EntryAction::CountWaste(Tier(1), WasteCause::Late, 100);
    assert!(actions.contains(&waste));
}

fn shard_in(domain: &str) -> PoolShard {
    PoolShard {
        domain: Some(name(domain)),
        ..shard()
    }
}

// Guards against a second run at another host after a change of owner: a host
// without live requests still has to report its keys to the new owner.
#[test]
fn idle_holder() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    dispatcher.event(EntryEvent::Pools(vec![pool(false)]));
    for (key, request) in [(None, submission()), (Some("k"), keyed_submission("k"))] {
        let attempt = first_attempt(dispatcher.accept(request));
        assert!(!dispatcher.dispatcher.is_idle());
        dispatcher.start(attempt, "t0");
        dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
        assert!(dispatcher.dispatcher.is_idle());
        let kept = key.map(|_| shard());
        assert_eq!(dispatcher.dispatcher.used_shards(), Vec::from_iter(kept));
    }
    // The owner is no longer tracked after the keys have expired.
    dispatcher.pass(Duration::from_secs(90_000));
    dispatcher.pass(Duration::from_secs(90_000));
    assert_eq!(dispatcher.dispatcher.used_shards(), vec![]);
}

#[test]
fn own_domain() {
    let options = EntryOptions::default().with_domain(name("south"));
    let mut dispatcher = TestDispatcher::new(options);
    dispatcher.event(EntryEvent::Pools(vec![pool(true)]));
    let id = dispatcher.accept(submission());
    assert_eq!(dispatcher.dispatcher.used_shards(), vec![shard_in("south")]);
    dispatcher.event(EntryEvent::CallerDisconnected(id));
    let mut northern = submission();
    northern.verdict.domains = vec![name("north")];
    dispatcher.accept(northern.clone());
    assert_eq!(dispatcher.dispatcher.used_shards(), vec![shard_in("north")]);
    northern.verdict.domains = vec![name("east")];
    let refusal = refusal_of(dispatcher.submit(northern).0);
    assert_eq!(refusal, (RefusalReason::NoTarget, RunClaim::NotRun));
}

// Guards against a second run of an unmarked resubmission at a host of another
// failure domain: both hosts have to request the permit from the same owner.
#[test]
fn one_owner_per_key() {
    let mut seen = std::collections::BTreeSet::new();
    for number in 0..16 {
        let key = format!("k{number}");
        let mut shards = Vec::new();
        for domain in ["north", "south"] {
            let options = EntryOptions::default().with_domain(name(domain));
            let mut dispatcher = TestDispatcher::new(options);
            dispatcher.event(EntryEvent::Pools(vec![pool(true)]));
            for shard in ["north", "south"].map(shard_in) {
                dispatcher.event(EntryEvent::OwnerChanged(shard, name("owner-1")));
            }
            let actions = dispatcher.submit(keyed_submission(&key)).1;
            shards.extend(
                permit_requests(&actions)
                    .into_iter()
                    .map(|permit_request| permit_request.shard),
            );
        }
        assert_eq!(shards.len(), 2);
        assert_eq!(shards[0], shards[1]);
        seen.insert(shards.remove(0));
    }
    assert_eq!(seen.len(), 2);
}
