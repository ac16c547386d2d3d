//! Tests the order in which a host's event loop processes its inputs.

mod owner_bench;

use bergamotswitch_core::call_signature::CallSignature;
use bergamotswitch_core::link::{Heartbeat, LinkEvent, LinkMessage};
use bergamotswitch_core::node::{InputBacklog, NextInput};
use owner_bench::*;

/// A delay after which requests are refused if it lasts.
const LATE: Duration = Duration::from_millis(150);

/// How long a delay has to last until requests are refused.
const LASTING: Duration = Duration::from_millis(300);

fn peer() -> HostIncarnation {
    HostIncarnation {
        host: named("entry"),
        incarnation: ENTRY_INCARNATION,
    }
}

fn to_owner(message: OwnerMessage) -> LinkEvent {
    LinkEvent::Message(peer(), LinkMessage::ToOwner(message))
}

fn request(sequence: u64, tier: u8) -> LinkEvent {
    let request = permit_request(sequence, tier, "crew");
    to_owner(OwnerMessage::PermitRequest(Box::new(request)))
}

fn signature(sequence: u64) -> LinkEvent {
    to_owner(OwnerMessage::Signature {
        shard: shard(),
        attempt: attempt_of(ENTRY_INCARNATION, sequence),
        signature: CallSignature::new(&named("crew"), u128::from(sequence)),
    })
}

fn withdrawn(sequence: u64) -> LinkEvent {
    to_owner(withdrawal(attempt_of(ENTRY_INCARNATION, sequence)))
}

fn heartbeat() -> LinkEvent {
    let heartbeat = Heartbeat {
        sequence: 1,
        heard: 0,
        stopping: false,
        load_permille: 0,
    };
    LinkEvent::Message(peer(), LinkMessage::Heartbeat(heartbeat))
}

/// Get a backlog of inputs that arrived now.
fn backlog_of(inputs: impl IntoIterator<Item = LinkEvent>) -> InputBacklog<LinkEvent> {
    let mut backlog = InputBacklog::default();
    for input in inputs {
        backlog.push(Moment::START, input);
    }
    backlog
}

/// Take all inputs now.
fn taken(mut backlog: InputBacklog<LinkEvent>) -> Vec<NextInput<LinkEvent>> {
    std::iter::from_fn(|| backlog.next(Moment::START)).collect()
}

fn inputs(taken: Vec<NextInput<LinkEvent>>) -> Vec<LinkEvent> {
    taken.into_iter().map(|next| next.input).collect()
}

// Guards against control and ended work that wait behind requests.
#[test]
fn control_first() {
    let backlog = backlog_of([request(1, 0), withdrawn(9), heartbeat()]);
    let expected = [heartbeat(), withdrawn(9), request(1, 0)];
    assert_eq!(inputs(taken(backlog)), expected);
}

// Guards against urgent requests that wait behind lesser ones, and lesser ones that never come.
#[test]
fn tiers_in_order() {
    let low = request(1, 2);
    let high = (2..=5).map(|sequence| request(sequence, 0));
    let order = inputs(taken(backlog_of([low.clone()].into_iter().chain(high))));
    assert_eq!(order[..3], [request(2, 0), request(3, 0), request(4, 0)]);
    assert_eq!(order[3], low);
}

// Guards against a signature that is taken for that of another request.
#[test]
fn announced_with_request() {
    let backlog = backlog_of([signature(1), request(1, 2), signature(2), request(2, 0)]);
    let taken = taken(backlog);
    let announced: Vec<_> = taken.iter().map(|next| &next.announcements[..]).collect();
    assert_eq!(announced, [[signature(2)], [signature(1)]]);
}

// Guards against a request that is processed although its entry host gave it up.
#[test]
fn withdrawn_request() {
    let backlog = backlog_of([request(1, 0), withdrawn(1)]);
    assert_eq!(inputs(taken(backlog)), [withdrawn(1)]);
}

// Guards against a copy that is processed as often as it was sent.
#[test]
fn waiting_copy() {
    let backlog = backlog_of([request(1, 0), request(1, 0)]);
    assert_eq!(inputs(taken(backlog)), [request(1, 0)]);
}

// Guards against permits for the requests of a terminated process, which are never released.
#[test]
fn lost_link() {
    let down = LinkEvent::Down(peer());
    let backlog = backlog_of([signature(1), request(1, 0), down.clone()]);
    assert_eq!(inputs(taken(backlog)), [down]);
}

// Guards against requests that are refused because of one long input.
#[test]
fn short_delay() {
    let mut backlog = backlog_of((1..=4).map(|sequence| request(sequence, 0)));
    let late = Moment::START.plus(LATE);
    let next = std::iter::from_fn(|| backlog.next(late));
    assert!(next.into_iter().all(|next| !next.is_overdue));
}

// Guards against urgent requests that are refused while lesser ones are kept.
#[test]
fn lasting_delay() {
    let mut backlog = backlog_of([request(1, 0), request(2, 0), request(3, 2), request(4, 2)]);
    let late = Moment::START.plus(LATE);
    assert_eq!(backlog.next(late).map(|next| next.is_overdue), Some(false));
    let later = late.plus(LASTING);
    let refused: Vec<_> = std::iter::from_fn(|| backlog.next(later))
        .filter(|next| next.is_overdue)
        .map(|next| next.input)
        .collect();
    assert_eq!(refused[..2], [request(3, 2), request(4, 2)]);
}

// Guards against a request that is granted for longer than its caller waits.
#[test]
fn time_in_backlog() {
    let waited = Duration::from_secs(59);
    let event = request(1, 0).after_wait(waited).expect("time is left");
    let LinkEvent::Message(_, LinkMessage::ToOwner(OwnerMessage::PermitRequest(request))) = event
    else {
        panic!("another event: {event:?}");
    };
    assert_eq!((request.deadline_ms, request.waited_ms), (1_000, 59_000));
    let mut late = permit_request(1, 0, "crew");
    late.deadline_ms = 100;
    let late = to_owner(OwnerMessage::PermitRequest(Box::new(late)));
    assert_eq!(late.after_wait(LATE), None);
}

// Guards against an accepted call, or one that may have run, that is refused as not run.
#[test]
fn refusable_unseen() {
    let first = permit_request(1, 0, "crew");
    assert!(first.is_refusable_unseen());
    let mut later = first.clone();
    later.attempt.attempt = 1;
    assert!(!later.is_refusable_unseen());
    assert!(!with_claim(first, 7, peer(), true).is_refusable_unseen());
}
