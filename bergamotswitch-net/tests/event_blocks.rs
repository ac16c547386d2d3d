//! Tests of the splitting of event streams into complete events.

use bergamotswitch_net::target_client::event_blocks::{EventBlock, EventSplitter};

const STREAM: &[u8] = b"\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";

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
    let ids: Vec<Option<&str>> = found.iter().map(|block| block.id.as_deref()).collect();
    assert_eq!(ids, [Some("1"), Some("2"), None]);
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
    assert_eq!(block.id.as_deref(), Some("2"));
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
