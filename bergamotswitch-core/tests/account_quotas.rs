//! Tests of the quota that a shard's owner enforces for each client account.

mod owner_bench;

use bergamotswitch_core::pool_owner::QuotaTolerance;
use bergamotswitch_core::route::{AccountQuota, QuotaUnit};
use owner_bench::*;

const RATE: u64 = 1_000;
const UNITS: u32 = 50;

fn quota() -> AccountQuota {
    AccountQuota {
        unit: QuotaUnit::Tokens,
        rate: RATE,
        burst: RATE,
        plain_tokens: 10,
    }
}

fn tolerance() -> QuotaTolerance {
    QuotaTolerance {
        window: Duration::from_secs(8),
        fraction: 0.2,
    }
}

fn owner(now: Moment) -> ShardOwner {
    let mut owner = ShardOwner::new(
        incarnation_of("owner", 1),
        shard(),
        OwnerOptions::default(),
        now,
    );
    let pool_target = target("t", "d", 1_000_000_000);
    owner.handle(now, OwnerEvent::Targets(vec![pool_target]));
    let rate = tolerance().rate(&quota(), 1);
    owner.handle(now, OwnerEvent::Quotas(vec![(named("busy"), rate)]));
    owner
}

/// Send ten calls every 10 ms and get the time and units of each granted call.
fn send_calls(
    owner: &mut ShardOwner,
    from_ms: u64,
    to_ms: u64,
    sequence: &mut u64,
) -> Vec<(u64, u32)> {
    let mut granted = Vec::new();
    for ms in (from_ms..to_ms).step_by(10) {
        for _ in 0..10 {
            *sequence += 1;
            let mut call = permit_request(*sequence, 0, "busy");
            call.quota_units = UNITS;
            let message = OwnerMessage::PermitRequest(Box::new(call));
            let event = OwnerEvent::Message(named("entry"), message);
            for action in owner.handle(Moment::from_millis(ms), event) {
                if let OwnerAction::Reply(_, OwnerReply::Granted { .. }) = action {
                    granted.push((ms, UNITS));
                }
            }
        }
    }
    granted
}

fn most_in_window(granted: &[(u64, u32)]) -> u64 {
    let sums = granted.iter().map(|(start, _)| {
        let inside = granted
            .iter()
            .filter(|(ms, _)| (*start..start + 8_000).contains(ms));
        inside.map(|(_, units)| u64::from(*units)).sum::<u64>()
    });
    sums.max().unwrap_or(0)
}

#[test]
fn bounded_window() {
    let mut owner = owner(Moment::START);
    let granted = send_calls(&mut owner, 10_000, 30_000, &mut 0);
    let most = most_in_window(&granted);
    let in_window = 9 * RATE;
    assert!(most <= in_window * 125 / 100, "{most}");
    assert!(most >= in_window, "{most}");
}

// Guards against an account that uses its quota twice in one window: an owner
// that starts without usage data must not start with full token buckets.
#[test]
fn new_owner() {
    let mut sequence = 0;
    let mut first = owner(Moment::START);
    let mut granted = send_calls(&mut first, 10_000, 13_000, &mut sequence);
    let mut second = owner(Moment::from_millis(14_000));
    granted.extend(send_calls(&mut second, 14_000, 24_000, &mut sequence));
    let most = most_in_window(&granted);
    assert!(most <= 9 * RATE * 125 / 100, "{most}");
}

// Guards against a refusal without a usable retry-after for an account that is
// over its quota, and against refusing other accounts along with it.
#[test]
fn over_quota_retry_after() {
    let mut owner = owner(Moment::START);
    send_calls(&mut owner, 10_000, 11_000, &mut 0);
    let now = Moment::from_millis(11_000);
    let mut reply = |account: &str, sequence: u64| {
        let mut call = permit_request(sequence, 0, account);
        call.quota_units = UNITS;
        let message = OwnerMessage::PermitRequest(Box::new(call));
        let event = OwnerEvent::Message(named("entry"), message);
        owner.handle(now, event).remove(0)
    };
    let OwnerAction::Reply(_, refused) = reply("busy", 10_001) else {
        panic!("no reply");
    };
    let OwnerReply::Refused {
        reason,
        retry_after_ms,
        ..
    } = refused
    else {
        panic!("not refused: {refused:?}");
    };
    assert_eq!(reason, RefusalReason::OverQuota);
    assert!((200..=4_000).contains(&retry_after_ms), "{retry_after_ms}");
    let other = reply("calm", 10_002);
    assert!(matches!(
        other,
        OwnerAction::Reply(_, OwnerReply::Granted { .. })
    ));
}

// Guards against refusing a retry as over the quota after the call has run: a
// retry takes no units, as the first attempt paid for them.
#[test]
fn retried_call() {
    let mut owner = owner(Moment::START);
    send_calls(&mut owner, 10_000, 11_000, &mut 0);
    let mut call = permit_request(10_001, 0, "busy");
    call.quota_units = 0;
    let message = OwnerMessage::PermitRequest(Box::new(call));
    let event = OwnerEvent::Message(named("entry"), message);
    let reply = owner.handle(Moment::from_millis(11_000), event).remove(0);
    let granted = matches!(reply, OwnerAction::Reply(_, OwnerReply::Granted { .. }));
    assert!(granted, "{reply:?}");
}

/// Get an owner whose only target is full, and the permit that fills it.
fn full_owner(now: Moment) -> (ShardOwner, Permit) {
    let mut owner = owner(now);
    let pool_target = target("t", "d", 100);
    owner.handle(now, OwnerEvent::Targets(vec![pool_target]));
    let message = OwnerMessage::PermitRequest(Box::new(permit_request(1_000_000, 0, "other")));
    let event = OwnerEvent::Message(named("entry"), message);
    let permit = owner
        .handle(now, event)
        .into_iter()
        .find_map(|action| match action {
            OwnerAction::Reply(_, OwnerReply::Granted { permit, .. }) => Some(permit),
            _ => None,
        });
    (owner, permit.expect("a permit"))
}

// Guards against an account that exceeds its quota when callers of queued calls
// disconnect: units of a withdrawn request must not be refunded to a token
// bucket that has refilled since they were taken.
#[test]
fn callers_left() {
    let (mut owner, permit) = full_owner(Moment::START);
    let mut sequence = 0;
    send_calls(&mut owner, 18_000, 20_000, &mut sequence);
    let waiting_calls = sequence;
    for waiting in 1..=waiting_calls {
        let ms = 20_000 + waiting / 10;
        let message = withdrawal(attempt_of(ENTRY_INCARNATION, waiting));
        let event = OwnerEvent::Message(named("entry"), message);
        owner.handle(Moment::from_millis(ms), event);
        send_calls(&mut owner, ms, ms + 1, &mut sequence);
    }
    let now = Moment::from_millis(20_200);
    let message = released(&permit, ReleaseOutcome::Unused);
    owner.handle(now, OwnerEvent::Message(named("entry"), message));
    let pool_target = target("t", "d", 1_000_000_000);
    let actions = owner.handle(now, OwnerEvent::Targets(vec![pool_target]));
    let started = actions
        .iter()
        .filter(|action| matches!(action, OwnerAction::Reply(_, OwnerReply::Granted { .. })));
    let mut granted = vec![(20_200, UNITS); started.count()];
    granted.extend(send_calls(&mut owner, 20_200, 32_000, &mut sequence));
    let most = most_in_window(&granted);
    assert!(most <= 9 * RATE * 125 / 100, "{most}");
    assert!(most >= 8 * RATE, "{most}");
}
