//! Tests of answer buffers, from which callers read what attempts write.

use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::request::RequestId;
use bergamotswitch_net::answer::{AnswerBound, AnswerPart, AnswerWriter};
use bytes::Bytes;
use tokio::sync::mpsc;

fn data(bytes: usize) -> AnswerPart {
    AnswerPart::Data(Bytes::from(vec![b'x'; bytes]))
}

// Guards against a gap in an answer that exceeded its limit: a later part that is small enough
// must not follow one that was dropped.
#[test]
fn no_gap() {
    let (node, _inbox) = mpsc::unbounded_channel();
    let request = RequestId {
        incarnation: Incarnation(7),
        sequence: 1,
    };
    let answer = AnswerWriter::bounded(AnswerBound {
        bytes: 4_096,
        request,
        node,
    });
    for bytes in [100, 5_000, 100] {
        answer.push(data(bytes));
    }
    assert_eq!(answer.data_part_count(), 1);
}
