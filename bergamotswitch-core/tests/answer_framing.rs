//! Tests of how the end of an answer is recognized.

use bergamotswitch_core::target_answer::AnswerFraming;

fn framing(has_length: bool, codings: &[&str]) -> AnswerFraming {
    AnswerFraming::of(true, has_length, codings.iter().map(|text| text.as_bytes()))
}

#[test]
fn marked_ends() {
    for (has_length, codings) in [
        (true, &[][..]),
        (false, &["chunked"]),
        (true, &[" Chunked"]),
    ] {
        assert_eq!(framing(has_length, codings), AnswerFraming::Delimited);
    }
    assert_eq!(framing(false, &[]), AnswerFraming::ConnectionEnd);
    assert!(framing(true, &[]).has_marked_end());
    assert!(!framing(false, &[]).has_marked_end());
}

// Guards against a coded body that is passed on as the target's own, or cut without notice.
#[test]
fn other_codings() {
    for has_length in [true, false] {
        for codings in [
            &["gzip"][..],
            &["gzip, chunked"],
            &["chunked, gzip"],
            &["gzip", "chunked"],
            &["chunked", "chunked"],
            &["identity"],
            &[""],
        ] {
            let framing = framing(has_length, codings);
            assert_eq!(framing, AnswerFraming::Unsupported, "{codings:?}");
            assert!(!framing.has_marked_end());
        }
    }
}

#[test]
fn no_body() {
    let codings = [&b"gzip"[..]];
    let framing = AnswerFraming::of(false, false, codings.into_iter());
    assert_eq!(framing, AnswerFraming::Bodiless);
    assert!(framing.has_marked_end());
}

// Guards against an answer that was cut after its head and looks whole.
#[test]
fn empty_bodies() {
    for has_content in [false, true] {
        assert!(AnswerFraming::Bodiless.is_whole(has_content));
        assert!(AnswerFraming::Delimited.is_whole(has_content));
        assert!(!AnswerFraming::Unsupported.is_whole(has_content));
    }
    assert!(AnswerFraming::ConnectionEnd.is_whole(true));
    assert!(!AnswerFraming::ConnectionEnd.is_whole(false));
}
