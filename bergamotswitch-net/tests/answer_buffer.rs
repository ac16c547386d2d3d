//! Tests of answer buffers, from which callers read what attempts write.

use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::request::RequestId;
use bergamotswitch_net::answer::{AnswerBound, AnswerPart, AnswerWriter};
use bytes::Bytes;
use http::HeaderMap;
use tokio::sync::mpsc;

fn data(bytes: usize) -> AnswerPart {
    AnswerPart::Data(Bytes::from(vec![b'x'; bytes]))
}

fn head(status: u16) -> AnswerPart {
    AnswerPart::Head {
        status,
        content_type: String::new(),
        fields: HeaderMap::new(),
    }
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

// Guards against a head of one attempt that is followed by data of another.
#[tokio::test]
async fn replaced_after_start() {
    let answer = AnswerWriter::new();
    answer.push(head(200));
    let mut reader = answer.reader();
    let first = reader.wait_for_start(|parts| !parts.is_empty()).await;
    assert_eq!(first, Some(head(200)));
    answer.clear();
    answer.push(head(201));
    assert_eq!(reader.next().await, None);
}
