//! Tests of the splitting of event streams into complete events.

use bergamotswitch_core::event_order::EventPlace;
use bergamotswitch_net::target_client::event_blocks::{EventBlock, EventSplitter};

const STREAM: &[u8] = b"\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";

fn numbered(id: &str) -> EventPlace {
    EventPlace::Numbered(id.parse().expect("an id"))
}

/// Split the stream, fed in chunks of `chunk_len` bytes, and get its events and the
/// remainder.
fn split(chunk_len: usize) -> (Vec<EventBlock>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut found = Vec::new();
    for bytes in STREAM.chunks(chunk_len) {
        splitter.add(bytes);
        found.extend(splitter.by_ref());
    }
    (found, splitter.take_rest().to_vec())
}

#[test]
fn complete_events() {
    let (found, rest) = split(STREAM.len());
    let texts: Vec<&[u8]> = found.iter().map(|block| block.bytes.as_ref()).collect();
    let expected: [&[u8]; 3] = [
        b"\nid: 1\ndata: a\n\n",
        b"id: 2\r\ndata: b\r\n\r\n",
        b"data: c\n\n",
    ];
    assert_eq!(texts, expected);
    let places: Vec<EventPlace> = found.iter().map(|block| block.place).collect();
    assert_eq!(
        places,
        [numbered("1"), numbered("2"), EventPlace::Unnumbered]
    );
    assert_eq!(rest, b"id: 4\nda");
}

#[test]
fn any_chunking() {
    for chunk_len in 1..STREAM.len() {
        assert_eq!(
            split(chunk_len),
            split(STREAM.len()),
            "chunks of {chunk_len} bytes"
        );
    }
}

#[test]
fn after_rest() {
    let mut splitter = EventSplitter::default();
    splitter.add(b"id: 1\nda");
    assert_eq!(splitter.next(), None);
    assert_eq!(splitter.rest_len(), 8);
    assert_eq!(splitter.take_rest().len(), 8);
    splitter.add(b"\n\nid: 2\n\n");
    let block = splitter.next().expect("an event");
    assert_eq!(block.place, numbered("2"));
}

#[test]
fn inside_event() {
    let mut splitter = EventSplitter::default();
    for (bytes, is_in_event) in [
        (&b"\n\r\n"[..], false),
        (b"id: 1\nda", true),
        (b"ta: a\n", true),
        (b"\n", false),
        (b"\n", false),
        (b":", true),
    ] {
        splitter.add(bytes);
        let _ = splitter.by_ref().count();
        assert_eq!(splitter.is_in_event(), is_in_event, "{bytes:?}");
    }
}

// Guards against a stream that is resumed after an event whose id states no place, or that is
// not resumed because of a comment.
#[test]
fn event_places() {
    for (event, place) in [
        ("weight-versions: 4\nid: 5\ndata: a\n\n", numbered("5")),
        ("id:6\r\n\r\n", numbered("6")),
        ("id:\ndata: a\n\n", EventPlace::Unnumbered),
        ("id: a\ndata: a\n\n", EventPlace::Unnumbered),
        ("data\n\n", EventPlace::Unnumbered),
        (": id: 7\n\n", EventPlace::Empty),
        ("retry: 10\n\n", EventPlace::Empty),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.add(event.as_bytes());
        let block = splitter.next().expect("an event");
        assert_eq!(block.place, place, "{event:?}");
    }
}
