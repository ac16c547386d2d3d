//! Tests of the decision to which request an answer belongs.

use bergamotswitch_core::target_answer::{AnswerId, ConnectionHistory, ConnectionUse};

fn compare(named: &[&str]) -> AnswerId {
    AnswerId::compare(named.iter().map(|id| id.as_bytes()), b"b")
}

// Guards against a late copy of an answer that counts as the answer to the next request.
#[test]
fn named_requests() {
    for connection in [ConnectionUse::First, ConnectionUse::Later] {
        assert!(compare(&["b"]).belongs(connection));
        assert!(!compare(&["a"]).belongs(connection));
        assert!(!compare(&["b", "a"]).belongs(connection));
        assert!(!compare(&["b", "b"]).belongs(connection));
        assert!(!compare(&["B"]).belongs(connection));
    }
    assert!(compare(&[]).belongs(ConnectionUse::First));
    assert!(!compare(&[]).belongs(ConnectionUse::Later));
}

// Guards against a late copy of a rejection that counts as the answer to another attempt
// of the same request.
#[test]
fn rejected_before() {
    let mut history = ConnectionHistory::default();
    assert_eq!(history.connection_use(), ConnectionUse::First);
    history.record_rejection("a");
    history.record_answer();
    assert_eq!(history.connection_use(), ConnectionUse::Later);
    assert!(!history.allows("a") && history.allows("b"));
}

#[test]
fn full_history() {
    let mut history = ConnectionHistory::default();
    let mut rejected = 0;
    while !history.is_full() {
        history.record_rejection(&rejected.to_string());
        rejected += 1;
    }
    assert!(!history.allows("0") && rejected < 100);
}
