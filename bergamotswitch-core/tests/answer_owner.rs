//! Tests of the decisions to which request an answer belongs and what is made of it.

use bergamotswitch_core::target_answer::{
    AnswerHead, AnswerId, AnswerUse, ConnectionHistory, ConnectionUse,
};

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

const RUN: AnswerHead = AnswerHead {
    id: AnswerId::Matching,
    is_signed: true,
    is_rejection: false,
    denies_run: false,
};

#[test]
fn answer_uses() {
    let rejection = AnswerHead {
        is_signed: false,
        is_rejection: true,
        denies_run: true,
        ..RUN
    };
    let foreign = AnswerId::Foreign;
    let unsigned = AnswerHead {
        is_signed: false,
        ..RUN
    };
    let unnamed = AnswerHead {
        id: AnswerId::Missing,
        ..RUN
    };
    for connection in [ConnectionUse::First, ConnectionUse::Later] {
        let answer_use = |head: AnswerHead| head.answer_use(connection);
        assert_eq!(answer_use(RUN), AnswerUse::Passed);
        assert_eq!(answer_use(rejection), AnswerUse::Rejection);
        assert_eq!(answer_use(unsigned), AnswerUse::Unproven);
        for head in [RUN, rejection] {
            let head = AnswerHead {
                id: foreign,
                ..head
            };
            assert_eq!(answer_use(head), AnswerUse::Foreign);
        }
    }
    assert_eq!(
        unnamed.answer_use(ConnectionUse::First),
        AnswerUse::Unproven
    );
    assert_eq!(unnamed.answer_use(ConnectionUse::Later), AnswerUse::Foreign);
}

// Guards against a failure after a run that tells the caller that the request did not run.
#[test]
fn denied_run() {
    let head = AnswerHead {
        denies_run: true,
        ..RUN
    };
    for connection in [ConnectionUse::First, ConnectionUse::Later] {
        assert_eq!(head.answer_use(connection), AnswerUse::Withheld);
    }
}
