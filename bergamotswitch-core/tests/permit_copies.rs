//! Tests when an entry host sends a permit request again.

mod entry_support;

use std::time::Duration;

use bergamotswitch_core::entry::EntryOptions;
use entry_support::{TestDispatcher, permit_requests, submission};

const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(600);

/// How long an owner keeps a request in its queue at most.
const QUEUE_TIME: Duration = Duration::from_millis(1_800);

const STEP: Duration = Duration::from_millis(50);

/// Get the number of permit requests that are sent again within `span`.
fn copies_within(span: Duration) -> usize {
    let options = EntryOptions::default().with_permit_resend_interval(Duration::from_millis(500));
    let mut dispatcher = TestDispatcher::new(options);
    let mut waiting = submission();
    waiting.options.first_token_limit = Some(FIRST_TOKEN_LIMIT);
    dispatcher.accept(waiting);
    let steps = span.as_millis() / STEP.as_millis();
    let copies = (0..steps).map(|_| permit_requests(&dispatcher.pass(STEP)).len());
    copies.sum()
}

// Guards against copies of requests that only wait in the queue, which keep a busy owner busy.
#[test]
fn queued_request() {
    assert_eq!(copies_within(QUEUE_TIME - STEP), 0);
}

// Guards against a permit request that is lost for good.
#[test]
fn unanswered_request() {
    assert_eq!(copies_within(QUEUE_TIME + STEP), 1);
}
