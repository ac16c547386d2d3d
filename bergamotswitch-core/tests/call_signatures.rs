//! Tests of the announcement of calls to shard owners.

mod entry_support;

use entry_support::*;

use bergamotswitch_core::call_signature::CallSignature;

fn messages(options: EntryOptions) -> Vec<OwnerMessage> {
    let mut bench = TestDispatcher::new(options);
    let (_, actions) = bench.submit(submission());
    let sent = actions.into_iter().filter_map(|action| match action {
        EntryAction::Send(_, message) => Some(message),
        _ => None,
    });
    sent.collect()
}

// Guards against a permit request that comes before the signature of its call, so that
// its promise is not recognized, and against messages where no promises are made.
#[test]
fn signature_first() {
    let [
        OwnerMessage::Signature {
            attempt, signature, ..
        },
        OwnerMessage::PermitRequest(request),
    ] = &messages(EntryOptions::default().with_signatures(true))[..]
    else {
        panic!("not announced");
    };
    assert_eq!(*attempt, request.attempt);
    assert_eq!(*signature, CallSignature::of(&submission()));
    assert_eq!(messages(EntryOptions::default()).len(), 1);
}
